package zpmanifest

// index holds positions by name, so that look-ups in a large manifest need no
// linear search.
type index struct {
	endpoints map[string]int
	domains   map[string]int
	pools     map[string][]int // positions of the endpoints of each pool
}

// BuildIndex builds the index that look-ups use. The manifest must not be modified
// afterwards.
func (m *Manifest) BuildIndex() {
	x := &index{endpoints: map[string]int{}, domains: map[string]int{}, pools: map[string][]int{}}
	for i, e := range m.Endpoints {
		x.endpoints[e.Name] = i
		x.pools[e.Pool] = append(x.pools[e.Pool], i)
	}
	for i, d := range m.Domains {
		x.domains[d.Name] = i
	}
	m.index = x
}

// PoolEndpoints returns all endpoints of a pool, in service or not.
func (m *Manifest) PoolEndpoints(pool string) []Endpoint {
	var out []Endpoint
	if m.index != nil {
		for _, i := range m.index.pools[pool] {
			out = append(out, m.Endpoints[i])
		}
		return out
	}
	for _, e := range m.Endpoints {
		if e.Pool == pool {
			out = append(out, e)
		}
	}
	return out
}
