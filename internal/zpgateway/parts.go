package zpgateway

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

type (
	// source is a place from which a part can be fetched.
	source struct {
		address string
		time    time.Duration
	}

	// place is where something is.
	place struct{ domain, region string }
)

// Factors by which moving a part takes longer over a border.
const (
	domainFactor = 2
	regionFactor = 10
	// roomReserve is kept free in stores, as their room is known late.
	roomReserve = 8_000
	// storeDelay is the start of a transfer at a slow store.
	storeDelay = 6 * time.Millisecond
)

// findParts counts the tokens of the prompt that the candidate holds, and finds
// sources for the parts that follow. A part is of use only after all parts
// before it.
func (g *Gateway) findParts(j *job, c *choice, now time.Time) {
	parts := j.request.Prompt.SharedParts()
	for i, part := range parts {
		key := zpparts.Key{Salt: c.salt, Part: part.ID}
		held := min(g.Parts.Tokens(c.endpoint.ID, key), part.Tokens)
		c.candidate.CachedTokens += held
		if held == part.Tokens {
			continue
		}
		s, ok := g.sourceOf(j, c, key, part.Tokens, now)
		if !ok {
			return
		}
		if c.fetch == nil {
			c.fetch = make([]Transfer, len(j.request.Prompt.Parts))
		}
		c.fetch[i] = Transfer{Address: s.address, Tokens: part.Tokens}
		c.candidate.FetchTokens += part.Tokens - held
		c.candidate.FetchTime += s.time
	}
}

// sourceOf returns the quickest source of a whole part for a candidate.
func (g *Gateway) sourceOf(j *job, c *choice, key zpparts.Key, tokens int, now time.Time) (source, bool) {
	var best source
	found := false
	for holder, held := range g.Parts.Holders(key) {
		if held < tokens || holder == c.endpoint.ID {
			continue
		}
		s, ok := g.source(j, c, holder, tokens, now)
		if ok && (!found || s.time < best.time) {
			best, found = s, true
		}
	}
	return best, found
}

func (g *Gateway) source(j *job, c *choice, holder string, tokens int, now time.Time) (source, bool) {
	to := place{c.endpoint.Domain, c.endpoint.Region}
	engine := j.pool.Engine
	if e, ok := g.Registry.Find(holder); ok {
		if g.Suspects.Suspect(e.ID, now) || g.Weights.Changing(e.ID, now) || !j.regions().Allows(e.Region) {
			return source{}, false
		}
		return source{e.Address, moveTime(tokens, engine.TokenBytes, engine.LinkMbps, place{e.Domain, e.Region}, to)}, true
	}
	p, ok := j.catalog.PoolOf(holder)
	if !ok || p.CacheStore == nil || !g.Stores.Usable(holder, now) {
		return source{}, false
	}
	from := place{p.CacheStore.Domain, g.RegionOf(p.CacheStore.Domain)}
	if !j.regions().Allows(from.region) {
		return source{}, false
	}
	link := min(p.CacheStore.LinkMbps, engine.LinkMbps)
	return source{p.CacheStore.Address, storeDelay + moveTime(tokens, engine.TokenBytes, link, from, to)}, true
}

// chooseSaves names a store for each shared part of the prompt that no store
// holds.
func (g *Gateway) chooseSaves(j *job, c *choice, now time.Time) {
	if j.request.Prompt == nil || c.weights == 0 || j.pool.Engine == nil {
		return
	}
	for i, part := range j.request.Prompt.SharedParts() {
		key := zpparts.Key{Salt: c.salt, Part: part.ID}
		if g.isStored(j, key, now) {
			continue
		}
		p, ok := g.storeFor(j, c, part.Tokens, now)
		if !ok || !g.Stores.BeginSave(p.Name, key, part.Tokens, now) {
			continue
		}
		if c.save == nil {
			c.save = make([]Transfer, len(j.request.Prompt.Parts))
		}
		c.save[i] = Transfer{Address: p.CacheStore.Address}
	}
}

func (g *Gateway) isStored(j *job, key zpparts.Key, now time.Time) bool {
	for holder := range g.Parts.Holders(key) {
		if p, ok := j.catalog.PoolOf(holder); ok && p.CacheStore != nil && g.Stores.Usable(holder, now) {
			return true
		}
	}
	return false
}

// storeFor returns the quickest store with room for a part.
func (g *Gateway) storeFor(j *job, c *choice, tokens int, now time.Time) (*zpcatalog.Pool, bool) {
	var best *zpcatalog.Pool
	var bestTime time.Duration
	to := place{c.endpoint.Domain, c.endpoint.Region}
	for i := range j.catalog.Pools {
		p := &j.catalog.Pools[i]
		if p.CacheStore == nil || !g.Stores.Usable(p.Name, now) || g.Stores.Free(p.Name) < tokens+roomReserve {
			continue
		}
		at := place{p.CacheStore.Domain, g.RegionOf(p.CacheStore.Domain)}
		if at.region != to.region || !j.regions().Allows(at.region) {
			continue
		}
		t := moveTime(tokens, j.pool.Engine.TokenBytes, p.CacheStore.LinkMbps, at, to)
		if best == nil || t < bestTime {
			best, bestTime = p, t
		}
	}
	return best, best != nil
}

// noteRead remembers that the endpoint has read the prompt.
func (g *Gateway) noteRead(j *job, c choice) {
	if j.request.Prompt == nil || c.weights == 0 {
		return
	}
	var news []zpparts.Change
	for _, part := range j.request.Prompt.SharedParts() {
		change := zpparts.Change{Holder: c.endpoint.ID, Key: zpparts.Key{Salt: c.salt, Part: part.ID}, Tokens: part.Tokens}
		if g.Parts.Apply(change) {
			news = append(news, change)
		}
	}
	if len(news) > 0 {
		g.Announce(news)
	}
}

// IsStalePart reports whether a part was made by weights that are replaced and
// that no engine has any more.
func (g *Gateway) IsStalePart(key zpparts.Key) bool {
	model, weights, ok := weightsOf(key.Salt)
	if !ok || weights >= g.Weights.Named(model) {
		return false
	}
	c := g.Catalog()
	if c == nil {
		return false
	}
	for _, p := range c.Pools {
		if p.Engine == nil {
			continue
		}
		for _, e := range g.Registry.All(p.Name, g.Clock()) {
			if w, has := e.Weights[model]; has && w <= weights {
				return false
			}
		}
	}
	return true
}

// moveTime returns how long a part takes over a link.
func moveTime(tokens, tokenBytes int, mbps float64, from, to place) time.Duration {
	if mbps <= 0 {
		return time.Hour
	}
	factor := 1
	switch {
	case from.region != to.region:
		factor = regionFactor
	case from.domain != to.domain:
		factor = domainFactor
	}
	bits := float64(tokens) * float64(tokenBytes) * 8
	return time.Duration(bits/mbps*float64(factor)) * time.Microsecond
}
