// Package zpquarantine detects requests that crash the endpoints on which they
// run. A request whose fingerprint was running at two crashes is refused
// everywhere. After a single crash it is a suspect and runs alone.
package zpquarantine

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// Status is the quarantine status of a fingerprint.
	Status int

	// List holds the fingerprints of requests that were running at crashes. It is
	// safe for concurrent use.
	List struct {
		Retention time.Duration // how long a crash or a completed run counts

		mu        sync.Mutex
		entries   *lru.Cache[string, *record]
		completed *lru.Cache[string, time.Time] // last completed run, by fingerprint
	}

	record struct {
		crashes map[string]time.Time // time of the report, by crash id
	}
)

// Quarantine statuses.
const (
	StatusClear   Status = iota
	StatusSuspect        // one crash: runs alone
	StatusBanned         // two crashes: refused
)

const (
	maxEntries = 65536
	// maxCompleted is lower than maxEntries because only frequent requests need an
	// entry, and they are soon added again.
	maxCompleted = 4096
	banThreshold = 2
)

// NewList returns an empty list.
func NewList(retention time.Duration) *List {
	// New fails only for a size that is not positive.
	entries, _ := lru.New[string, *record](maxEntries)
	completed, _ := lru.New[string, time.Time](maxCompleted)
	return &List{Retention: retention, entries: entries, completed: completed}
}

// RecordSuccess records a completed run and removes the crashes of its fingerprint.
// A request that crashes endpoints does so in each run, so its earlier crashes
// were a coincidence: a request that many callers send is running at many crashes.
func (l *List) RecordSuccess(fingerprint string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed.Add(fingerprint, now)
	l.entries.Remove(fingerprint)
}

// RecordCrash records that a request was running at a crash and reports whether the
// record is new. A crash id identifies one crash of one endpoint, so that repeated
// reports of it count once. Crashes of a request that has completed here within
// the retention are ignored.
func (l *List) RecordCrash(fingerprint, crash string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.completed.Get(fingerprint); ok && now.Sub(at) <= l.Retention {
		return false
	}
	r, ok := l.entries.Get(fingerprint)
	if !ok {
		r = &record{crashes: map[string]time.Time{}}
		l.entries.Add(fingerprint, r)
	}
	if _, known := r.crashes[crash]; known {
		return false
	}
	r.crashes[crash] = now
	return true
}

// Status returns the status of a fingerprint at now.
func (l *List) Status(fingerprint string, now time.Time) Status {
	switch n := len(l.Crashes(fingerprint, now)); {
	case n >= banThreshold:
		return StatusBanned
	case n == 1:
		return StatusSuspect
	default:
		return StatusClear
	}
}

// Banned returns the crash ids of the banned fingerprints, by fingerprint.
func (l *List) Banned(now time.Time) map[string][]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]string{}
	for _, fingerprint := range l.entries.Keys() {
		r, _ := l.entries.Peek(fingerprint)
		if crashes := l.recent(r, now); len(crashes) >= banThreshold {
			out[fingerprint] = crashes
		}
	}
	return out
}

// Crashes returns the crash ids of a fingerprint that are within the retention.
func (l *List) Crashes(fingerprint string, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.entries.Get(fingerprint)
	if !ok {
		return nil
	}
	return l.recent(r, now)
}

// recent returns the crash ids of a record that are within the retention, and removes
// the others. The lock must be held.
func (l *List) recent(r *record, now time.Time) []string {
	var out []string
	for id, at := range r.crashes {
		if now.Sub(at) > l.Retention {
			delete(r.crashes, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// ClearSuspect removes the crash of a suspect that completed while running alone.
func (l *List) ClearSuspect(fingerprint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.entries.Peek(fingerprint); ok && len(r.crashes) < banThreshold {
		l.entries.Remove(fingerprint)
	}
}
