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
		total   map[string]Use // of this daemon and all reports in peers
		sweepAt time.Time      // when the oldest report may have grown too old
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
	return &Tracker{MaxAge: maxAge, own: map[string]Use{}, peers: map[string]report{}, total: map[string]Use{}}
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
	t.sweep(now)
	return t.total[endpoint]
}

// sweep drops reports that have grown too old.
func (t *Tracker) sweep(now time.Time) {
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(t.MaxAge)
	for name, p := range t.peers {
		end := p.at.Add(t.MaxAge)
		if now.After(end) {
			t.drop(name)
		} else if end.Before(t.sweepAt) {
			t.sweepAt = end
		}
	}
}

// drop takes a peer's report out of the totals.
func (t *Tracker) drop(name string) {
	for endpoint, u := range t.peers[name].uses {
		t.count(t.total, endpoint, u, -1)
	}
	delete(t.peers, name)
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
	t.drop(instance)
	t.peers[instance] = report{at: now, uses: uses}
	for endpoint, u := range uses {
		t.count(t.total, endpoint, u, 1)
	}
	t.sweep(now)
}

func (t *Tracker) add(endpoint string, u Use, sign int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(t.own, endpoint, u, sign)
	t.count(t.total, endpoint, u, sign)
	t.changed++
}

func (t *Tracker) count(sums map[string]Use, endpoint string, u Use, sign int) {
	sum := plus(sums[endpoint], u, sign)
	if sum == (Use{}) {
		delete(sums, endpoint)
	} else {
		sums[endpoint] = sum
	}
}

func plus(a, b Use, sign int) Use {
	return Use{
		Requests:      a.Requests + sign*b.Requests,
		PrefillTokens: a.PrefillTokens + sign*b.PrefillTokens,
		MemoryTokens:  a.MemoryTokens + sign*b.MemoryTokens,
	}
}
