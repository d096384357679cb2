// Package zpregistry keeps the endpoints that have registered themselves, and
// decides which of them may receive new work.
package zpregistry

import (
	"slices"
	"sort"
	"sync"
	"time"
)

type (
	// State is what an endpoint says about itself.
	State int

	// Endpoint is one life of an engine or of a replica of a plain service.
	Endpoint struct {
		ID        string
		Pool      string
		Address   string // IP:PORT
		Domain    string
		Region    string
		Release   string // version of its software
		Slots     int
		State     State
		ColdUntil time.Time
		Born      int64            // Unix time of its start in ms; zero: unknown
		Weights   map[string]int64 // weight version by model
	}

	// Registry holds the endpoints. It is safe for concurrent use.
	Registry struct {
		// Grace is how long an entry that lapsed while the store was away may be
		// missing after its return.
		Grace time.Duration
		// OnGone is called for each endpoint that left, or that started anew under
		// its id. It may be nil.
		OnGone func(e Endpoint)

		mu       sync.Mutex
		entries  map[string]*entry
		evacuate map[string]bool // failure domains that receive no new work
		backAt   time.Time       // when the store was last seen to return
		listed   bool
		outKnown bool                  // evacuate has been read
		pools    map[string][]Endpoint // cached by Serving
		gone     []Endpoint            // not yet told to OnGone
	}

	entry struct {
		endpoint Endpoint
		dropAt   time.Time // zero: the store holds the entry
	}
)

// States of an endpoint.
const (
	StateReady State = iota
	StateDraining
)

// New returns an empty registry.
func New(grace time.Duration) *Registry {
	return &Registry{Grace: grace, entries: map[string]*entry{}, evacuate: map[string]bool{}}
}

// StoreReturned notes that the store answers again after an outage.
func (r *Registry) StoreReturned(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backAt = now
}

// Replace takes over a complete list of the store. Entries that are missing
// shortly after an outage stay until the grace is over.
func (r *Registry) Replace(list []Endpoint, now time.Time) {
	defer r.tellGone()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range list {
		seen[e.ID] = true
		r.put(e)
	}
	for id := range r.entries {
		if !seen[id] {
			r.drop(id, now)
		}
	}
	r.listed = true
	r.pools = nil
}

// Put adds or updates one endpoint.
func (r *Registry) Put(e Endpoint) {
	defer r.tellGone()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(e)
	r.pools = nil
}

// Remove drops an endpoint whose entry was removed from the store.
func (r *Registry) Remove(id string, now time.Time) {
	defer r.tellGone()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop(id, now)
	r.pools = nil
}

// Versions returns the weight versions that a pool's engines have of a model,
// oldest first.
func (r *Registry) Versions(pool, model string, now time.Time) []int64 {
	var out []int64
	for _, e := range r.Serving(pool, now) {
		if v := e.Weights[model]; v > 0 && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// SetEvacuated replaces the set of failure domains that receive no new work.
func (r *Registry) SetEvacuated(domains []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuate = map[string]bool{}
	for _, d := range domains {
		r.evacuate[d] = true
	}
	r.outKnown = true
	r.pools = nil
}

// SetWeights notes the weight version that an endpoint was seen to have.
func (r *Registry) SetWeights(id, model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.entries[id]
	if !ok || x.endpoint.Weights[model] == version {
		return
	}
	weights := map[string]int64{model: version}
	for m, v := range x.endpoint.Weights {
		if m != model {
			weights[m] = v
		}
	}
	x.endpoint.Weights = weights
	r.pools = nil
}

// Listed reports whether the endpoints, and the failure domains that are out of
// service, were read at least once. Before that, a request could go to an
// endpoint that was taken out long ago.
func (r *Registry) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed && r.outKnown
}

// Find returns one endpoint.
func (r *Registry) Find(id string) (Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.entries[id]
	if !ok {
		return Endpoint{}, false
	}
	return x.endpoint, true
}

// Serving returns the endpoints of a pool that may receive new work at now,
// sorted by id. The result is shared and must not be changed.
func (r *Registry) Serving(pool string, now time.Time) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if r.pools == nil {
		r.pools = map[string][]Endpoint{}
		for _, x := range r.entries {
			if x.endpoint.State == StateReady && !r.evacuate[x.endpoint.Domain] {
				r.pools[x.endpoint.Pool] = append(r.pools[x.endpoint.Pool], x.endpoint)
			}
		}
		for _, list := range r.pools {
			sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		}
	}
	return r.pools[pool]
}

// All returns every endpoint of a pool, draining ones too, sorted by id.
func (r *Registry) All(pool string, now time.Time) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var out []Endpoint
	for _, x := range r.entries {
		if x.endpoint.Pool == pool {
			out = append(out, x.endpoint)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// put ignores an entry that an earlier life of the endpoint wrote late.
func (r *Registry) put(e Endpoint) {
	if old, ok := r.entries[e.ID]; ok && e.Born < old.endpoint.Born {
		old.dropAt = time.Time{}
		return
	}
	if old, ok := r.entries[e.ID]; ok && e.Born > old.endpoint.Born {
		r.gone = append(r.gone, old.endpoint)
	}
	r.entries[e.ID] = &entry{endpoint: e}
}

func (r *Registry) drop(id string, now time.Time) {
	x, ok := r.entries[id]
	if !ok {
		return
	}
	until := r.backAt.Add(r.Grace)
	if r.backAt.IsZero() || !now.Before(until) {
		delete(r.entries, id)
		r.gone = append(r.gone, x.endpoint)
		return
	}
	x.dropAt = until
}

func (r *Registry) expire(now time.Time) {
	for id, x := range r.entries {
		if !x.dropAt.IsZero() && !now.Before(x.dropAt) {
			delete(r.entries, id)
			r.gone = append(r.gone, x.endpoint)
			r.pools = nil
		}
	}
}

// tellGone calls OnGone without holding the lock.
func (r *Registry) tellGone() {
	r.mu.Lock()
	gone := r.gone
	r.gone = nil
	r.mu.Unlock()
	if r.OnGone == nil {
		return
	}
	for _, e := range gone {
		r.OnGone(e)
	}
}
