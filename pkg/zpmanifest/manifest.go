// Package zpmanifest defines the manifest: workspaces, models, pools, endpoints,
// stores, links and failure domains, as declared by the operators' build pipeline.
package zpmanifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

type (
	// Manifest is one version of the configuration.
	Manifest struct {
		Version     int64 // incremented by one with each accepted change
		Partitions  int   // number of ownership partitions
		ClaimShards int   // number of claim shards
		Domains     []Domain
		Workspaces  []Workspace
		Models      []Model
		Pools       []Pool
		Endpoints   []Endpoint
		Stores      []Store
		Links       []Link

		index *index
	}

	// Domain is a failure domain.
	Domain struct {
		Name   string
		Region string
		Out    bool // taken out of service by an operator
	}

	// Workspace is a tenant.
	Workspace struct {
		Name      string
		KeyHashes []string // hex SHA-256 of each API key
		Weight    int      // weight in the fair queue
		CacheKey  string   // secret that keys the names of cache blocks
	}

	// Model names a model and the weight version that new requests use.
	Model struct {
		Name          string
		WeightVersion string
		Pool          string
	}

	// Pool groups endpoints that serve the same work.
	Pool struct {
		Name       string
		Kind       PoolKind
		RequireKey bool // reject non-idempotent requests without an Idempotency-Key
		ReadOnly   bool // requests to this service may be retried
	}

	// PoolKind distinguishes model engines from plain services.
	PoolKind string

	// Endpoint is a runner or an application endpoint.
	Endpoint struct {
		Name      string
		Address   string // base URL
		Pool      string
		Domain    string
		Slots     int // limit of concurrent requests when warm
		ColdSlots int // limit of concurrent requests during a cold start
		Out       bool
		Fencing   bool // the endpoint rejects orders with an outdated fencing number
	}

	// Store is a KV cache store VM.
	Store struct {
		Name    string
		Address string // base URL
		Domain  string
		Out     bool
	}

	// Link is the connection between two regions.
	Link struct {
		Name           string
		Regions        [2]string
		BytesPerSecond int64 // in each direction
	}
)

// Kinds of pools.
const (
	PoolKindModel   PoolKind = "model"
	PoolKindService PoolKind = "service"
)

// HashKey returns the hash of an API key that the manifest stores.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey returns the workspace of an API key. It compares the key with
// every stored hash, each in constant time.
func (m *Manifest) WorkspaceByKey(key string) (Workspace, bool) {
	hash := []byte(HashKey(key))
	found := -1
	for i, w := range m.Workspaces {
		for _, h := range w.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Workspace{}, false
	}
	return m.Workspaces[found], true
}

// WorkspaceByName returns the named workspace.
func (m *Manifest) WorkspaceByName(name string) (Workspace, bool) {
	return find(m.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// ModelByName returns the named model.
func (m *Manifest) ModelByName(name string) (Model, bool) {
	return find(m.Models, func(x Model) bool { return x.Name == name })
}

// PoolVersion returns the weight version that new requests to a pool use, or ""
// if no model uses the pool.
func (m *Manifest) PoolVersion(pool string) string {
	x, _ := find(m.Models, func(x Model) bool { return x.Pool == pool })
	return x.WeightVersion
}

// PoolByName returns the named pool.
func (m *Manifest) PoolByName(name string) (Pool, bool) {
	return find(m.Pools, func(p Pool) bool { return p.Name == name })
}

// EndpointByName returns the named endpoint.
func (m *Manifest) EndpointByName(name string) (Endpoint, bool) {
	if m.index != nil {
		i, ok := m.index.endpoints[name]
		if !ok {
			return Endpoint{}, false
		}
		return m.Endpoints[i], true
	}
	return find(m.Endpoints, func(e Endpoint) bool { return e.Name == name })
}

// DomainByName returns the named failure domain.
func (m *Manifest) DomainByName(name string) (Domain, bool) {
	if m.index != nil {
		i, ok := m.index.domains[name]
		if !ok {
			return Domain{}, false
		}
		return m.Domains[i], true
	}
	return find(m.Domains, func(d Domain) bool { return d.Name == name })
}

// StoreByName returns the named store.
func (m *Manifest) StoreByName(name string) (Store, bool) {
	return find(m.Stores, func(s Store) bool { return s.Name == name })
}

// Region returns the region of a failure domain, or "".
func (m *Manifest) Region(domain string) string {
	d, _ := m.DomainByName(domain)
	return d.Region
}

// DomainOut reports whether a failure domain is out of service. An unknown domain
// is treated as out of service.
func (m *Manifest) DomainOut(name string) bool {
	d, ok := m.DomainByName(name)
	return !ok || d.Out
}

// InService reports whether an endpoint may receive new work.
func (m *Manifest) InService(e Endpoint) bool {
	return !e.Out && !m.DomainOut(e.Domain)
}

// ServingEndpoints returns the endpoints of a pool that may receive new work.
func (m *Manifest) ServingEndpoints(pool string) []Endpoint {
	var out []Endpoint
	for _, e := range m.PoolEndpoints(pool) {
		if m.InService(e) {
			out = append(out, e)
		}
	}
	return out
}

// Clone returns a deep copy.
func (m *Manifest) Clone() *Manifest {
	c := *m
	c.index = nil
	c.Domains = append([]Domain(nil), m.Domains...)
	c.Workspaces = append([]Workspace(nil), m.Workspaces...)
	c.Models = append([]Model(nil), m.Models...)
	c.Pools = append([]Pool(nil), m.Pools...)
	c.Endpoints = append([]Endpoint(nil), m.Endpoints...)
	c.Stores = append([]Store(nil), m.Stores...)
	c.Links = append([]Link(nil), m.Links...)
	return &c
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
