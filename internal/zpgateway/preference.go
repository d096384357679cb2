package zpgateway

import "github.com/zinniapaddle/zinniapaddle/internal/zpplace"

// preferences holds how much this daemon prefers each endpoint, from 0 to 1. The order differs
// between daemons, so that those with the same view of the loads do not all choose the same
// endpoint until their next view. It is not safe for concurrent use.
type preferences struct{ byEndpoint map[string]float64 }

// maxPreferences bounds the memory; above it the preferences are computed again.
const maxPreferences = 4096

func (p *preferences) of(self, endpoint string) float64 {
	if x, ok := p.byEndpoint[endpoint]; ok {
		return x
	}
	if p.byEndpoint == nil || len(p.byEndpoint) >= maxPreferences {
		p.byEndpoint = map[string]float64{}
	}
	x := zpplace.Preference(self, endpoint)
	p.byEndpoint[endpoint] = x
	return x
}
