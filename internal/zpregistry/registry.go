// Package zpregistry holds the endpoints that have registered in the store and
// decides which of them may receive new work.
package zpregistry

import (
	"slices"
	"sort"
	"sync"
	"time"
)

type (
	// State is the state that an endpoint reports of itself.
	State int

	// Endpoint is one run, from start to exit, of an engine or of a replica of a
	// plain service. After a restart it has the same ID and a later StartedAtMS.
	Endpoint struct {
		ID              string
		Pool            string
		Address         string // IP:PORT
		FailureDomain   string
		Region          string
		SoftwareVersion string // version of the endpoint's software
		Slots           int
		State           State
		ColdUntil       time.Time
		StartedAtMS     int64            // Unix time of the start in ms; zero if unknown
		Weights         map[string]int64 // weight version by model
	}

	// Registry holds the endpoints. It is safe for concurrent use.
	Registry struct {
		// GracePeriod is the time after the end of a store outage during which
		// endpoints without an entry in the store are kept, because entries may have
		// expired during the outage.
		GracePeriod time.Duration
		// OnRemoved is called for each endpoint that was removed or has restarted under
		// its id. An endpoint removed at the end of the grace period is reported with
		// the next call of Serving, Replace, Put or Remove. OnRemoved may be nil.
		OnRemoved func(e Endpoint)

		mu              sync.Mutex
		entries         map[string]*entry
		evacuated       map[string]bool // failure domains that receive no new work
		storeReturnedAt time.Time       // when the last outage of the store ended
		endpointsListed bool
		evacuatedKnown  bool                  // SetEvacuated was called
		servingByPool   map[string][]Endpoint // cache of Serving; nil if outdated
		versionsByPool  map[string][]string   // cache of SoftwareVersions, as old as servingByPool
		removed         []Endpoint            // not yet passed to OnRemoved
		leaving         map[string]int64      // StartedAtMS of endpoints that have said that they leave
		withheld        withheld
		gone            map[string]goneEndpoint // by id
	}

	entry struct {
		endpoint Endpoint
		removeAt time.Time // zero if the store holds the entry
	}
)

// States of an endpoint.
const (
	StateReady State = iota
	StateDraining
)

// New returns a registry without endpoints.
func New(gracePeriod time.Duration) *Registry {
	return &Registry{GracePeriod: gracePeriod, entries: map[string]*entry{}, evacuated: map[string]bool{}}
}

// StoreReturned records that the store responds again after an outage.
func (r *Registry) StoreReturned(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeReturnedAt = now
}

// Replace replaces the endpoints by a complete list of the store. During the grace
// period after an outage, endpoints missing from the list are kept until its end.
func (r *Registry) Replace(list []Endpoint, now time.Time) {
	defer r.notifyRemoved()
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[string]bool{}
	for _, e := range list {
		seen[e.ID] = true
		r.putLocked(e)
	}
	for id := range r.entries {
		if !seen[id] {
			r.removeLocked(id, now)
		}
	}
	r.endpointsListed = true
	r.servingByPool = nil
}

// Put adds or updates one endpoint.
func (r *Registry) Put(e Endpoint) {
	defer r.notifyRemoved()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putLocked(e)
	r.servingByPool = nil
}

// Remove removes an endpoint whose entry was removed from the store, or, during the
// grace period after an outage, marks it for removal at its end.
func (r *Registry) Remove(id string, now time.Time) {
	defer r.notifyRemoved()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(id, now)
	r.servingByPool = nil
}

// Versions returns the weight versions of a model that a pool's serving engines
// have, oldest first.
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
	r.evacuated = map[string]bool{}
	for _, d := range domains {
		r.evacuated[d] = true
	}
	r.evacuatedKnown = true
	r.servingByPool = nil
}

// SetWeights records the weight version of a model that was observed at an endpoint.
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
	r.servingByPool = nil
}

// HasSynced reports whether the endpoints and the evacuated failure domains were both
// read at least once. Before that, a request could be sent to an endpoint that was
// taken out long ago.
func (r *Registry) HasSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpointsListed && r.evacuatedKnown
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

// Serving returns the endpoints of a pool that may receive new work at now, sorted
// by id. The result is shared between callers and must not be modified.
func (r *Registry) Serving(pool string, now time.Time) []Endpoint {
	r.mu.Lock()
	r.removeExpired(now)
	r.endWithholding(now)
	serving, hasRemoved := r.servingLocked(pool), len(r.removed) > 0
	r.mu.Unlock()
	if hasRemoved {
		r.notifyRemoved()
	}
	return serving
}

// servingLocked returns the endpoints of a pool that may receive new work; r.mu must be held.
func (r *Registry) servingLocked(pool string) []Endpoint {
	if r.servingByPool == nil {
		r.servingByPool, r.versionsByPool = map[string][]Endpoint{}, map[string][]string{}
		for _, x := range r.entries {
			if pool, version := x.endpoint.Pool, x.endpoint.SoftwareVersion; !slices.Contains(r.versionsByPool[pool], version) {
				r.versionsByPool[pool] = append(r.versionsByPool[pool], version)
			}
			if r.mayServeLocked(x.endpoint) {
				r.servingByPool[x.endpoint.Pool] = append(r.servingByPool[x.endpoint.Pool], x.endpoint)
			}
		}
		for _, list := range r.servingByPool {
			sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		}
	}
	return r.servingByPool[pool]
}

// SoftwareVersions returns the software versions of all endpoints of a pool, including draining
// and evacuated ones, in no order. The result is shared between callers and must not be modified.
func (r *Registry) SoftwareVersions(pool string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	r.servingLocked(pool)
	return r.versionsByPool[pool]
}

// AllInPool returns all endpoints of a pool, including draining and evacuated ones, sorted
// by id.
func (r *Registry) AllInPool(pool string, now time.Time) []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeExpired(now)
	var out []Endpoint
	for _, x := range r.entries {
		if x.endpoint.Pool == pool {
			out = append(out, x.endpoint)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// HasAddress reports whether any endpoint has an address.
func (r *Registry) HasAddress(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.entries {
		if x.endpoint.Address == address {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all endpoints.
func (r *Registry) Addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.entries))
	for _, x := range r.entries {
		out = append(out, x.endpoint.Address)
	}
	return out
}

// putLocked adds or updates an endpoint; r.mu must be held. It ignores an entry that
// was written late by an earlier run of the endpoint.
func (r *Registry) putLocked(e Endpoint) {
	if old, ok := r.entries[e.ID]; ok && e.StartedAtMS < old.endpoint.StartedAtMS {
		old.removeAt = time.Time{}
		return
	}
	if old, ok := r.entries[e.ID]; ok && e.StartedAtMS > old.endpoint.StartedAtMS {
		r.removed = append(r.removed, old.endpoint)
	}
	r.entries[e.ID] = &entry{endpoint: e}
}

// removeLocked removes an endpoint, at once or at the end of the grace period; r.mu
// must be held.
func (r *Registry) removeLocked(id string, now time.Time) {
	x, ok := r.entries[id]
	if !ok {
		return
	}
	until := r.storeReturnedAt.Add(r.GracePeriod)
	if r.storeReturnedAt.IsZero() || !now.Before(until) {
		delete(r.entries, id)
		r.removed = append(r.removed, x.endpoint)
		r.recordGone(x.endpoint, now)
		return
	}
	x.removeAt = until
}

// removeExpired removes the endpoints whose grace period has ended; r.mu must be
// held.
func (r *Registry) removeExpired(now time.Time) {
	for id, x := range r.entries {
		if !x.removeAt.IsZero() && !now.Before(x.removeAt) {
			delete(r.entries, id)
			r.removed = append(r.removed, x.endpoint)
			r.recordGone(x.endpoint, now)
			r.servingByPool = nil
		}
	}
}

// notifyRemoved passes removed endpoints to OnRemoved; r.mu must not be held.
func (r *Registry) notifyRemoved() {
	r.mu.Lock()
	removed := r.removed
	r.removed = nil
	r.mu.Unlock()
	if r.OnRemoved == nil {
		return
	}
	for _, e := range removed {
		r.OnRemoved(e)
	}
}
