package zpgateway

import (
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

// preferences holds how much this daemon prefers each endpoint, from 0 to 1. The order differs
// between daemons, so that those with the same view of the loads do not all choose the same
// endpoint until their next view. It is not safe for concurrent use.
type preferences struct{ byPool map[string]poolPreferences }

// poolPreferences holds the preferences among the endpoints of a list.
type poolPreferences struct {
	endpoints []zpregistry.Endpoint
	values    []float64 // in the order of endpoints
}

// of returns the preferences among the endpoints of a pool, in the order of the list. The
// registry returns the same list until it changes.
func (p *preferences) of(self, pool string, list []zpregistry.Endpoint) []float64 {
	known := p.byPool[pool]
	if len(list) == len(known.endpoints) && (len(list) == 0 || &list[0] == &known.endpoints[0]) {
		return known.values
	}
	known = poolPreferences{endpoints: list, values: make([]float64, len(list))}
	for i, e := range list {
		known.values[i] = zpplace.Preference(self, e.ID)
	}
	if p.byPool == nil {
		p.byPool = map[string]poolPreferences{}
	}
	p.byPool[pool] = known
	return known.values
}
