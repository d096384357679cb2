// Package zpcatalog defines the configuration of routed requests: routes, pools,
// workspaces and limits. A Catalog is indexed once by BuildIndexes and must not be
// modified afterwards.
package zpcatalog

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

type (
	// RequestKind tells whether the requests of a route are idempotent and whether they
	// are answered with a stream. Route.Repeatable derives from it whether a
	// request may run more than once.
	RequestKind int

	// Catalog is one version of the configuration of routed requests.
	Catalog struct {
		Version    int64
		Routes     []Route
		Pools      []Pool
		Workspaces []Workspace
		Limits     Limits

		cacheScope string              // see CacheScope
		byHost     map[string][]*Route // sorted by length of the path prefix, longest first
		byKey      map[string]*Workspace
		byName     map[string]*Workspace
		byPool     map[string]*Pool
	}

	// Route maps the requests for a host and a path prefix to pools.
	Route struct {
		Name          string
		Host          string
		PathPrefix    string
		Kind          RequestKind
		Timeout       time.Duration // maximum time until the final answer; 0 for no limit
		TargetLatency time.Duration // target latency; an answer within it has its full value
		MaxEventGap   time.Duration // maximum time between two events of a stream that are on time
		Priority      int           // 0 is the most urgent
		Shares        []Share
		MaxAttempts   int      // maximum number of endpoints that may run one request
		Anonymous     bool     // requests need no key
		Resumable     bool     // a stream that broke off may be resumed
		Regions       []string // regions that may serve and cache the requests; empty for all

		// MovedAt is when this daemon learned that other pools serve the route; see RecordMoves.
		MovedAt time.Time
	}

	// Share is the fraction of a route's requests that is sent to a pool: its
	// weight divided by the sum of the route's weights.
	Share struct {
		Pool   string
		Weight int
	}

	// Pool is a service with its endpoints, or a KV cache store.
	Pool struct {
		Name                  string
		HealthPath            string
		MaxConns              int           // connections that an endpoint accepts from all daemons together
		ColdDuration          time.Duration // how long an endpoint is cold after its start
		ColdRequestsPerSecond float64       // request rate that a cold endpoint can handle; 0 for no limit
		Engine                *Engine       // nil for plain services
		CacheStore            *CacheStore   // nil for services
	}

	// Engine describes the model engines of a pool.
	Engine struct {
		Slots         int     // requests that an engine runs at the same time
		CacheTokens   int     // KV cache capacity, for running prompts and cached prefixes
		TokenBytes    int     // KV cache size of one token
		LinkMbps      float64 // bandwidth of an engine's network link
		MaxEventCalls int     // pending calls for cache events that an engine accepts
		Models        []string
	}

	// CacheStore is a KV cache store.
	CacheStore struct {
		Address  string
		Domain   string
		Tokens   int     // capacity
		LinkMbps float64 // bandwidth of the store's network link
		Managed  bool    // evicts nothing by itself
	}

	// Workspace is one tenant.
	Workspace struct {
		Name     string
		Keys     []string
		Priority int      // NoPriority for the priority of the route
		Isolated bool     // shares no cached blocks with other workspaces
		Regions  []string // regions that may serve and cache its requests; empty for all
	}

	// Limits are the limits on the requests and connections of callers.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// Kinds of requests.
const (
	KindNonIdempotent RequestKind = iota
	KindIdempotent
	KindStream
)

// NoPriority is the priority of a workspace whose requests have the priority of
// their route.
const NoPriority = -1

// RecordMoves sets when each route was last moved to other pools. before is the catalog that is
// in use so far, nil if there is none. It must be called before the catalog is used.
func (c *Catalog) RecordMoves(before *Catalog, now time.Time) {
	if before == nil {
		return
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		j := slices.IndexFunc(before.Routes, func(x Route) bool { return x.Name == r.Name })
		switch {
		case j < 0:
		case slices.Equal(r.pools(), before.Routes[j].pools()):
			r.MovedAt = before.Routes[j].MovedAt
		default:
			r.MovedAt = now
		}
	}
}

// BuildIndexes builds the indexes that the lookup methods use, and returns the catalog.
func (c *Catalog) BuildIndexes() *Catalog {
	c.byHost, c.byPool = map[string][]*Route{}, map[string]*Pool{}
	c.byKey, c.byName = map[string]*Workspace{}, map[string]*Workspace{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for i := range c.Workspaces {
		c.byName[c.Workspaces[i].Name] = &c.Workspaces[i]
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	for i := range c.Pools {
		c.byPool[c.Pools[i].Name] = &c.Pools[i]
	}
	c.cacheScope = scopeWithout(c.isolated())
	return c
}

// isolated returns the names of the isolated workspaces in sorted order.
func (c *Catalog) isolated() []string {
	var out []string
	for _, w := range c.Workspaces {
		if w.Isolated {
			out = append(out, w.Name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// scopeWithout returns a name for the workspaces other than the given ones. It is empty
// if none is given.
func scopeWithout(names []string) string {
	if len(names) == 0 {
		return ""
	}
	var text strings.Builder
	for _, name := range names {
		text.WriteString(strconv.Quote(name))
	}
	return strconv.FormatUint(xxh3.HashString(text.String()), 36)
}

// CacheScope names the workspaces that share cached parts of prompts. It changes whenever
// one becomes isolated, so that the others no longer use what that one has made before,
// and is the same for all catalogs with the same isolated workspaces. It is empty if all
// workspaces share.
func (c *Catalog) CacheScope() string { return c.cacheScope }

// RouteOf returns the route of a host whose path prefix is the longest that
// matches the path.
func (c *Catalog) RouteOf(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceOf returns the workspace to which a key belongs.
func (c *Catalog) WorkspaceOf(key string) (*Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// WorkspaceNamed returns the named workspace.
func (c *Catalog) WorkspaceNamed(name string) (*Workspace, bool) {
	w, ok := c.byName[name]
	return w, ok
}

// RestrictedRoutes returns the number of routes that restrict the regions.
func (c *Catalog) RestrictedRoutes() int {
	n := 0
	for _, r := range c.Routes {
		if len(r.Regions) > 0 {
			n++
		}
	}
	return n
}

// PoolOf returns the named pool.
func (c *Catalog) PoolOf(name string) (*Pool, bool) {
	p, ok := c.byPool[name]
	return p, ok
}

// RequiresKey reports whether requests of a route must carry a workspace's key.
func (c *Catalog) RequiresKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Anonymous }

// ServesSince returns when a route was last moved to a pool, as far as this daemon has seen it.
// It returns false if no route sends requests to the pool.
func (c *Catalog) ServesSince(pool string) (movedAt time.Time, ok bool) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.HasPool(pool) {
			continue
		}
		ok = true
		if r.MovedAt.After(movedAt) {
			movedAt = r.MovedAt
		}
	}
	return movedAt, ok
}

// PickPool chooses a pool with a probability proportional to its weight. The number
// random must be in [0, 1).
func (r *Route) PickPool(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	remaining := random * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(max(s.Weight, 0))
		if remaining < 0 {
			return s.Pool
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// HasPool reports whether the route sends requests to a pool.
func (r *Route) HasPool(name string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Pool == name })
}

// IsSplit reports whether the route divides its requests between several pools.
func (r *Route) IsSplit() bool { return len(r.pools()) > 1 }

// pools returns the sorted names of the pools that serve the route.
func (r *Route) pools() []string {
	var out []string
	for _, s := range r.Shares {
		if s.Weight > 0 {
			out = append(out, s.Pool)
		}
	}
	slices.Sort(out)
	return out
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}
