// Package zporigin knows at which software version each resumable stream began. Callers may
// take a stream up at any daemon, and what two versions write does not fit together. While a
// pool has endpoints of several versions, a daemon therefore tells a few others of each
// stream before its caller gets the first event.
package zporigin

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/zeebo/xxh3"
)

type (
	// Origin is the beginning of a stream.
	Origin struct {
		Request string // id of the caller's attempt that brought the first event
		Pool    string
		Version string // software version of the endpoint that began the stream
	}

	// Table holds the origins of recent streams, a limited number of them. It is safe for
	// concurrent use.
	Table struct {
		entries *lru.Cache[string, entry]

		mu     sync.Mutex
		lostAt time.Time // when the newest origin that had no room any more was recorded
	}

	entry struct {
		origin Origin
		at     time.Time
	}
)

const (
	// Retention is how long an origin is kept: no stream lasts longer, with the time in which
	// its caller may take it up.
	Retention = time.Minute
	// maxOrigins and maxIDBytes bound a table to a few MB. Callers choose the ids.
	maxOrigins = 1 << 15
	maxIDBytes = 64
)

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.entries = newCache(func(_ string, e entry) { t.recordLost(e.at) })
	return t
}

// newCache returns an empty cache of maxOrigins entries by request. onEvicted may be nil.
func newCache[V any](onEvicted func(request string, x V)) *lru.Cache[string, V] {
	entries, err := lru.NewWithEvict(maxOrigins, onEvicted)
	if err != nil {
		panic(fmt.Errorf("create cache of origins: %w", err)) // the size is a valid constant
	}
	return entries
}

// KeepsSince returns the time since which the table has kept all origins that were recorded, or
// the zero time if none has been lost.
func (t *Table) KeepsSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lostAt
}

func (t *Table) recordLost(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.lostAt) {
		t.lostAt = at
	}
}

// keyOf returns the id under which a request is known here and to other daemons.
func keyOf(request string) string {
	if len(request) <= maxIDBytes {
		return request
	}
	h := xxh3.HashString128(request)
	return fmt.Sprintf("%016x%016x", h.Hi, h.Lo)
}

// Record adds an origin. The first one of a request stays.
func (t *Table) Record(o Origin, now time.Time) {
	if e, ok := t.entries.Peek(o.Request); ok && now.Sub(e.at) < Retention {
		return
	}
	t.entries.Add(o.Request, entry{o, now})
}

// Find returns the origin of a request's stream.
func (t *Table) Find(request string, now time.Time) (Origin, bool) {
	e, ok := t.entries.Peek(request)
	if !ok || now.Sub(e.at) >= Retention {
		return Origin{}, false
	}
	return e.origin, true
}

// Recent returns the origins in a pool.
func (t *Table) Recent(pool string, now time.Time) []Origin {
	var out []Origin
	for _, e := range t.entries.Values() {
		if e.origin.Pool == pool && now.Sub(e.at) < Retention {
			out = append(out, e.origin)
		}
	}
	return out
}
