// Package zpquarantine detects what crashes the endpoints on which it runs. A request
// whose fingerprint was running at two crashes is refused everywhere. List does this for
// prompts of the project's own interface, where a request with one crash runs alone;
// Tracker for routed requests, whose prompts have parts with fingerprints of their own.
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
		Retention time.Duration // how long a crash counts

		mu      sync.Mutex
		entries *lru.Cache[string, *record]
	}

	record struct {
		crashes map[string]time.Time // time of the report, by crash id
	}
)

// Quarantine statuses.
const (
	StatusClear   Status = iota
	StatusSuspect        // in a crash, but in too few for a ban
	StatusBanned         // refused
)

const (
	maxEntries   = 65536
	banThreshold = 2
)

// NewList returns an empty list.
func NewList(retention time.Duration) *List {
	// New fails only for a size that is not positive.
	entries, _ := lru.New[string, *record](maxEntries)
	return &List{Retention: retention, entries: entries}
}

// RecordCrash records that a request was running at a crash and reports whether the
// record is new. A crash id identifies one crash of one endpoint, so that repeated
// reports of it count once.
func (l *List) RecordCrash(fingerprint, crash string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
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
