package zpshare

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Sharer sends this daemon's news to those whom they concern, and its loads to
	// all other daemons. Set the exported fields before Run.
	Sharer struct {
		Self     string // instance
		Domain   string // failure domain
		Region   string
		Usage    *zpusage.Tracker
		Others   func() []zpassign.Member
		Send     func(ctx context.Context, address string, m Message) (instance string, err error)
		Snapshot func(to zpassign.Member) Message // news for a daemon that knows nothing yet
		Log      *zplog.Logger
		Clock    func() time.Time

		mu    sync.Mutex
		peers map[string]*peer // by address
	}

	// peer is another daemon as the sharer sees it.
	peer struct {
		instance string // that answered last
		pending  Message
		usage    uint64    // change number of the uses sent last
		usedAt   time.Time // when they were sent
		sentAt   time.Time
		retryAt  time.Time
		failures int
		busy     bool
		fresh    bool // it has got a snapshot
	}
)

const (
	// interval is the pause between two looks for news.
	interval = 30 * time.Millisecond
	// nearPause and farPause are the least pauses between two reports of loads to
	// one daemon. Bytes that leave a failure domain are paid, and loads matter most
	// to the daemons beside the endpoints.
	nearPause = 30 * time.Millisecond
	farPause  = 200 * time.Millisecond
	// nearPerPeer and farPerPeer stretch the pauses, so that the messages of a
	// daemon do not grow with the fleet.
	nearPerPeer = 25 * time.Millisecond
	farPerPeer  = 25 * time.Millisecond
	// newsPause and farNewsPause are the least pauses between two messages with
	// news, in this region and beyond. An equal prompt usually comes back later.
	newsPause    = 200 * time.Millisecond
	farNewsPause = 500 * time.Millisecond
	// repeat is the pause after which uses are sent again although they are the
	// same, so that they do not grow old.
	repeat = 900 * time.Millisecond
	// pendingLimit bounds the news that wait for a daemon; beyond it the daemon
	// gets a snapshot instead.
	pendingLimit = 4096

	// aliveFor is how long after its last answer a daemon counts as alive.
	aliveFor = 2 * repeat

	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// Add queues news for all other daemons.
func (s *Sharer) Add(m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if !p.fresh {
			continue
		}
		p.pending.append(m)
		if len(p.pending.Parts) > pendingLimit {
			p.pending, p.fresh = Message{}, false
		}
	}
}

// AddTo queues news for one daemon. A daemon that is not known yet gets a
// snapshot first.
func (s *Sharer) AddTo(address string, m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[address]
	if !ok || !p.fresh {
		return
	}
	p.pending.append(m)
	if len(p.pending.Parts) > pendingLimit {
		p.pending, p.fresh = Message{}, false
	}
}

// Run sends until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sharer) tick(ctx context.Context) {
	now := s.Clock()
	uses, changed := s.Usage.Own()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]*peer{}
	}
	known := map[string]bool{}
	others := s.Others()
	near, far := s.usesPauses(others)
	for _, m := range others {
		pauses := pauses{uses: far, news: farNewsPause}
		if m.Domain == s.Domain {
			pauses.uses = near
		}
		if m.Region == s.Region {
			pauses.news = newsPause
		}
		known[m.Address] = true
		p, ok := s.peers[m.Address]
		if !ok {
			p = &peer{}
			s.peers[m.Address] = p
		}
		if p.busy || now.Before(p.retryAt) {
			continue
		}
		withUses := p.usesDue(changed, now, pauses.uses)
		if withUses || p.newsDue(now, pauses.news) {
			s.start(ctx, m, p, uses, changed, withUses, now)
		}
	}
	for address := range s.peers {
		if !known[address] {
			delete(s.peers, address)
		}
	}
}

// usesPauses returns the pauses between two reports of loads to a daemon of the
// same failure domain, and to one of another.
func (s *Sharer) usesPauses(others []zpassign.Member) (near, far time.Duration) {
	n := 0
	for _, m := range others {
		if m.Domain == s.Domain {
			n++
		}
	}
	near = max(nearPause, time.Duration(n)*nearPerPeer)
	return near, max(farPause, time.Duration(len(others)-n)*farPerPeer)
}

// pauses between two messages to one daemon.
type pauses struct{ uses, news time.Duration }

func (p *peer) usesDue(changed uint64, now time.Time, pause time.Duration) bool {
	age := now.Sub(p.usedAt)
	return age >= pause && (changed != p.usage || age >= repeat)
}

func (p *peer) newsDue(now time.Time, pause time.Duration) bool {
	return now.Sub(p.sentAt) >= pause && (!p.fresh || !p.pending.IsEmpty())
}

// start sends what is new to one daemon, in the background.
func (s *Sharer) start(ctx context.Context, to zpassign.Member, p *peer, uses map[string]zpusage.Use, changed uint64, withUses bool, now time.Time) {
	address := to.Address
	m, whole := p.pending, !p.fresh
	p.pending, p.busy, p.fresh = Message{}, true, true
	go func() {
		if whole {
			// The snapshot asks who is alive, so it is made without the lock.
			m = s.Snapshot(to)
		}
		m.Instance, m.Domain = s.Self, s.Domain
		if withUses {
			m.Uses = uses
		}
		instance, err := s.Send(ctx, address, m)
		s.mu.Lock()
		defer s.mu.Unlock()
		p.busy = false
		if err != nil {
			s.failed(address, p, err, now)
			return
		}
		if p.failures > 0 {
			s.Log.Emit(zplog.PeerBack, zplog.Fields{"address": address, "failures": p.failures})
		}
		p.failures, p.sentAt = 0, now
		if withUses {
			p.usage, p.usedAt = changed, now
		}
		if p.instance != instance {
			// Another life of the daemon has not got what was sent before.
			p.fresh = p.instance == ""
			p.instance = instance
		}
	}()
}

// Alive returns the names of the daemons that answered lately.
func (s *Sharer) Alive() map[string]bool {
	now := s.Clock()
	out := map[string]bool{}
	others := s.Others()
	_, far := s.usesPauses(others)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range others {
		if p, ok := s.peers[m.Address]; ok && p.instance != "" && now.Sub(p.sentAt) < aliveFor+2*far {
			out[m.Name] = true
		}
	}
	return out
}

// failed has the daemon get a snapshot next, as what was sent may be lost.
func (s *Sharer) failed(address string, p *peer, err error, now time.Time) {
	if p.failures == 0 {
		s.Log.Emit(zplog.PeerLost, zplog.Fields{"address": address, "error": err.Error()})
	}
	p.failures++
	p.fresh, p.pending = false, Message{}
	p.retryAt = now.Add(min(firstRetry<<min(p.failures-1, 8), lastRetry))
}
