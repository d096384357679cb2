package zpshare

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Sharer sends this daemon's updates to the daemons that need them and, in a small
	// fleet, its load to all other daemons. Set the exported fields before Run.
	Sharer struct {
		Self   string // instance
		Domain string // failure domain
		Region string
		Usage  *zpusage.Tracker
		Others func() []zpassign.Member
		// SendsLoad reports whether loads are sent to each other daemon; nil: always.
		SendsLoad func() bool
		Speeds    func() []zpspeed.Report // sent with each load; nil: none
		Send      func(ctx context.Context, address string, m Message) (instance string, err error)
		Snapshot  func(to zpassign.Member) Message // initial state for a daemon that has none
		Log       *zplog.Logger
		Clock     func() time.Time

		mu                sync.Mutex
		peers             map[string]*peer // by address
		isSendingSnapshot bool
	}

	// peer is the sending state for another daemon.
	peer struct {
		instance    string // instance of the last answer
		member      string // instance of the last member record
		pending     Message
		usesVersion uint64    // version of the uses sent last
		usesSentAt  time.Time // when uses were sent last
		sentAt      time.Time
		retryAt     time.Time
		failures    int
		sending     bool
		hasSnapshot bool // a snapshot was sent, so updates suffice
	}
)

const (
	// tickInterval is the interval between checks for updates to send.
	tickInterval = 30 * time.Millisecond
	// sameDomainUsesInterval and otherDomainUsesInterval are the minimum intervals
	// between two load reports to one daemon. Traffic that leaves a failure domain
	// is billed, and loads matter most to the daemons next to the endpoints.
	sameDomainUsesInterval  = 30 * time.Millisecond
	otherDomainUsesInterval = 200 * time.Millisecond
	// sameDomainUsesPerPeer and otherDomainUsesPerPeer are the minimum load report
	// intervals per peer, so that the message rate of a daemon does not grow with
	// the fleet.
	sameDomainUsesPerPeer  = 25 * time.Millisecond
	otherDomainUsesPerPeer = 25 * time.Millisecond
	// sameRegionNewsInterval and otherRegionNewsInterval are the minimum intervals
	// between two messages with updates to one daemon. An identical prompt usually
	// arrives later than that.
	sameRegionNewsInterval  = 200 * time.Millisecond
	otherRegionNewsInterval = 500 * time.Millisecond
	// usesRepeatInterval is the interval after which unchanged uses are sent again, so
	// that they do not expire at the receiver.
	usesRepeatInterval = 900 * time.Millisecond
	// pendingLimit is the maximum number of queued part changes for one daemon. Above
	// it, they are replaced by a snapshot.
	pendingLimit = 4096

	// aliveTimeout is the time after the last answer of a daemon for which it counts
	// as alive, in addition to the load report interval.
	aliveTimeout = 2 * usesRepeatInterval

	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Add queues updates for all other daemons.
func (s *Sharer) Add(m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if !p.hasSnapshot {
			continue
		}
		p.pending.append(m)
		if len(p.pending.Parts) > pendingLimit {
			p.pending, p.hasSnapshot = Message{}, false
		}
	}
}

// AddTo queues updates for one daemon. They are dropped if the daemon is due a
// snapshot, which it gets first.
func (s *Sharer) AddTo(address string, m Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.peers[address]
	if !ok || !p.hasSnapshot {
		return
	}
	p.pending.append(m)
	if len(p.pending.Parts) > pendingLimit {
		p.pending, p.hasSnapshot = Message{}, false
	}
}

// Run sends updates until ctx is done.
func (s *Sharer) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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
	uses, usesVersion := s.Usage.Own()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = map[string]*peer{}
	}
	known := map[string]bool{}
	others := s.Others()
	sameDomain, otherDomain := s.usesIntervals(others)
	sendsLoad := s.SendsLoad == nil || s.SendsLoad()
	for _, m := range others {
		minIntervals := intervals{uses: otherDomain, news: otherRegionNewsInterval}
		if m.Domain == s.Domain {
			minIntervals.uses = sameDomain
		}
		if m.Region == s.Region {
			minIntervals.news = sameRegionNewsInterval
		}
		known[m.PeerAddress] = true
		p := s.peerFor(m)
		if p.sending || now.Before(p.retryAt) {
			continue
		}
		withUses := sendsLoad && p.usesDue(usesVersion, now, minIntervals.uses)
		if withUses || p.newsDue(now, minIntervals.news, !s.isSendingSnapshot) {
			s.sendAsync(ctx, m, p, uses, usesVersion, withUses, now)
		}
	}
	for address := range s.peers {
		if !known[address] {
			delete(s.peers, address)
		}
	}
}

// peerFor returns the sending state for a member; s.mu must be held. Without regular
// messages, the member record alone shows that the daemon was restarted.
func (s *Sharer) peerFor(m zpassign.Member) *peer {
	p, ok := s.peers[m.PeerAddress]
	if !ok {
		p = &peer{member: m.Instance}
		s.peers[m.PeerAddress] = p
	}
	if p.member != m.Instance {
		p.member, p.hasSnapshot, p.pending = m.Instance, false, Message{}
	}
	return p
}

// usesIntervals returns the minimum intervals between two load reports to a daemon
// in the same failure domain, and to one in another.
func (s *Sharer) usesIntervals(others []zpassign.Member) (sameDomain, otherDomain time.Duration) {
	n := 0
	for _, m := range others {
		if m.Domain == s.Domain {
			n++
		}
	}
	sameDomain = max(sameDomainUsesInterval, time.Duration(n)*sameDomainUsesPerPeer)
	return sameDomain, max(otherDomainUsesInterval, time.Duration(len(others)-n)*otherDomainUsesPerPeer)
}

// intervals holds the minimum intervals between two messages to one daemon.
type intervals struct{ uses, news time.Duration }

func (p *peer) usesDue(usesVersion uint64, now time.Time, interval time.Duration) bool {
	age := now.Sub(p.usesSentAt)
	return age >= interval && (usesVersion != p.usesVersion || age >= usesRepeatInterval)
}

func (p *peer) newsDue(now time.Time, interval time.Duration, maySendSnapshot bool) bool {
	if now.Sub(p.sentAt) < interval {
		return false
	}
	if p.hasSnapshot {
		return !p.pending.IsEmpty()
	}
	return maySendSnapshot || !p.isAnswering()
}

// isAnswering reports whether the daemon answered the last message.
func (p *peer) isAnswering() bool { return p.instance != "" && p.failures == 0 }

// sendAsync sends the pending updates or a snapshot to one daemon in the
// background.
func (s *Sharer) sendAsync(ctx context.Context, to zpassign.Member, p *peer, uses map[string]zpusage.Usage, usesVersion uint64, withUses bool, now time.Time) {
	address := to.PeerAddress
	// Snapshots may be large: sent to many daemons at once, they would all time out. A
	// daemon that did not answer is sent a small message first.
	m, needsSnapshot := p.pending, !p.hasSnapshot && p.isAnswering() && !s.isSendingSnapshot
	p.pending, p.sending, p.hasSnapshot = Message{}, true, p.hasSnapshot || needsSnapshot
	s.isSendingSnapshot = s.isSendingSnapshot || needsSnapshot
	go func() {
		if needsSnapshot {
			// Snapshot calls Alive, which takes the lock.
			m = s.Snapshot(to)
		}
		m.Instance, m.Domain = s.Self, s.Domain
		if withUses {
			m.Uses, m.Speeds = uses, s.speeds()
		}
		instance, err := s.Send(ctx, address, m)
		s.mu.Lock()
		defer s.mu.Unlock()
		p.sending = false
		if needsSnapshot {
			s.isSendingSnapshot = false
		}
		if err != nil {
			s.handleFailure(address, p, err, now)
			return
		}
		if p.failures > 0 {
			s.Log.Emit(zplog.PeerRecovered, zplog.Fields{"address": address, "failures": p.failures})
		}
		p.failures, p.sentAt = 0, now
		if withUses {
			p.usesVersion, p.usesSentAt = usesVersion, now
		}
		if p.instance != instance {
			// A restarted daemon has not received the earlier messages.
			p.hasSnapshot, p.instance = false, instance
		}
	}()
}

func (s *Sharer) speeds() []zpspeed.Report {
	if s.Speeds == nil {
		return nil
	}
	return s.Speeds()
}

// Alive returns the names of the daemons that answered recently, if loads are sent to
// each other daemon.
func (s *Sharer) Alive() map[string]bool {
	now := s.Clock()
	out := map[string]bool{}
	others := s.Others()
	_, otherDomain := s.usesIntervals(others)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range others {
		if p, ok := s.peers[m.PeerAddress]; ok && p.instance != "" && now.Sub(p.sentAt) < aliveTimeout+2*otherDomain {
			out[m.Name] = true
		}
	}
	return out
}

// handleFailure schedules a retry with a snapshot, since the message may be lost.
func (s *Sharer) handleFailure(address string, p *peer, err error, now time.Time) {
	if p.failures == 0 {
		s.Log.Emit(zplog.PeerLost, zplog.Fields{"address": address, "error": err.Error()})
	}
	p.failures++
	p.hasSnapshot, p.pending = false, Message{}
	p.retryAt = now.Add(min(minRetryDelay<<min(p.failures-1, 8), maxRetryDelay))
}
