// Package zprollout brings the weights of engines to the named version: what is
// named, which engines are being changed, and which order is due next.
package zprollout

import (
	"sync"
	"time"
)

type (
	// Board is what a daemon knows of weight versions. It is safe for concurrent
	// use.
	Board struct {
		// Limit is how long after a newer version was named requests may still begin
		// on an older one; zero: without end.
		Limit time.Duration

		mu       sync.Mutex
		named    map[string][]naming  // by model, in order
		changing map[string]time.Time // engines that load weights, until when at most
	}

	// naming is a version and when this daemon learned of it.
	naming struct {
		version int64
		at      time.Time
	}
)

// namingsKept bounds the versions that are remembered for each model.
const namingsKept = 16

// NewBoard returns an empty board.
func NewBoard(limit time.Duration) *Board {
	return &Board{Limit: limit, named: map[string][]naming{}, changing: map[string]time.Time{}}
}

// Name notes the named version of a model and reports whether that is news.
// Versions only increase.
func (b *Board) Name(model string, version int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.newest(model) {
		return false
	}
	list := append(b.named[model], naming{version, now})
	b.named[model] = list[max(len(list)-namingsKept, 0):]
	return true
}

// Named returns the named version of a model; zero: none.
func (b *Board) Named(model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newest(model)
}

// Targets returns the named versions of all models.
func (b *Board) Targets() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int64, len(b.named))
	for model := range b.named {
		out[model] = b.newest(model)
	}
	return out
}

// Replaced returns for how long a version of a model has been replaced by a
// newer one; zero: it is the newest.
func (b *Board) Replaced(model string, version int64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.named[model] {
		if n.version > version {
			return now.Sub(n.at)
		}
	}
	return 0
}

// Expired reports whether no request may begin on a version any more.
func (b *Board) Expired(model string, version int64, now time.Time) bool {
	return b.Limit > 0 && b.Replaced(model, version, now) >= b.Limit
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

// Loaded ends the change of an engine that has the newest weights of all its
// models. Its holder may be unable to tell.
func (b *Board) Loaded(endpoint string, weights map[string]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for model, version := range weights {
		if version < b.newest(model) {
			return
		}
	}
	delete(b.changing, endpoint)
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

func (b *Board) newest(model string) int64 {
	list := b.named[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}
