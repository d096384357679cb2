// Package zpquarantine recognises requests that crash the endpoints that run
// them. A request whose fingerprint was present at crashes of two endpoints is
// refused everywhere; one present at a single crash is a suspect and runs
// alone.
package zpquarantine

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// Standing is what is thought of a fingerprint.
	Standing int

	// List holds the fingerprints that were present at crashes. It is safe for
	// concurrent use.
	List struct {
		Retention time.Duration

		mu      sync.Mutex
		entries *lru.Cache[string, *record]
		served  *lru.Cache[string, time.Time] // requests that ran to their end
	}

	record struct {
		crashes map[string]time.Time // by crash id
	}
)

// Standings.
const (
	StandingClear   Standing = iota
	StandingSuspect          // one crash: run alone
	StandingBanned           // two crashes: refuse
)

const (
	entriesKept = 65536
	// servedKept is less: only equal requests that come often matter, and those are
	// seen again soon.
	servedKept = 4096
	banAt      = 2
)

// NewList returns an empty list.
func NewList(retention time.Duration) *List {
	// The sizes are positive constants, so New cannot fail.
	entries, _ := lru.New[string, *record](entriesKept)
	served, _ := lru.New[string, time.Time](servedKept)
	return &List{Retention: retention, entries: entries, served: served}
}

// Served notes that a request ran to its end. A request that crashes endpoints
// does so each time, so what was held against its fingerprint was chance: a
// request that many callers send is present at many crashes.
func (l *List) Served(fingerprint string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.Add(fingerprint, now)
	l.entries.Remove(fingerprint)
}

// Note records that a fingerprint was present at a crash and reports whether
// that is news. A crash id names one fall of one endpoint, so that two reports
// of the same fall count once. It is no news of a request that was served here.
func (l *List) Note(fingerprint, crash string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.served.Get(fingerprint); ok && now.Sub(at) <= l.Retention {
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

// Standing returns what is thought of a fingerprint at now.
func (l *List) Standing(fingerprint string, now time.Time) Standing {
	switch n := len(l.Crashes(fingerprint, now)); {
	case n >= banAt:
		return StandingBanned
	case n == 1:
		return StandingSuspect
	default:
		return StandingClear
	}
}

// Crashes returns the crash ids of a fingerprint that are within the retention.
func (l *List) Crashes(fingerprint string, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.entries.Get(fingerprint)
	if !ok {
		return nil
	}
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

// Acquit forgets a suspect that ran to its end alone.
func (l *List) Acquit(fingerprint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.entries.Peek(fingerprint); ok && len(r.crashes) < banAt {
		l.entries.Remove(fingerprint)
	}
}
