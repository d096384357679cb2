// Package zpusage counts the work that the daemons of the fleet have sent to
// each endpoint and that has not ended.
package zpusage

import (
	"sync"
	"time"
)

type (
	// Use is the work on one endpoint.
	Use struct {
		Requests      int
		PrefillTokens int // to be read before the first piece of running requests
		MemoryTokens  int // of prompts and answers of running requests
	}

	// Tracker adds up the uses of this daemon and of its peers. It is safe for
	// concurrent use.
	Tracker struct {
		MaxAge time.Duration // after which the report of a peer no longer counts

		mu      sync.Mutex
		own     map[string]Use
		peers   map[string]report
		changed uint64
	}

	// Run is one request on one endpoint.
	Run struct {
		tracker  *Tracker
		endpoint string
		use      Use
	}

	report struct {
		at   time.Time
		uses map[string]Use
	}
)

// NewTracker returns a tracker without uses.
func NewTracker(maxAge time.Duration) *Tracker {
	return &Tracker{MaxAge: maxAge, own: map[string]Use{}, peers: map[string]report{}}
}

// Begin counts a request on an endpoint.
func (t *Tracker) Begin(endpoint string, prefill, memory int) *Run {
	r := &Run{tracker: t, endpoint: endpoint, use: Use{Requests: 1, PrefillTokens: prefill, MemoryTokens: memory}}
	t.add(endpoint, r.use, 1)
	return r
}

// Started notes that the prompt has been read.
func (r *Run) Started() {
	read := Use{PrefillTokens: r.use.PrefillTokens}
	r.use.PrefillTokens = 0
	r.tracker.add(r.endpoint, read, -1)
}

// End stops counting the request.
func (r *Run) End() {
	r.tracker.add(r.endpoint, r.use, -1)
	r.use = Use{}
}

// Total returns the known work on an endpoint.
func (t *Tracker) Total(endpoint string, now time.Time) Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.own[endpoint]
	for _, p := range t.peers {
		if now.Sub(p.at) <= t.MaxAge {
			sum = plus(sum, p.uses[endpoint], 1)
		}
	}
	return sum
}

// Own returns a copy of this daemon's uses, and a number that changes with them.
func (t *Tracker) Own() (map[string]Use, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Use, len(t.own))
	for id, u := range t.own {
		out[id] = u
	}
	return out, t.changed
}

// Changed returns a number that changes with this daemon's uses.
func (t *Tracker) Changed() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// SetPeer replaces what a peer has reported.
func (t *Tracker) SetPeer(instance string, uses map[string]Use, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[instance] = report{at: now, uses: uses}
	for name, p := range t.peers {
		if now.Sub(p.at) > t.MaxAge {
			delete(t.peers, name)
		}
	}
}

func (t *Tracker) add(endpoint string, u Use, sign int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := plus(t.own[endpoint], u, sign)
	if sum == (Use{}) {
		delete(t.own, endpoint)
	} else {
		t.own[endpoint] = sum
	}
	t.changed++
}

func plus(a, b Use, sign int) Use {
	return Use{
		Requests:      a.Requests + sign*b.Requests,
		PrefillTokens: a.PrefillTokens + sign*b.PrefillTokens,
		MemoryTokens:  a.MemoryTokens + sign*b.MemoryTokens,
	}
}
