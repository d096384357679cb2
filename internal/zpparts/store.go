package zpparts

import (
	"strconv"
	"strings"
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
		Settle time.Duration // after a change of epoch before parts are saved

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

// holderSeparator stands between the name of a store and its epoch.
const holderSeparator = "@"

// savePause is how long after a request to save a part no other one is made.
const savePause = 4 * time.Second

// NewStores returns an empty list.
func NewStores(maxAge, settle time.Duration) *Stores {
	return &Stores{MaxAge: maxAge, Settle: settle, states: map[string]*storeState{}}
}

// Holder returns the name under which the directory lists the parts of a store.
// It changes with each restart, so that late news of an earlier life cannot be
// taken for parts that the store has now.
func (x Store) Holder() string {
	return x.Name + holderSeparator + strconv.FormatInt(x.Epoch, 10)
}

// StoreName returns the name of the store that a holder is; ok is false for
// engines.
func StoreName(holder string) (name string, ok bool) {
	name, _, ok = strings.Cut(holder, holderSeparator)
	return name, ok
}

// Set takes over the state of a store and returns the holder whose parts are
// void now, or "".
func (s *Stores) Set(x Store, now time.Time) (void string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.states[x.Name]
	if !ok {
		s.states[x.Name] = &storeState{Store: x, heardAt: now, since: now, saving: map[Key]time.Time{}}
		return ""
	}
	if x.Epoch != old.Epoch || !x.Readable {
		void = old.Holder()
	}
	if x.Epoch != old.Epoch || x.Readable && !old.Readable {
		old.since = now
		clear(old.saving)
	}
	old.Store, old.heardAt = x, now
	return void
}

// Readable reports whether the parts listed for a holder may be fetched.
func (s *Stores) Readable(holder string, now time.Time) bool {
	name, ok := StoreName(holder)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	return ok && x.Holder() == holder && x.isFresh(s.MaxAge, now)
}

// Writable reports whether parts may be saved to a store. After a restart of the
// store that waits until no daemon can take a part that is being written for one
// that it had before.
func (s *Stores) Writable(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	return ok && x.isFresh(s.MaxAge, now) && now.Sub(x.since) >= s.Settle
}

func (x *storeState) isFresh(maxAge time.Duration, now time.Time) bool {
	return x.Store.Readable && now.Sub(x.heardAt) <= maxAge
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

// IsSaving reports whether a part was lately asked to be saved to a store.
func (s *Stores) IsSaving(name string, key Key, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	if !ok {
		return false
	}
	at, asked := x.saving[key]
	return asked && now.Sub(at) < savePause
}

// Saving lists the stores to which a part was lately asked to be saved.
func (s *Stores) Saving(key Key, now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for name, x := range s.states {
		if at, ok := x.saving[key]; ok && now.Sub(at) < savePause {
			out = append(out, Change{Holder: name, Key: key})
		}
	}
	return out
}

// BeginSave counts a part that a daemon asks to be saved.
func (s *Stores) BeginSave(c Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[c.Holder]
	if !ok {
		return
	}
	for k, at := range x.saving {
		if now.Sub(at) >= savePause {
			delete(x.saving, k)
		}
	}
	x.saving[c.Key] = now
	x.Store.Free -= c.Tokens
}
