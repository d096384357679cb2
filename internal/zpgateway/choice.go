package zpgateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

// choice is the endpoint chosen for one send, with the data behind the decision.
type choice struct {
	endpoint       zpregistry.Endpoint
	candidate      zpplace.Candidate
	demand         zpplace.Request
	regions        zpcatalog.RegionFilter // allowed for the request and its parts
	cost           time.Duration
	weights        int64 // version that the engine must have loaded; zero: any
	salt           string
	fetch          []Transfer
	source         string // holder that the last fetched part comes from
	sourceRegion   string
	save           []Transfer
	candidateCount int
	use            *zpusage.RunningRequest
	upgrade        *zpupgrade.Use
}

const (
	// backlogPercent is the share of the route's objective that reading the queued
	// prompts of an engine may take; a request behind a longer backlog would miss
	// its objective.
	backlogPercent = 55
	// urgentBacklogPercent is higher because engines read urgent prompts first.
	urgentBacklogPercent = 100
)

// choiceStatus is the result of choosing an endpoint.
type choiceStatus int

const (
	choiceMade       choiceStatus = iota
	choiceNoCapacity              // endpoints are available, but none has capacity
	choiceNoEndpoint              // no endpoint may serve the request
)

// choose selects the cheapest endpoint that may serve the request now and has
// capacity, and counts the request in its usage. The lock of the queue must be
// held.
func (g *Gateway) choose(j *job, now time.Time) (choice, choiceStatus) {
	demand, regions := g.demandOf(j), g.regionsOf(j)
	v := choiceNoEndpoint
	// The buffers are reused to save allocations: choices among many engines are
	// frequent.
	choices, candidates := g.queue.choices[:0], g.queue.candidates[:0]
	states := partStates{}
	t := &terms{demand: demand, regions: regions, versions: g.versionsOf(j, now), beliefs: g.Speed.Beliefs(now)}
	serving := g.Registry.Serving(j.pool.Name, now)
	preferences := g.queue.preferences.of(g.Cold.Self, j.pool.Name, serving)
	for i, e := range serving {
		c, ok := g.evaluate(j, e, t, now)
		if !ok {
			continue
		}
		v = choiceNoCapacity
		if !g.Health.IsBackingOff(e.ID, now) && zpplace.HasCapacity(demand, c.candidate, g.Rates) {
			g.findCachedParts(j, &c, states, now)
			c.candidate.Preference = preferences[i]
			choices = append(choices, c)
			candidates = append(candidates, c.candidate)
		}
	}
	g.queue.choices, g.queue.candidates = choices, candidates
	choices, candidates, others := g.selectVersion(t.versions, choices, candidates)
	if c, ok := g.pick(j, demand, choices, candidates, states, now); ok {
		return c, choiceMade
	}
	if c, ok := g.pick(j, demand, others.choices, others.candidates, states, now); ok {
		return c, choiceMade
	}
	return choice{}, v
}

// pick selects the cheapest of the choices.
func (g *Gateway) pick(j *job, demand zpplace.Request, choices []choice, candidates []zpplace.Candidate, states partStates, now time.Time) (choice, bool) {
	g.markPreferred(j, choices, candidates, states, now)
	for len(choices) > 0 {
		i, cost := zpplace.Best(demand, candidates, g.Rates)
		c := choices[i]
		if !g.mayTry(j.pool, c, now) || c.candidate.Cold && !g.Cold.Allow(c.endpoint.ID, j.pool.ColdRequestsPerSecond, g.Daemons(), now) {
			choices = append(choices[:i], choices[i+1:]...)
			candidates = append(candidates[:i], candidates[i+1:]...)
			continue
		}
		c.cost, c.candidateCount = cost, len(candidates)
		c.use = g.Usage.Begin(c.endpoint.ID, c.prefillTokens(), zpplace.KVTokens(demand))
		c.upgrade = g.Upgrades.Begin(j.pool.Name, c.endpoint.SoftwareVersion, j.route.Name)
		g.prepareParts(j, &c, now)
		return c, true
	}
	return choice{}, false
}

// evaluate returns an endpoint as a candidate, or false if the endpoint must not
// be used. It does not look up which parts of the prompt the endpoint holds.
func (g *Gateway) evaluate(j *job, e zpregistry.Endpoint, t *terms, now time.Time) (choice, bool) {
	if j.tried[e.ID] || !j.mayUse(e.SoftwareVersion) || !t.versions.Allows(e.SoftwareVersion) || !t.regions.Allows(e.Region) || g.Weights.Changing(e.ID, now) {
		return choice{}, false
	}
	if j.route.Resumable && g.hasStartedAgain(e) {
		return choice{}, false
	}
	c := choice{endpoint: e, demand: t.demand, regions: t.regions}
	c.candidate = zpplace.Candidate{
		ID: e.ID, Domain: e.FailureDomain, Region: e.Region, Use: g.Usage.Believed(e.ID, now), Slots: e.Slots,
		Cold: now.Before(e.ColdUntil), Suspect: g.Health.IsAvoided(e.ID, now) || slices.Contains(j.noPath, e.ID),
	}
	t.addBelief(&c.candidate, e)
	if p := j.request.Prompt; p != nil && j.pool.Engine != nil {
		c.weights = e.Weights[p.Model]
		if g.Weights.Expired(p.Model, c.weights, now) || c.weights > 0 && c.weights < j.weights {
			return choice{}, false
		}
		c.candidate.MemoryTokens = j.pool.Engine.CacheTokens
		c.candidate.OldWeights = c.weights < g.Weights.Target(p.Model)
		if t.salt == "" || t.weights != c.weights {
			t.salt, t.weights = g.saltFor(j, c.weights, t.regions), c.weights
		}
		c.salt = t.salt
	}
	return c, true
}

// terms are the same for all endpoints that are evaluated for a request.
type terms struct {
	demand  zpplace.Request
	regions zpcatalog.RegionFilter
	// versions are the software versions that the request may use.
	versions zpupgrade.View
	// salt is the latest that was formatted, for engines with these weights. Most engines
	// have the same.
	salt    string
	weights int64
	// beliefs of load and speed, by endpoint; nil where endpoints do not tell their speed.
	beliefs map[string]zpspeed.Belief
}

// addBelief adds to a candidate what its endpoint has said of its load and speed. The work
// that the daemons know of counts if it is more than the endpoint has said.
func (t *terms) addBelief(c *zpplace.Candidate, e zpregistry.Endpoint) {
	if len(t.beliefs) == 0 {
		return
	}
	if b, ok := t.beliefs[e.ID]; ok && b.StartedAtMS == e.StartedAtMS {
		c.Slowness = b.Slowness
		c.Use.Requests = max(c.Use.Requests, b.Requests)
	}
}

func (g *Gateway) demandOf(j *job) zpplace.Request {
	d := zpplace.Request{Domain: g.Domain, Region: g.Region, MaxBacklog: j.route.TargetLatency * backlogPercent / 100}
	if j.route.Priority == 0 {
		d.MaxBacklog = j.route.TargetLatency * urgentBacklogPercent / 100
	}
	if p := j.request.Prompt; p != nil {
		d.PromptTokens, d.SharedTokens, d.OutputTokens = p.Tokens, p.SharedTokens(), p.OutputTokens
	}
	return d
}

// saltFor returns the cache salt of the request's parts. It differs by model and
// weight version, for each isolated workspace, whenever other workspaces become isolated,
// and for each set of allowed regions: otherwise a request without restrictions could move
// parts of one with them elsewhere.
func (g *Gateway) saltFor(j *job, weights int64, regions zpcatalog.RegionFilter) string {
	if weights == 0 {
		// Parts computed with unknown weights must not be reused by other requests.
		return onceSalt(j)
	}
	s := cacheSalt{model: j.request.Prompt.Model, weights: weights, regions: regions.String()}
	isConfirmed := g.IsCatalogConfirmed()
	if s.isolated = g.isolatedWorkspaceOf(j, isConfirmed); s.isolated == "" && !isConfirmed {
		return onceSalt(j)
	}
	if s.isolated == "" {
		s.scope = g.Catalog().CacheScope()
	}
	return s.String()
}

// onceSalt returns a salt whose parts no other request uses.
func onceSalt(j *job) string { return "once-" + j.request.ID }

// isolatedWorkspaceOf returns the name of the request's workspace if that is isolated in
// the current catalog, or was when the request was admitted. Each workspace counts as
// isolated while the catalog is not confirmed: a newer one may isolate any of them. A workspace that has been
// renamed, has lost the key or was removed since then counts as isolated: parts made under
// its old name must not reach those that share now. The workspace of a key counts also on
// routes that need none.
func (g *Gateway) isolatedWorkspaceOf(j *job, isConfirmed bool) string {
	w, ok := j.catalog.WorkspaceOf(j.request.APIKey)
	if !ok {
		return ""
	}
	current, ok := g.Catalog().WorkspaceOf(j.request.APIKey)
	if w.Isolated || !isConfirmed || !ok || current.Name != w.Name || current.Isolated {
		return w.Name
	}
	return ""
}

// prefillTokens returns the number of prompt tokens that the engine must process
// before the first output token.
func (c choice) prefillTokens() int {
	return max(c.demand.PromptTokens-c.candidate.CachedTokens-c.candidate.FetchTokens, 0)
}

func (c choice) newRun(j *job, left time.Duration) Run {
	resumeAfter := j.lastEvent
	if zpmutant.Active(zpmutant.Resume) {
		resumeAfter = ""
	}
	return Run{
		Request: j.request, Endpoint: c.endpoint, Workspace: j.workspaceName(), Remaining: left,
		Priority: j.priority(), Salt: c.salt, WeightVersion: c.weights, Fetch: c.fetch, Save: c.save,
		ResumeAfter: resumeAfter, Idempotent: j.route.Kind == zpcatalog.KindIdempotent,
	}
}

// choiceFields returns the data behind a choice for the log. The age of the catalog is that
// of its last confirmation by the store.
func (g *Gateway) choiceFields(j *job, c choice) zplog.Fields {
	f := c.logFields()
	f["software_version"] = c.endpoint.SoftwareVersion
	if after := cmp.Or(j.lastEvent, j.request.LastEventID); after != "" {
		f["resume_after"], f["resumes"] = after, cmp.Or(j.request.ResumedID, j.request.ID)
		if j.request.LastEventID != "" {
			f["origin"] = j.origin.String()
		}
	}
	f["region"], f["catalog_ms"] = c.endpoint.Region, g.Clock().Sub(g.CatalogConfirmedAt()).Milliseconds()
	if c.candidate.Slowness > 1 {
		f["slowness"] = c.candidate.Slowness
	}
	if !c.regions.IsEmpty() {
		f["allowed_regions"] = c.regions.String()
	}
	return f
}

func (c choice) logFields() zplog.Fields {
	return zplog.Fields{
		"endpoint": c.endpoint.ID, "cost_ms": c.cost.Milliseconds(), "candidates": c.candidateCount,
		"running": c.candidate.Use.Requests, "prefill": c.candidate.Use.PrefillTokens, "memory": c.candidate.Use.MemoryTokens,
		"prompt": c.demand.PromptTokens, "shared": c.demand.SharedTokens, "cached": c.candidate.CachedTokens, "fetch": c.candidate.FetchTokens,
		"fetch_ms": c.candidate.FetchTime.Milliseconds(), "save": len(c.save) > 0, "source": c.source, "source_region": c.sourceRegion,
		"weights": c.weights, "cold": c.candidate.Cold, "suspect": c.candidate.Suspect,
	}
}
