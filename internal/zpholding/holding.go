// Package zpholding tracks the reservations for which this daemon has started a
// request, so that the owners of endpoints can query them.
package zpholding

import (
	"sync"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

// Registry is the set of started reservations. It is safe for concurrent use.
type Registry struct {
	Self string

	mu      sync.Mutex
	started map[string]zpadmission.Holding
}

// NewRegistry returns an empty registry for the given instance.
func NewRegistry(self string) *Registry {
	return &Registry{Self: self, started: map[string]zpadmission.Holding{}}
}

// Add adds a reservation. Call it before the first byte of the request is sent.
func (r *Registry) Add(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[id] = zpadmission.Holding{ID: id, Endpoint: endpoint, Holder: r.Self}
}

// Remove removes a reservation, if it is present.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.started, id)
}

// ForEndpoints returns the started reservations on the given endpoints.
func (r *Registry) ForEndpoints(endpoints []string) []zpadmission.Holding {
	wanted := map[string]bool{}
	for _, e := range endpoints {
		wanted[e] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []zpadmission.Holding
	for _, h := range r.started {
		if wanted[h.Endpoint] {
			out = append(out, h)
		}
	}
	return out
}
