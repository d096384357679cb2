// Package zpholding remembers the reservations with which this daemon has
// started a request, so that owners can ask for them.
package zpholding

import (
	"sync"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

// Registry is the set of started reservations. It is safe for concurrent use.
type Registry struct {
	Self string

	mu   sync.Mutex
	held map[string]zpadmission.Holding
}

// NewRegistry returns an empty registry of the given instance.
func NewRegistry(self string) *Registry {
	return &Registry{Self: self, held: map[string]zpadmission.Holding{}}
}

// Start notes that the first byte is about to be sent.
func (r *Registry) Start(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[id] = zpadmission.Holding{ID: id, Endpoint: endpoint, Holder: r.Self}
}

// Remove forgets a reservation.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, id)
}

// On returns the started reservations on the given endpoints.
func (r *Registry) On(endpoints []string) []zpadmission.Holding {
	wanted := map[string]bool{}
	for _, e := range endpoints {
		wanted[e] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []zpadmission.Holding
	for _, h := range r.held {
		if wanted[h.Endpoint] {
			out = append(out, h)
		}
	}
	return out
}
