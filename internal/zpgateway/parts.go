package zpgateway

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

type (
	// source is a place from which a part can be fetched.
	source struct {
		holder  string
		address string
		time    time.Duration // of the transfer
	}

	// News is what other daemons should know of parts.
	News struct {
		Read     []zpparts.Change // by an engine
		Expected []zpparts.Change // that an engine is about to read
		Saving   []zpparts.Change // to a store
	}

	// place is where something is.
	place struct{ domain, region string }

	// sight is what is known of one shared part under one salt. It is taken once
	// for all candidates of a choice.
	sight struct {
		key    zpparts.Key
		tokens int
		held   map[string]int     // tokens by holder
		coming map[string]bool    // engines that are about to read the part
		nearby map[string]nearest // quickest source by failure domain of the engine
	}

	// nearest is the quickest source of a part, if there is one.
	nearest struct {
		source source
		found  bool
	}

	// sights are the shared parts of a prompt by salt.
	sights map[string][]sight
)

// ReadLimit is how long a part is expected to be read at an engine.
const ReadLimit = 2 * time.Second

// Factors by which moving a part takes longer over a border.
const (
	domainFactor = 2
	regionFactor = 10
	// roomReserve is kept free in stores, as their room is known late.
	roomReserve = 8_000
	// fullnessWeight is by how many times a full store counts as slower than an
	// empty one.
	fullnessWeight = 4
	// storeDelay is the start of a transfer at a slow store.
	storeDelay = 6 * time.Millisecond
)

// storedFor is how long after they were looked up the parts in stores may be
// fetched. News of a part that a store has dropped come later than that only
// when its owner has no fresh state of the store.
const storedFor = 2 * time.Second

// lookUp brings the directory up to date on the prompt's shared parts.
func (g *Gateway) lookUp(ctx context.Context, j *job) {
	parts := j.request.Prompt.SharedParts()
	if len(parts) == 0 || j.pool.Engine == nil {
		return
	}
	var salts []string
	for _, version := range g.Registry.Versions(j.pool.Name, j.request.Prompt.Model, g.Clock()) {
		salts = append(salts, g.salt(j, version))
	}
	keys := make([][]zpparts.Key, len(parts))
	for i, part := range parts {
		for _, salt := range salts {
			keys[i] = append(keys[i], zpparts.Key{Salt: salt, Part: part.ID})
		}
	}
	g.LookUp(ctx, keys)
	j.lookedAt = g.Clock()
}

// findParts counts the tokens of the prompt that the candidate holds, and finds
// sources for the parts that follow. A part is of use only after all parts
// before it.
func (g *Gateway) findParts(j *job, c *choice, seen sights, now time.Time) {
	if j.request.Prompt == nil || c.salt == "" {
		return
	}
	for i, part := range g.look(j, c.salt, seen, now) {
		held := min(part.held[c.endpoint.ID], part.tokens)
		c.candidate.CachedTokens += held
		if held == part.tokens {
			continue
		}
		if part.coming[c.endpoint.ID] {
			c.candidate.CachedTokens += part.tokens - held
			continue
		}
		s, ok := g.sourceOf(j, c, part, now)
		if !ok {
			return
		}
		if c.fetch == nil {
			c.fetch = make([]Transfer, len(j.request.Prompt.Parts))
		}
		c.fetch[i] = Transfer{Address: s.address, Tokens: part.tokens}
		c.candidate.FetchTokens += part.tokens - held
		c.candidate.FetchTime += s.time
		c.source = s.holder
	}
}

// look returns what is known of the prompt's shared parts under a salt.
func (g *Gateway) look(j *job, salt string, seen sights, now time.Time) []sight {
	list, ok := seen[salt]
	if ok {
		return list
	}
	for _, part := range j.request.Prompt.SharedParts() {
		s := sight{key: zpparts.Key{Salt: salt, Part: part.ID}, tokens: part.Tokens, nearby: map[string]nearest{}}
		s.held, s.coming = g.Parts.Look(s.key, now)
		list = append(list, s)
	}
	seen[salt] = list
	return list
}

// prefer marks the engine of this region that a rendezvous hash names for a
// prompt of which no holder is known. Daemons that have not heard of each
// other's prompts yet send equal ones to the same engine.
func (g *Gateway) prefer(j *job, list []choice, candidates []zpplace.Candidate, seen sights, now time.Time) {
	parts := j.request.Prompt.SharedParts()
	if len(parts) == 0 {
		return
	}
	last := parts[len(parts)-1].ID
	best, bestRank := -1, uint64(0)
	for i, c := range list {
		if c.weights == 0 || c.endpoint.Region != g.Region {
			continue
		}
		known := g.look(j, c.salt, seen, now)[len(parts)-1]
		if known.coming[c.endpoint.ID] || len(known.held) > 0 {
			return
		}
		if rank := zpplace.Weigh(c.endpoint.ID, last); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	if best >= 0 {
		candidates[best].Preferred = true
	}
}

// sourceOf returns the quickest source of a whole part for a candidate that does
// not hold the whole part itself.
func (g *Gateway) sourceOf(j *job, c *choice, part sight, now time.Time) (source, bool) {
	best, known := part.nearby[c.endpoint.Domain]
	if known {
		return best.source, best.found
	}
	for holder, held := range part.held {
		if held < part.tokens {
			continue
		}
		s, ok := g.source(j, c, holder, part.tokens, now)
		if ok && (!best.found || s.time < best.source.time) {
			best = nearest{s, true}
		}
	}
	part.nearby[c.endpoint.Domain] = best
	return best.source, best.found
}

func (g *Gateway) source(j *job, c *choice, holder string, tokens int, now time.Time) (source, bool) {
	to := place{c.endpoint.Domain, c.endpoint.Region}
	engine := j.pool.Engine
	if e, ok := g.Registry.Find(holder); ok {
		if g.Suspects.Suspect(e.ID, now) || g.Weights.Changing(e.ID, now) || !j.regions().Allows(e.Region) {
			return source{}, false
		}
		return source{
			holder: holder, address: e.Address,
			time: moveTime(tokens, engine.TokenBytes, engine.LinkMbps, place{e.Domain, e.Region}, to),
		}, true
	}
	p, ok := g.storePool(j, holder)
	if !ok || !g.Stores.Readable(holder, now) || now.Sub(j.lookedAt) > storedFor {
		return source{}, false
	}
	from := place{p.CacheStore.Domain, g.RegionOf(p.CacheStore.Domain)}
	if !j.regions().Allows(from.region) {
		return source{}, false
	}
	link := min(p.CacheStore.LinkMbps, engine.LinkMbps)
	return source{
		holder: holder, address: p.CacheStore.Address,
		time: storeDelay + moveTime(tokens, engine.TokenBytes, link, from, to),
	}, true
}

// storePool returns the pool of a holder that is a store.
func (g *Gateway) storePool(j *job, holder string) (*zpcatalog.Pool, bool) {
	name, isStore := zpparts.StoreName(holder)
	if !isStore {
		return nil, false
	}
	p, ok := j.catalog.PoolOf(name)
	return p, ok && p.CacheStore != nil
}

// prepare names a store for each shared part of the prompt that no store holds,
// and notes which parts the engine is about to read.
func (g *Gateway) prepare(j *job, c *choice, now time.Time) {
	if j.request.Prompt == nil || c.weights == 0 || j.pool.Engine == nil {
		return
	}
	var news News
	defer func() { g.tell(news) }()
	for _, part := range j.request.Prompt.SharedParts() {
		change := zpparts.Change{Holder: c.endpoint.ID, Key: zpparts.Key{Salt: c.salt, Part: part.ID}, Tokens: part.Tokens}
		if !g.Parts.IsHeld(change.Key) && !g.Parts.IsExpected(c.endpoint.ID, change.Key, now) {
			g.Parts.Expect(change, now, now.Add(ReadLimit))
			news.Expected = append(news.Expected, change)
		}
	}
	for i, part := range j.request.Prompt.SharedParts() {
		key := zpparts.Key{Salt: c.salt, Part: part.ID}
		if g.isStored(j, key, now) {
			continue
		}
		p, ok := g.storeFor(j, c, part.Tokens, now)
		if !ok {
			continue
		}
		saving := zpparts.Change{Holder: p.Name, Key: key, Tokens: part.Tokens}
		g.Stores.BeginSave(saving, now)
		news.Saving = append(news.Saving, saving)
		if c.save == nil {
			c.save = make([]Transfer, len(j.request.Prompt.Parts))
		}
		c.save[i] = Transfer{Address: p.CacheStore.Address}
	}
}

// isStored reports whether a store holds a part, or will soon.
func (g *Gateway) isStored(j *job, key zpparts.Key, now time.Time) bool {
	for _, p := range j.catalog.Pools {
		if p.CacheStore != nil && g.Stores.IsSaving(p.Name, key, now) {
			return true
		}
	}
	for holder := range g.Parts.Holders(key) {
		if _, ok := g.storePool(j, holder); ok && g.Stores.Readable(holder, now) {
			return true
		}
	}
	return false
}

// storeFor returns the store in which a part is best kept: a quick one with room.
// The fuller a store is, the more it counts as slow, so that the quick small
// stores do not fill up first and lose what is sent there before that is known.
func (g *Gateway) storeFor(j *job, c *choice, tokens int, now time.Time) (*zpcatalog.Pool, bool) {
	var best *zpcatalog.Pool
	var bestTime time.Duration
	to := place{c.endpoint.Domain, c.endpoint.Region}
	for i := range j.catalog.Pools {
		p := &j.catalog.Pools[i]
		if p.CacheStore == nil || !g.Stores.Writable(p.Name, now) {
			continue
		}
		free := g.Stores.Free(p.Name)
		if free < tokens+roomReserve {
			continue
		}
		at := place{p.CacheStore.Domain, g.RegionOf(p.CacheStore.Domain)}
		if at.region != to.region || !j.regions().Allows(at.region) {
			continue
		}
		used := 1 - float64(free)/float64(max(p.CacheStore.Tokens, 1))
		t := moveTime(tokens, j.pool.Engine.TokenBytes, p.CacheStore.LinkMbps, at, to)
		t += time.Duration(float64(t) * fullnessWeight * used)
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
	var news News
	for _, part := range j.request.Prompt.SharedParts() {
		change := zpparts.Change{Holder: c.endpoint.ID, Key: zpparts.Key{Salt: c.salt, Part: part.ID}, Tokens: part.Tokens}
		if g.Parts.Apply(change) {
			news.Read = append(news.Read, change)
		}
	}
	g.tell(news)
}

func (g *Gateway) tell(news News) {
	if len(news.Read)+len(news.Expected)+len(news.Saving) > 0 {
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
