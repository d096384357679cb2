package zpparts

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// Store is the state of a KV cache store.
	Store struct {
		Name     string
		Epoch    int64 // changes with each restart, which loses all parts
		Readable bool  // parts can be fetched from it and saved to it
		Free     int   // free capacity in tokens
	}

	// Stores tracks the state of stores as reported by their followers. Parts of a
	// store may be used only while its state is fresh: before it frees parts, a
	// follower waits until all other daemons have received the announcement or
	// their state of the store has expired. It is safe for concurrent use.
	Stores struct {
		MaxAge      time.Duration // age at which the state of a store expires
		SettleDelay time.Duration // time after a restart of a store before parts are saved to it

		mu     sync.Mutex
		states map[string]*storeState
	}

	storeState struct {
		Store
		updatedAt  time.Time
		epochStart time.Time         // also reset when the store becomes readable again
		saving     map[Key]time.Time // time of the last request to save each part
	}
)

// holderSeparator separates the name of a store from its epoch in the name of a
// holder.
const holderSeparator = "@"

// saveRepeatInterval is the time after a request to save a part during which the
// request is not repeated.
const saveRepeatInterval = 4 * time.Second

// NewStores returns an empty set of stores.
func NewStores(maxAge, settle time.Duration) *Stores {
	return &Stores{MaxAge: maxAge, SettleDelay: settle, states: map[string]*storeState{}}
}

// Holder returns the name under which the directory lists the parts of a store.
// It contains the epoch, so that a delayed update from before a restart cannot
// be mistaken for parts that the store has now.
func (x Store) Holder() string {
	return x.Name + holderSeparator + strconv.FormatInt(x.Epoch, 10)
}

// StoreName returns the name of the store that a holder refers to. It returns
// false if the holder is an engine.
func StoreName(holder string) (name string, ok bool) {
	name, _, ok = strings.Cut(holder, holderSeparator)
	return name, ok
}

// Set updates the state of a store. It returns the holder whose directory entries
// are no longer valid, or "" if there is none.
func (s *Stores) Set(x Store, now time.Time) (invalidated string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.states[x.Name]
	if !ok {
		s.states[x.Name] = &storeState{Store: x, updatedAt: now, epochStart: now, saving: map[Key]time.Time{}}
		return ""
	}
	if x.Epoch != old.Epoch || !x.Readable {
		invalidated = old.Holder()
	}
	if x.Epoch != old.Epoch || x.Readable && !old.Readable {
		old.epochStart = now
		clear(old.saving)
	}
	old.Store, old.updatedAt = x, now
	return invalidated
}

// Readable reports whether the parts listed for a store's holder may be fetched.
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
// store it returns false for SettleDelay, until no daemon can mistake a part
// that is being written for one that the store held before.
func (s *Stores) Writable(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	return ok && x.isFresh(s.MaxAge, now) && now.Sub(x.epochStart) >= s.SettleDelay
}

func (x *storeState) isFresh(maxAge time.Duration, now time.Time) bool {
	return x.Store.Readable && now.Sub(x.updatedAt) <= maxAge
}

// Free returns the free capacity of a store in tokens.
func (s *Stores) Free(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.states[name]; ok {
		return x.Store.Free
	}
	return 0
}

// IsSaving reports whether a recent request asked to save a part to a store.
func (s *Stores) IsSaving(name string, key Key, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[name]
	if !ok {
		return false
	}
	at, requested := x.saving[key]
	return requested && now.Sub(at) < saveRepeatInterval
}

// Saving lists the stores to which a recent request asked to save a part.
func (s *Stores) Saving(key Key, now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for name, x := range s.states {
		if at, ok := x.saving[key]; ok && now.Sub(at) < saveRepeatInterval {
			out = append(out, Change{Holder: name, Key: key})
		}
	}
	return out
}

// BeginSave records a request to save a part and subtracts the part's tokens
// from the free capacity of the store.
func (s *Stores) BeginSave(c Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.states[c.Holder]
	if !ok {
		return
	}
	for k, at := range x.saving {
		if now.Sub(at) >= saveRepeatInterval {
			delete(x.saving, k)
		}
	}
	x.saving[c.Key] = now
	x.Store.Free -= c.Tokens
}
