package zpparts

import (
	"sync"
	"time"
)

type (
	// Store is the state of a store of KV cache.
	Store struct {
		Name     string
		Epoch    int64 // of its life; a restart loses all parts
		Readable bool  // parts may be fetched from it and saved to it
		Free     int   // tokens
	}

	// Stores remembers the state of stores as their followers tell it. Parts of a
	// store may be used only while that state is fresh: a follower that frees parts
	// waits until all other daemons have heard of it or have stopped using it. It
	// is safe for concurrent use.
	Stores struct {
		MaxAge time.Duration // of the state
		Settle time.Duration // after a change of epoch before parts are used

		mu     sync.Mutex
		states map[string]*storeState
	}

	storeState struct {
		Store
		heardAt time.Time
		since   time.Time // of the epoch
		saving  map[Key]time.Time
	}
)

// savePause is how long after a request to save a part no other one is made.
const savePause = 4 * time.Second

// NewStores returns an empty list.
func NewStores(maxAge, settle time.Duration) *Stores {
	return &Stores{MaxAge: maxAge, Settle: settle, states: map[string]*storeState{}}
}

// Set takes over the state of a store and reports whether its earlier parts are
// void.
func (s *Stores) Set(x Store, now time.Time) (void bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.states[x.Name]
	if !ok {
		s.states[x.Name] = &storeState{Store: x, heardAt: now, since: now, saving: map[Key]time.Time{}}
		return true
	}
	void = x.Epoch != old.Epoch || !x.Readable
	if x.Epoch != old.Epoch || x.Readable && !old.Readable {
		old.since = now
		clear(old.saving)
	}
	old.Store, old.heardAt = x, now
	return void
}

// Usable reports whether parts may be fetched from a store and saved to it.
func (s *Stores) Usable(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	return ok && x.Readable && now.Sub(x.heardAt) <= s.MaxAge && now.Sub(x.since) >= s.Settle
}

// Free returns the tokens that a store has room for.
func (s *Stores) Free(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.states[name]; ok {
		return x.Store.Free
	}
	return 0
}

// BeginSave counts a part that is to be saved. It reports false if that was
// asked for a short time ago.
func (s *Stores) BeginSave(name string, key Key, tokens int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	if !ok {
		return false
	}
	if at, asked := x.saving[key]; asked && now.Sub(at) < savePause {
		return false
	}
	for k, at := range x.saving {
		if now.Sub(at) >= savePause {
			delete(x.saving, k)
		}
	}
	x.saving[key] = now
	x.Store.Free -= tokens
	return true
}
