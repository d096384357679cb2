package zpdetour

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

type (
	// Peer is a daemon that may be asked for connections.
	Peer struct {
		Name    string
		Address string // IP:PORT of the port between daemons
		Domain  string
		Region  string
		Cores   float64 // zero: unknown

		isDeparted bool // it has left the list, and may be stopping
	}

	peerState struct {
		open       int           // connections through it
		connect    time.Duration // moving average of the time to a connection
		failures   int           // consecutive ones
		avoidUntil time.Time
		peer       Peer
		usedAt     time.Time // when it last opened a connection
	}

	// rankedPeer is a daemon with what decides when it is asked.
	rankedPeer struct {
		Peer
		distance int
		load     float64
		random   uint32
	}
)

const (
	// maxPeersAsked is how many daemons are asked for one connection.
	maxPeersAsked = 4
	// maxDomainPeers is how many of them may be of the own failure domain, which may be cut off
	// as a whole.
	maxDomainPeers = 2
	// cutPeerAvoidance is how long a daemon that is cut off itself is not asked, and the most for
	// one that fails.
	cutPeerAvoidance = 2 * time.Second
	failureAvoidance = 200 * time.Millisecond // doubles with each consecutive failure
	busyAvoidance    = 100 * time.Millisecond
	// unsupportedAvoidance is the pause until a daemon that does not know the call is asked
	// again; it may be replaced by a newer one.
	unsupportedAvoidance = time.Minute
	// departedPeerUse is how long a daemon that is not listed any more is asked after it has last
	// opened a connection.
	departedPeerUse = 2 * time.Second
	connectWeight   = 0.2 // of the latest connection in the moving average
	// minCores stands for the cores of a daemon that has not told them.
	minCores = 0.1
)

// peersFor returns the daemons that may be asked for a request.
func (d *Dialer) peersFor(ctx context.Context) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(d.knownPeers(d.Clock()), func(p Peer) bool { return !AllowsRegion(ctx, p.Region) })
}

// record updates what is known of a daemon from the result of asking it.
func (d *Dialer) record(p Peer, took time.Duration, err error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stateOf(p)
	s.failures++
	switch {
	case err == nil:
		s.open++
		s.failures = 0
		s.peer, s.usedAt = p, now
		s.connect += time.Duration(connectWeight * float64(took-s.connect))
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, ErrNoPath), errors.Is(err, ErrUndecided), errors.Is(err, context.Canceled):
		s.failures = 0 // not its own
	case errors.Is(err, ErrBusy):
		s.avoidUntil = now.Add(busyAvoidance)
	case errors.Is(err, ErrUnsupported):
		s.avoidUntil = now.Add(unsupportedAvoidance)
	case errors.Is(err, ErrPeerCut):
		s.avoidUntil = now.Add(cutPeerAvoidance)
	default:
		s.avoidUntil = now.Add(min(failureAvoidance<<min(s.failures-1, 8), cutPeerAvoidance))
	}
}

func (d *Dialer) release(p Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stateOf(p).open--
}

func (d *Dialer) stateOf(p Peer) *peerState {
	s, ok := d.peers[p.Address]
	if !ok {
		if d.peers == nil {
			d.peers = map[string]*peerState{}
		}
		s = &peerState{}
		d.peers[p.Address] = s
	}
	return s
}

// rank returns the daemons to ask: those of the own region first, of these those of other
// failure domains, and of these the one with the least expected wait. Those that may be stopping
// come last. One that has failed is asked again first, by one request alone.
func (d *Dialer) rank(peers []Peer) []Peer {
	now := d.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	var sound []rankedPeer
	var doubtful *rankedPeer
	for _, p := range peers {
		s := d.stateOf(p)
		if now.Before(s.avoidUntil) {
			continue
		}
		load := float64(s.open+1) * float64(s.connect+time.Millisecond) / max(p.Cores, minCores)
		r := rankedPeer{p, d.distanceTo(p), load, rand.Uint32()}
		switch {
		case s.failures == 0:
			sound = append(sound, r)
		case doubtful == nil || compareRanked(r, *doubtful) < 0:
			doubtful = &r
		}
	}
	slices.SortFunc(sound, compareRanked)
	out := make([]Peer, 0, maxPeersAsked+1)
	if doubtful != nil {
		d.stateOf(doubtful.Peer).avoidUntil = now.Add(openTimeout)
		out = append(out, doubtful.Peer)
	}
	domainPeers := 0
	for _, r := range sound {
		if len(out) == maxPeersAsked {
			break
		}
		if r.Domain == d.Domain {
			if domainPeers++; domainPeers > maxDomainPeers {
				continue
			}
		}
		out = append(out, r.Peer)
	}
	return out
}

// knownPeers returns the daemons that may be asked. One that has left the list while it opened
// connections may be stopping, and still has time to. The lock must be held.
func (d *Dialer) knownPeers(now time.Time) []Peer {
	list := slices.Clone(d.Peers())
	isListed := map[string]bool{}
	for _, p := range list {
		isListed[p.Address] = true
	}
	for address, s := range d.peers {
		switch {
		case !isListed[address] && now.Sub(s.usedAt) < departedPeerUse:
			p := s.peer
			p.isDeparted = true
			list = append(list, p)
		case !isListed[address] && s.open == 0:
			delete(d.peers, address)
		}
	}
	return list
}

func compareRanked(a, b rankedPeer) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.load, b.load), cmp.Compare(a.random, b.random))
}

func (d *Dialer) distanceTo(p Peer) int {
	switch {
	case p.isDeparted:
		return 3
	case p.Region != d.Region:
		return 2
	case p.Domain == d.Domain:
		return 1
	default:
		return 0
	}
}
