// Package zpcatalog holds what operators have configured for routed requests:
// routes, pools, workspaces and limits. A Catalog is built once by Build and
// not changed afterwards.
package zpcatalog

import (
	"sort"
	"strings"
	"time"
)

type (
	// Kind says how often a request may run.
	Kind int

	// Catalog is one version of the configuration.
	Catalog struct {
		Version    int64
		Routes     []Route
		Pools      []Pool
		Workspaces []Workspace
		Limits     Limits

		byHost map[string][]*Route // longest prefix first
		byKey  map[string]*Workspace
		byPool map[string]*Pool
	}

	// Route maps requests of one host and path prefix to pools.
	Route struct {
		Name        string
		Host        string
		PathPrefix  string
		Kind        Kind
		Timeout     time.Duration // longest time until the final answer; zero: none
		Objective   time.Duration // answers within it earn their full worth
		MaxGap      time.Duration // longest pause between events that counts as on time
		Priority    int           // 0 is the most urgent
		Shares      []Share
		MaxAttempts int // endpoints that may run one request
		Anonymous   bool
		Resumable   bool
		Regions     []string // that may serve and cache; empty: all
	}

	// Share is the part of a route's requests that goes to a pool.
	Share struct {
		Pool   string
		Weight int
	}

	// Pool is a service with its endpoints, or a store of KV cache.
	Pool struct {
		Name          string
		HealthPath    string
		MaxConns      int           // connections that an endpoint accepts from all daemons
		ColdStart     time.Duration // after the start of an endpoint
		ColdPerSecond float64       // requests that a cold endpoint bears; zero: no limit
		Engine        *Engine       // nil for plain services
		CacheStore    *CacheStore   // nil for services
	}

	// Engine describes the model engines of a pool.
	Engine struct {
		Slots       int
		CacheTokens int // memory for prompts and cached parts
		TokenBytes  int
		LinkMbps    float64
		EventCalls  int // waiting event calls that an engine accepts
		Models      []string
	}

	// CacheStore is a store of KV cache.
	CacheStore struct {
		Address  string
		Domain   string
		Tokens   int
		LinkMbps float64
		Managed  bool // drops nothing by itself
	}

	// Workspace is one tenant.
	Workspace struct {
		Name     string
		Keys     []string
		Priority int // -1: that of the route
		Isolated bool
		Regions  []string
	}

	// Limits bound what a caller may send, and for how long.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// Kinds of requests.
const (
	KindNonIdempotent Kind = iota
	KindIdempotent
	KindStream
)

// NoPriority marks a workspace that keeps the priority of the route.
const NoPriority = -1

// Build indexes the catalog for look-ups.
func (c *Catalog) Build() *Catalog {
	c.byHost, c.byKey, c.byPool = map[string][]*Route{}, map[string]*Workspace{}, map[string]*Pool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	for i := range c.Pools {
		c.byPool[c.Pools[i].Name] = &c.Pools[i]
	}
	return c
}

// RouteOf returns the route with the longest path prefix for a host and path.
func (c *Catalog) RouteOf(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceOf returns the workspace that holds a key.
func (c *Catalog) WorkspaceOf(key string) (*Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// PoolOf returns the named pool.
func (c *Catalog) PoolOf(name string) (*Pool, bool) {
	p, ok := c.byPool[name]
	return p, ok
}

// RequiresKey reports whether requests of a route need the key of a workspace.
func (c *Catalog) RequiresKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Anonymous }

// Pick chooses a pool by weight; random is in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	at := random * float64(total)
	for _, s := range r.Shares {
		at -= float64(max(s.Weight, 0))
		if at < 0 {
			return s.Pool
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}
