// Package zpusage tracks the running work that all daemons of the fleet have sent
// to each endpoint.
package zpusage

import (
	"strconv"
	"sync"
	"time"
)

type (
	// Usage is the amount of running work on one endpoint.
	Usage struct {
		Requests      int
		PrefillTokens int // prompt tokens to process before the first output of running requests
		MemoryTokens  int // of the prompts and answers of running requests
	}

	// Tracker sums the work that was sent by this daemon and reported by its peers.
	// It is safe for concurrent use.
	Tracker struct {
		MaxReportAge time.Duration // age above which the report of a peer is ignored

		mu         sync.Mutex
		ownUses    map[string]Usage
		reports    map[string]report
		total      map[string]Usage // sum of ownUses and of all reports
		aging      aging
		nextExpiry time.Time // earliest time at which a report may expire
		ownVersion uint64
	}

	// RunningRequest is one running request on one endpoint. It is not safe for concurrent use.
	RunningRequest struct {
		tracker  *Tracker
		endpoint string
		use      Usage
	}

	// report is the work that a peer has reported, by endpoint.
	report struct {
		receivedAt time.Time
		uses       map[string]Usage
	}
)

// NewTracker returns a tracker without running work.
func NewTracker(maxReportAge time.Duration) *Tracker {
	return &Tracker{MaxReportAge: maxReportAge, ownUses: map[string]Usage{}, reports: map[string]report{}, total: map[string]Usage{}}
}

// WaitingKey returns the key under which the requests of a pool that wait at daemons are
// counted, in place of an endpoint. Those that can still meet their objective are counted
// apart, by their priority.
func WaitingKey(pool string, priority int, isLate bool) string {
	class := strconv.Itoa(priority)
	if isLate {
		class = "late"
	}
	return "waiting/" + pool + "/" + class
}

// WaitingOfKey returns the key under which the waiting requests of one workspace are counted
// once more.
func WaitingOfKey(pool, workspace string) string { return "waiting-of/" + pool + "/" + workspace }

// RefusedKey returns the key under which the latest refusals of an endpoint are counted, in place
// of an endpoint.
func RefusedKey(endpoint string) string { return "refused/" + endpoint }

// Begin adds a request to an endpoint. prefill and memory are numbers of tokens.
func (t *Tracker) Begin(endpoint string, prefill, memory int) *RunningRequest {
	r := &RunningRequest{tracker: t, endpoint: endpoint, use: Usage{Requests: 1, PrefillTokens: prefill, MemoryTokens: memory}}
	t.addOwn(endpoint, r.use, 1)
	return r
}

// PrefillDone removes the request's prefill tokens from the counts, because the engine has
// processed the prompt. Further calls leave the counts unchanged.
func (r *RunningRequest) PrefillDone() {
	read := Usage{PrefillTokens: r.use.PrefillTokens}
	r.use.PrefillTokens = 0
	r.tracker.addOwn(r.endpoint, read, -1)
}

// End removes the request from the counts. Further calls leave them unchanged.
func (r *RunningRequest) End() {
	r.tracker.addOwn(r.endpoint, r.use, -1)
	r.use = Usage{}
}

// OwnOf returns the running work of this daemon on an endpoint.
func (t *Tracker) OwnOf(endpoint string) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownUses[endpoint]
}

// Total returns the running work on an endpoint, as far as this daemon knows.
func (t *Tracker) Total(endpoint string, now time.Time) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	return t.total[endpoint]
}

// Believed returns the running work on an endpoint with the reports of peers weighted by
// their age. Memory is not weighted: it is taken for longer.
func (t *Tracker) Believed(endpoint string, now time.Time) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	total, ok := t.total[endpoint]
	if !ok {
		return Usage{}
	}
	own := t.ownUses[endpoint]
	return own.Plus(t.aging.of(endpoint, addSigned(total, own, -1), now))
}

// removeExpired removes reports older than MaxReportAge; t.mu must be held.
func (t *Tracker) removeExpired(now time.Time) {
	if now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(t.MaxReportAge)
	for instance, p := range t.reports {
		end := p.receivedAt.Add(t.MaxReportAge)
		if now.After(end) {
			t.removeReport(instance)
		} else if end.Before(t.nextExpiry) {
			t.nextExpiry = end
		}
	}
}

// removeReport removes a peer's report and subtracts it from the totals; t.mu must
// be held.
func (t *Tracker) removeReport(instance string) {
	t.aging.add(t.reports[instance], -1)
	for endpoint, u := range t.reports[instance].uses {
		t.addTo(t.total, endpoint, u, -1)
	}
	delete(t.reports, instance)
}

// Own returns a copy of this daemon's work by endpoint and its version, which changes
// with each update.
func (t *Tracker) Own() (map[string]Usage, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Usage, len(t.ownUses))
	for id, u := range t.ownUses {
		out[id] = u
	}
	return out, t.ownVersion
}

// OwnVersion returns the version of this daemon's work; see Own.
func (t *Tracker) OwnVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownVersion
}

// SetPeer replaces the report of a peer. The caller must not modify uses afterwards.
func (t *Tracker) SetPeer(instance string, uses map[string]Usage, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeReport(instance)
	t.aging.advance(now)
	t.reports[instance] = report{receivedAt: now, uses: uses}
	t.aging.add(t.reports[instance], 1)
	for endpoint, u := range uses {
		t.addTo(t.total, endpoint, u, 1)
	}
	t.removeExpired(now)
}

func (t *Tracker) addOwn(endpoint string, u Usage, sign int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addTo(t.ownUses, endpoint, u, sign)
	t.addTo(t.total, endpoint, u, sign)
	t.ownVersion++
}

// addTo adds u to the total of an endpoint if sign is 1, or subtracts it if sign is
// -1. A total of zero is deleted.
func (t *Tracker) addTo(totals map[string]Usage, endpoint string, u Usage, sign int) {
	sum := addSigned(totals[endpoint], u, sign)
	if sum == (Usage{}) {
		delete(totals, endpoint)
	} else {
		totals[endpoint] = sum
	}
}

// Plus returns the sum of two usages.
func (u Usage) Plus(v Usage) Usage { return addSigned(u, v, 1) }

func addSigned(a, b Usage, sign int) Usage {
	return Usage{
		Requests:      a.Requests + sign*b.Requests,
		PrefillTokens: a.PrefillTokens + sign*b.PrefillTokens,
		MemoryTokens:  a.MemoryTokens + sign*b.MemoryTokens,
	}
}
