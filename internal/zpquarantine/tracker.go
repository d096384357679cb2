package zpquarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// Tracker finds what crashes endpoints: a request as a whole, or a part that it
	// shares with other requests. Each of these has a fingerprint. A fingerprint is
	// suspected if its requests were running at crashes and none of them has run without
	// harm. It is safe for concurrent use.
	Tracker struct {
		Retention time.Duration // how long a crash or a harmless run counts

		mu       sync.Mutex
		crashes  map[string]*crash              // by id
		suspects map[string]map[string]struct{} // crash ids by fingerprint
		entries  int                            // number of fingerprints in all crashes

		// Last harmless runs, by fingerprint. Requests have a cache of their own, as most
		// are sent once and would displace the parts.
		harmlessRequests *lru.Cache[string, time.Time]
		harmlessParts    *lru.Cache[string, time.Time]
		cleared          *lru.Cache[string, struct{}] // those of them that were in reports
	}

	// Report is one request that was running when an endpoint crashed.
	Report struct {
		Crash        string    // identifies the crash; equal in all reports of it
		CrashedAt    time.Time // when the endpoint crashed
		SentAt       time.Time // when the request was sent to the endpoint
		Workspace    string
		Fingerprints []string // that may have caused the crash
		OnTrial      bool     // it was sent although it was banned, to test that
	}

	// Finding is the status of a request, with the fingerprint that it is due to.
	Finding struct {
		Status      Status
		Fingerprint string // empty if the status is StatusClear
		Crashes     int    // crashes that count against the fingerprint
		IsContested bool   // what other requests have may account for its crashes
	}

	crash struct {
		at       time.Time
		suspects map[string]*presence // by fingerprint
	}

	// presence is what is known of a fingerprint at a crash.
	presence struct {
		// Shortest run until the crash, by workspace. Unlike the time of the send, it does
		// not change if a report arrives late.
		ran     map[string]time.Duration
		onTrial bool
	}

	entry struct {
		crash, fingerprint string
		at                 time.Time
		isRepeated         bool // the fingerprint was at several crashes
	}
)

const (
	// partBanThreshold is the number of crashes from which a part is refused. It is
	// higher than banThreshold because a part belongs to many requests, of which some
	// may have run beside the guilty one.
	partBanThreshold = 3
	// separateFailures is the time from which two crashes have separate causes, even if the
	// request of the second was already running at the first. Sent bytes that stay
	// unacknowledged reveal the loss of a failure domain within less.
	separateFailures = 2 * time.Second
	// maxTrackedEntries bounds the fingerprints of all crashes, and maxTrackedHarmless
	// the requests and the parts known to be harmless, and with them the memory.
	maxTrackedEntries  = 16384
	maxTrackedHarmless = 16384
	// keptEntries is how many fingerprints are left after an eviction.
	keptEntries = maxTrackedEntries * 3 / 4
	// maxTrackedCleared is lower because each new daemon is sent all of them.
	maxTrackedCleared = 1024
)

// partPrefix distinguishes fingerprints of parts from those of whole requests, which are
// hexadecimal.
const partPrefix = "part/"

// PartFingerprint returns the fingerprint of a part of a prompt, whichever model reads it.
func PartFingerprint(part string) string { return partPrefix + part }

func isPart(fingerprint string) bool { return strings.HasPrefix(fingerprint, partPrefix) }

// NewTracker returns a tracker without crashes.
func NewTracker(retention time.Duration) *Tracker {
	// New fails only for a size that is not positive.
	requests, _ := lru.New[string, time.Time](maxTrackedHarmless)
	parts, _ := lru.New[string, time.Time](maxTrackedHarmless)
	cleared, _ := lru.New[string, struct{}](maxTrackedCleared)
	return &Tracker{
		Retention: retention, crashes: map[string]*crash{}, suspects: map[string]map[string]struct{}{},
		harmlessRequests: requests, harmlessParts: parts, cleared: cleared,
	}
}

// lastHarmless returns the cache for the last harmless run of a fingerprint.
func (t *Tracker) lastHarmless(fingerprint string) *lru.Cache[string, time.Time] {
	if isPart(fingerprint) {
		return t.harmlessParts
	}
	return t.harmlessRequests
}

// RecordHarmless records that requests with the given fingerprints ran without a crash,
// and returns those that were suspected until now. What crashes endpoints does so each
// time, so their earlier crashes had another cause.
func (t *Tracker) RecordHarmless(fingerprints []string, now time.Time) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range fingerprints {
		t.lastHarmless(f).Add(f, now)
		if len(t.suspects[f]) > 0 {
			cleared = append(cleared, f)
			t.cleared.Add(f, struct{}{})
			t.clear(f)
		}
	}
	return cleared
}

// Harmless returns those of the fingerprints that are known to be harmless.
func (t *Tracker) Harmless(fingerprints []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f string) bool { return !t.isHarmless(f, now) })
}

// NotHarmless returns those of the fingerprints that are not known to be harmless.
func (t *Tracker) NotHarmless(fingerprints []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f string) bool { return t.isHarmless(f, now) })
}

// isHarmless reports whether a fingerprint is known to be harmless; t.mu must be held.
func (t *Tracker) isHarmless(fingerprint string, now time.Time) bool {
	at, ok := t.lastHarmless(fingerprint).Get(fingerprint)
	return ok && now.Sub(at) <= t.Retention
}

// RecordCrash records a report and returns the fingerprints for which it is new: by its
// crash, its workspace or a shorter run. Those of harmless runs are ignored.
func (t *Tracker) RecordCrash(r Report, now time.Time) (recorded []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if now.Sub(r.CrashedAt) > t.Retention {
		return nil
	}
	for _, f := range r.Fingerprints {
		if t.isHarmless(f, now) {
			t.cleared.Add(f, struct{}{})
			continue
		}
		if t.add(f, r) {
			recorded = append(recorded, f)
		}
	}
	if t.entries > maxTrackedEntries {
		t.evict()
	}
	return recorded
}

// add records one fingerprint of a report and reports whether the report is new for it;
// t.mu must be held.
func (t *Tracker) add(fingerprint string, r Report) bool {
	c, ok := t.crashes[r.Crash]
	if !ok {
		c = &crash{at: r.CrashedAt, suspects: map[string]*presence{}}
		t.crashes[r.Crash] = c
	}
	if r.CrashedAt.Before(c.at) {
		c.at = r.CrashedAt
	}
	p, known := c.suspects[fingerprint]
	if !known {
		p = &presence{ran: map[string]time.Duration{}}
		c.suspects[fingerprint] = p
		t.entries++
	}
	if t.suspects[fingerprint] == nil {
		t.suspects[fingerprint] = map[string]struct{}{}
	}
	t.suspects[fingerprint][r.Crash] = struct{}{}
	isNewTrial := r.OnTrial && !p.onTrial
	p.onTrial = p.onTrial || r.OnTrial
	ran := r.CrashedAt.Sub(r.SentAt)
	if shortest, ok := p.ran[r.Workspace]; ok && shortest <= ran {
		return isNewTrial
	}
	p.ran[r.Workspace] = ran
	return true
}
