package zpregistry

import "time"

// maxLeaving is the number of leaving endpoints above which those that have no entry any
// more are forgotten.
const maxLeaving = 4096

// SetLeaving records that an endpoint has said itself that it leaves, and reports whether
// that is news. It receives no new work until it starts again: this neither needs the store
// nor is undone by an older entry in it.
func (r *Registry) SetLeaving(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.entries[id]
	if !ok || r.isLeavingLocked(x.endpoint) {
		return false
	}
	if len(r.leaving) >= maxLeaving {
		for other := range r.leaving {
			if _, listed := r.entries[other]; !listed {
				delete(r.leaving, other)
			}
		}
	}
	if r.leaving == nil {
		r.leaving = map[string]int64{}
	}
	r.leaving[id] = x.endpoint.StartedAtMS
	r.servingByPool = nil
	return true
}

// IsLeaving reports whether an endpoint has said itself that it leaves.
func (r *Registry) IsLeaving(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, ok := r.entries[id]
	return ok && r.isLeavingLocked(x.endpoint)
}

// IsServing reports whether an endpoint may receive new work at now.
func (r *Registry) IsServing(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endWithholding(now)
	x, ok := r.entries[id]
	return ok && (x.removeAt.IsZero() || now.Before(x.removeAt)) && r.mayServeLocked(x.endpoint)
}

func (r *Registry) isLeavingLocked(e Endpoint) bool {
	startedAt, ok := r.leaving[e.ID]
	return ok && startedAt == e.StartedAtMS
}

func (r *Registry) mayServeLocked(e Endpoint) bool {
	return e.State == StateReady && !r.evacuated[e.FailureDomain] && !r.isLeavingLocked(e) && !r.isWithheldLocked(e)
}
