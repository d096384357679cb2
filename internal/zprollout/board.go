// Package zprollout brings the weights of engines to the named version: what is
// named, which engines are being changed, and which order is due next.
package zprollout

import (
	"sync"
	"time"
)

// Board is what a daemon knows of weight versions. It is safe for concurrent
// use.
type Board struct {
	mu       sync.Mutex
	named    map[string]int64     // by model
	namedAt  map[string]time.Time // when this daemon learned of it
	changing map[string]time.Time // engines that load weights, until when at most
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{named: map[string]int64{}, namedAt: map[string]time.Time{}, changing: map[string]time.Time{}}
}

// Name notes the named version of a model. Versions only increase.
func (b *Board) Name(model string, version int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.named[model] {
		return false
	}
	b.named[model], b.namedAt[model] = version, now
	return true
}

// Named returns the named version of a model; zero: none.
func (b *Board) Named(model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.named[model]
}

// Targets returns the named versions of all models.
func (b *Board) Targets() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int64, len(b.named))
	for m, v := range b.named {
		out[m] = v
	}
	return out
}

// SetChanging notes that an engine takes no requests until its weights are
// loaded. A zero time ends it.
func (b *Board) SetChanging(endpoint string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.IsZero() {
		delete(b.changing, endpoint)
		return
	}
	b.changing[endpoint] = until
}

// Changing reports whether an engine is loading weights.
func (b *Board) Changing(endpoint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.changing[endpoint]
	if ok && !now.Before(until) {
		delete(b.changing, endpoint)
		ok = false
	}
	return ok
}
