package zpgateway

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

type (
	// source is a holder from which a part can be fetched.
	source struct {
		holder   string
		address  string
		region   string
		duration time.Duration // of the transfer
	}

	// PartChanges lists changes of parts for other daemons.
	PartChanges struct {
		Read     []zpparts.Change // parts that an engine has read
		Expected []zpparts.Change // parts that an engine is about to read
		Saving   []zpparts.Change // parts that are being written to a store
	}

	// location is where an endpoint or a store runs.
	location struct{ domain, region string }

	// partState is a snapshot of the holders of one shared part under one salt. All
	// candidates of a choice use the same snapshot.
	partState struct {
		key            zpparts.Key
		tokens         int
		tokensByHolder map[string]int           // by holder; may be fewer than tokens
		expected       map[string]bool          // ids of engines that are about to read the part
		fastest        map[string]fastestSource // cached fastest source, by failure domain of the engine
	}

	// fastestSource is the fastest source of a part, if there is one.
	fastestSource struct {
		source source
		found  bool
	}

	// partStates holds the states of a prompt's shared parts, by salt.
	partStates map[string][]partState
)

// ReadLimit is how long a part that an engine is about to read is expected there.
const ReadLimit = 2 * time.Second

const (
	// Factors by which a transfer takes longer between failure domains and between
	// regions.
	crossDomainFactor = 2
	crossRegionFactor = 10
	// storeReserveTokens is kept free in each store, because its free space is known
	// with a delay.
	storeReserveTokens = 8_000
	// fullnessPenalty scales the cost of a store with its fill level: a full store
	// costs 1+fullnessPenalty times as much as an empty one.
	fullnessPenalty = 4
	// storeLatency is the time until a slow store begins a transfer.
	storeLatency = 6 * time.Millisecond
)

// storeLookupMaxAge is how long after a lookup parts may be fetched from stores.
// The removal of a part from a store is reported within this time, unless the
// owner of the part has no recent state of the store.
const storeLookupMaxAge = 2 * time.Second

// refreshParts refreshes the directory's entries of the prompt's shared parts.
func (g *Gateway) refreshParts(ctx context.Context, j *job) {
	parts := j.request.Prompt.SharedParts()
	if len(parts) == 0 || j.pool.Engine == nil {
		return
	}
	var salts []string
	regions := g.regionsOf(j)
	for _, version := range g.Registry.Versions(j.pool.Name, j.request.Prompt.Model, g.Clock()) {
		salts = append(salts, g.saltFor(j, version, regions))
	}
	keys := make([][]zpparts.Key, len(parts))
	for i, part := range parts {
		for _, salt := range salts {
			keys[i] = append(keys[i], zpparts.Key{Salt: salt, Part: part.ID})
		}
	}
	g.RefreshParts(ctx, keys)
	j.partsRefreshedAt = g.Clock()
}

// findCachedParts counts the tokens of the prompt that the candidate holds, and
// finds sources for the parts that it lacks. An engine can use a part only if it
// has all parts before it, so the search ends at the first part without a source.
func (g *Gateway) findCachedParts(j *job, c *choice, states partStates, now time.Time) {
	if j.request.Prompt == nil || c.salt == "" {
		return
	}
	for i, part := range g.partStatesFor(j, c.salt, states, now) {
		held := min(part.tokensByHolder[c.endpoint.ID], part.tokens)
		c.candidate.CachedTokens += held
		if held == part.tokens {
			continue
		}
		if part.expected[c.endpoint.ID] {
			c.candidate.CachedTokens += part.tokens - held
			continue
		}
		s, ok := g.findSource(j, c, part, now)
		if !ok {
			return
		}
		if c.fetch == nil {
			c.fetch = make([]Transfer, len(j.request.Prompt.Parts))
		}
		c.fetch[i] = Transfer{Address: s.address, Tokens: part.tokens}
		c.candidate.FetchTokens += part.tokens - held
		c.candidate.FetchTime += s.duration
		c.source, c.sourceRegion = s.holder, s.region
	}
}

// partStatesFor returns the states of the prompt's shared parts under a salt.
func (g *Gateway) partStatesFor(j *job, salt string, states partStates, now time.Time) []partState {
	list, ok := states[salt]
	if ok {
		return list
	}
	for _, part := range j.request.Prompt.SharedParts() {
		s := partState{key: zpparts.Key{Salt: salt, Part: part.ID}, tokens: part.Tokens, fastest: map[string]fastestSource{}}
		s.tokensByHolder, s.expected = g.Parts.Lookup(s.key, now)
		list = append(list, s)
	}
	states[salt] = list
	return list
}

// markPreferred marks the engine of this region that a rendezvous hash selects for
// a prompt without a known holder. Daemons that have not yet learned of each
// other's prompts thereby send equal prompts to the same engine.
func (g *Gateway) markPreferred(j *job, choices []choice, candidates []zpplace.Candidate, states partStates, now time.Time) {
	parts := j.request.Prompt.SharedParts()
	if len(parts) == 0 {
		return
	}
	last := parts[len(parts)-1].ID
	best, bestRank := -1, uint64(0)
	for i, c := range choices {
		if c.weights == 0 || c.endpoint.Region != g.Region {
			continue
		}
		known := g.partStatesFor(j, c.salt, states, now)[len(parts)-1]
		if known.expected[c.endpoint.ID] || len(known.tokensByHolder) > 0 {
			return
		}
		if rank := zpplace.RendezvousWeight(c.endpoint.ID, last); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	if best >= 0 {
		candidates[best].Preferred = true
	}
}

// findSource returns the fastest source of a complete part for a candidate that
// does not hold the complete part itself.
func (g *Gateway) findSource(j *job, c *choice, part partState, now time.Time) (source, bool) {
	best, known := part.fastest[c.endpoint.FailureDomain]
	if known {
		return best.source, best.found
	}
	for holder, held := range part.tokensByHolder {
		if held < part.tokens {
			continue
		}
		s, ok := g.sourceAt(j, c, holder, part.tokens, now)
		if ok && (!best.found || s.duration < best.source.duration) {
			best = fastestSource{s, true}
		}
	}
	part.fastest[c.endpoint.FailureDomain] = best
	return best.source, best.found
}

func (g *Gateway) sourceAt(j *job, c *choice, holder string, tokens int, now time.Time) (source, bool) {
	to := location{c.endpoint.FailureDomain, c.endpoint.Region}
	engine := j.pool.Engine
	if e, ok := g.Registry.Find(holder); ok {
		if g.Health.IsAvoided(e.ID, now) || g.Weights.Changing(e.ID, now) || !c.regions.Allows(e.Region) {
			return source{}, false
		}
		return source{
			holder: holder, address: e.Address, region: e.Region,
			duration: transferTime(tokens, engine.TokenBytes, engine.LinkMbps, location{e.FailureDomain, e.Region}, to),
		}, true
	}
	p, ok := g.storePool(j, holder)
	if !ok || !g.Stores.Readable(holder, now) || now.Sub(j.partsRefreshedAt) > storeLookupMaxAge {
		return source{}, false
	}
	from := location{p.CacheStore.Domain, g.RegionOf(p.CacheStore.Domain)}
	if !c.regions.Allows(from.region) {
		return source{}, false
	}
	link := min(p.CacheStore.LinkMbps, engine.LinkMbps)
	return source{
		holder: holder, address: p.CacheStore.Address, region: from.region,
		duration: storeLatency + transferTime(tokens, engine.TokenBytes, link, from, to),
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

// prepareParts chooses a store for each shared part of the prompt that no store
// holds, and records which parts the engine is about to read.
func (g *Gateway) prepareParts(j *job, c *choice, now time.Time) {
	if j.request.Prompt == nil || c.weights == 0 || j.pool.Engine == nil {
		return
	}
	var changes PartChanges
	defer func() { g.announce(changes) }()
	for _, part := range j.request.Prompt.SharedParts() {
		change := zpparts.Change{Holder: c.endpoint.ID, Key: zpparts.Key{Salt: c.salt, Part: part.ID}, Tokens: part.Tokens}
		if !g.Parts.IsHeld(change.Key) && !g.Parts.IsExpected(c.endpoint.ID, change.Key, now) {
			g.Parts.Expect(change, now, now.Add(ReadLimit))
			changes.Expected = append(changes.Expected, change)
		}
	}
	for i, part := range j.request.Prompt.SharedParts() {
		key := zpparts.Key{Salt: c.salt, Part: part.ID}
		if g.isStored(j, key, now) {
			continue
		}
		p, ok := g.chooseStore(j, c, part.Tokens, now)
		if !ok {
			continue
		}
		saving := zpparts.Change{Holder: p.Name, Key: key, Tokens: part.Tokens}
		g.Stores.BeginSave(saving, now)
		changes.Saving = append(changes.Saving, saving)
		if c.save == nil {
			c.save = make([]Transfer, len(j.request.Prompt.Parts))
		}
		c.save[i] = Transfer{Address: p.CacheStore.Address}
	}
}

// isStored reports whether a store holds a part or is receiving it.
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

// chooseStore returns the store to write a part to: the fastest one with enough
// free space. The cost of a store rises with its fill level. Otherwise the fast,
// small stores would fill up first, and parts sent to a full store would be lost
// before its state is known here.
func (g *Gateway) chooseStore(j *job, c *choice, tokens int, now time.Time) (*zpcatalog.Pool, bool) {
	var best *zpcatalog.Pool
	var bestTime time.Duration
	to := location{c.endpoint.FailureDomain, c.endpoint.Region}
	for i := range j.catalog.Pools {
		p := &j.catalog.Pools[i]
		if p.CacheStore == nil || !g.Stores.Writable(p.Name, now) {
			continue
		}
		free := g.Stores.Free(p.Name)
		if free < tokens+storeReserveTokens {
			continue
		}
		at := location{p.CacheStore.Domain, g.RegionOf(p.CacheStore.Domain)}
		if at.region != to.region || !c.regions.Allows(at.region) {
			continue
		}
		used := 1 - float64(free)/float64(max(p.CacheStore.Tokens, 1))
		t := transferTime(tokens, j.pool.Engine.TokenBytes, p.CacheStore.LinkMbps, at, to)
		t += time.Duration(float64(t) * fullnessPenalty * used)
		if best == nil || t < bestTime {
			best, bestTime = p, t
		}
	}
	return best, best != nil
}

// recordPromptRead records that the endpoint has read the prompt's shared parts.
func (g *Gateway) recordPromptRead(j *job, c choice) {
	if j.request.Prompt == nil || c.weights == 0 {
		return
	}
	var changes PartChanges
	for _, part := range j.request.Prompt.SharedParts() {
		change := zpparts.Change{Holder: c.endpoint.ID, Key: zpparts.Key{Salt: c.salt, Part: part.ID}, Tokens: part.Tokens}
		if g.Parts.Apply(change) {
			changes.Read = append(changes.Read, change)
		}
	}
	g.announce(changes)
}

func (g *Gateway) announce(changes PartChanges) {
	if len(changes.Read)+len(changes.Expected)+len(changes.Saving) > 0 {
		g.AnnounceParts(changes)
	}
}

// IsStalePart reports whether a part is of no use any more: it was computed with weights
// that have been replaced and that no engine has loaded any more, or for workspaces that
// have not shared parts in this way for some time.
func (g *Gateway) IsStalePart(key zpparts.Key) bool {
	salt, ok := parseSalt(key.Salt)
	c := g.Catalog()
	if !ok || c == nil {
		return false
	}
	if g.unusedSalts.mayFree(salt, c, g.Clock()) {
		return true
	}
	if salt.weights >= g.Weights.Target(salt.model) {
		return false
	}
	for _, p := range c.Pools {
		if p.Engine == nil {
			continue
		}
		for _, e := range g.Registry.AllInPool(p.Name, g.Clock()) {
			if w, has := e.Weights[salt.model]; has && w <= salt.weights {
				return false
			}
		}
	}
	return true
}

// transferTime estimates how long a part takes over a link.
func transferTime(tokens, tokenBytes int, mbps float64, from, to location) time.Duration {
	if mbps <= 0 {
		return time.Hour
	}
	factor := 1
	switch {
	case from.region != to.region:
		factor = crossRegionFactor
	case from.domain != to.domain:
		factor = crossDomainFactor
	}
	bits := float64(tokens) * float64(tokenBytes) * 8
	return time.Duration(bits/mbps*float64(factor)) * time.Microsecond
}
