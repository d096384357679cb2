package zpregistry

import (
	"maps"
	"time"
)

type (
	// withheld is what receives no new work for a while although the store lists it, as the
	// store came back from a copy that is older than what this daemon knew.
	withheld struct {
		endpoints map[string]int64 // StartedAtMS of those that were draining or gone, by id
		domains   map[string]bool  // failure domains that were evacuated
		until     time.Time
	}

	// goneEndpoint is an endpoint that was removed.
	goneEndpoint struct {
		startedAtMS int64
		at          time.Time
	}
)

const (
	// restoreGrace is the time in which endpoints and operators have written again what the
	// copy lacked.
	restoreGrace = 5 * time.Second
	// goneRetention is longer than a copy is old.
	goneRetention = 30 * time.Second
)

// StoreRestored records that the store came back from an older copy. For some seconds, endpoints
// that are known to be draining or gone and failure domains that are known to be evacuated
// receive no new work, whatever the store says, and endpoints without an entry are kept.
func (r *Registry) StoreRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeReturnedAt = now
	w := withheld{endpoints: map[string]int64{}, domains: maps.Clone(r.evacuated), until: now.Add(restoreGrace)}
	if now.Before(r.withheld.until) {
		maps.Copy(w.endpoints, r.withheld.endpoints)
		maps.Copy(w.domains, r.withheld.domains)
	}
	for id, x := range r.gone {
		if now.Sub(x.at) < goneRetention {
			w.endpoints[id] = x.startedAtMS
		}
	}
	for id, x := range r.entries {
		if x.endpoint.State == StateDraining {
			w.endpoints[id] = x.endpoint.StartedAtMS
		}
	}
	r.withheld = w
	r.servingByPool = nil
}

// recordGone remembers a removed endpoint; r.mu must be held.
func (r *Registry) recordGone(e Endpoint, now time.Time) {
	if r.gone == nil {
		r.gone = map[string]goneEndpoint{}
	}
	for id, x := range r.gone {
		if now.Sub(x.at) >= goneRetention {
			delete(r.gone, id)
		}
	}
	r.gone[e.ID] = goneEndpoint{e.StartedAtMS, now}
}

// MayLackEntries reports whether the store came back so recently that endpoints which serve
// may not have written their entries again.
func (r *Registry) MayLackEntries(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	hasReturned := !r.storeReturnedAt.IsZero() && now.Sub(r.storeReturnedAt) < r.GracePeriod
	return hasReturned || now.Before(r.withheld.until)
}

// endWithholding forgets what is withheld once its time is over; r.mu must be held.
func (r *Registry) endWithholding(now time.Time) {
	if !r.withheld.until.IsZero() && !now.Before(r.withheld.until) {
		r.withheld = withheld{}
		r.servingByPool = nil
	}
}

func (r *Registry) isWithheldLocked(e Endpoint) bool {
	startedAt, ok := r.withheld.endpoints[e.ID]
	return ok && startedAt == e.StartedAtMS || r.withheld.domains[e.FailureDomain]
}
