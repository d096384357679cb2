package zpgateway

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

// choice is the endpoint for one send, with what decided it.
type choice struct {
	endpoint  zpregistry.Endpoint
	candidate zpplace.Candidate
	ask       zpplace.Ask
	cost      time.Duration
	weights   int64 // version that the engine must have; zero: any
	salt      string
	fetch     []Transfer
	source    string // of the last fetch
	save      []Transfer
	among     int // candidates
	use       *zpusage.Run
}

const (
	// backlogShare is the part of the objective, in hundredths, that the prompts
	// before a request may take at an engine; more would make it late.
	backlogShare = 55
	// urgentBacklogShare is larger, as engines read urgent prompts first.
	urgentBacklogShare = 100
)

// verdict says whether a request can be placed.
type verdict int

const (
	verdictChosen verdict = iota
	verdictFull           // endpoints are there, but none has room
	verdictNone           // no endpoint may take the request
)

// choose picks the cheapest endpoint that may take the request now and has
// room, and counts the request there. The lock of the room must be held.
func (g *Gateway) choose(j *job, now time.Time) (choice, verdict) {
	ask := g.ask(j)
	v := verdictNone
	// The buffers are used again: a choice among many engines is made often.
	list, candidates := g.room.list[:0], g.room.candidates[:0]
	seen := sights{}
	for _, e := range g.Registry.Serving(j.pool.Name, now) {
		c, ok := g.consider(j, e, ask, now)
		if !ok {
			continue
		}
		v = verdictFull
		if !g.Suspects.Shut(e.ID, now) && zpplace.HasRoom(ask, c.candidate, g.Rates) {
			g.findParts(j, &c, seen, now)
			list = append(list, c)
			candidates = append(candidates, c.candidate)
		}
	}
	g.room.list, g.room.candidates = list, candidates
	g.prefer(j, list, candidates, seen, now)
	for len(list) > 0 {
		i, cost := zpplace.Best(ask, candidates, g.Rates)
		c := list[i]
		if c.candidate.Cold && !g.Cold.Allow(c.endpoint.ID, j.pool.ColdPerSecond, g.Daemons(), now) {
			list = append(list[:i], list[i+1:]...)
			candidates = append(candidates[:i], candidates[i+1:]...)
			continue
		}
		c.cost, c.among = cost, len(candidates)
		c.use = g.Usage.Begin(c.endpoint.ID, c.prefill(), zpplace.Memory(ask))
		g.prepare(j, &c, now)
		return c, verdictChosen
	}
	return choice{}, v
}

// consider describes an endpoint as a candidate, unless it may not be used.
// What it holds of the prompt is not looked up.
func (g *Gateway) consider(j *job, e zpregistry.Endpoint, ask zpplace.Ask, now time.Time) (choice, bool) {
	if j.tried[e.ID] || !j.regions().Allows(e.Region) || g.Weights.Changing(e.ID, now) {
		return choice{}, false
	}
	c := choice{endpoint: e, ask: ask}
	c.candidate = zpplace.Candidate{
		ID: e.ID, Domain: e.Domain, Region: e.Region, Use: g.Usage.Total(e.ID, now), Slots: e.Slots,
		Cold: now.Before(e.ColdUntil), Suspect: g.Suspects.Suspect(e.ID, now),
	}
	if p := j.request.Prompt; p != nil && j.pool.Engine != nil {
		c.weights = e.Weights[p.Model]
		if g.Weights.Expired(p.Model, c.weights, now) {
			return choice{}, false
		}
		c.candidate.MemoryTokens = j.pool.Engine.CacheTokens
		c.candidate.OldWeights = c.weights < g.Weights.Named(p.Model)
		c.salt = g.salt(j, c.weights)
	}
	return c, true
}

func (g *Gateway) ask(j *job) zpplace.Ask {
	a := zpplace.Ask{Domain: g.Domain, Region: g.Region, Backlog: j.route.Objective * backlogShare / 100}
	if j.route.Priority == 0 {
		a.Backlog = j.route.Objective * urgentBacklogShare / 100
	}
	if p := j.request.Prompt; p != nil {
		a.PromptTokens, a.SharedTokens, a.OutputTokens = p.Tokens, p.SharedTokens(), p.OutputTokens
	}
	return a
}

// salt separates parts of different weight versions, and those of isolated
// workspaces from all others.
func (g *Gateway) salt(j *job, weights int64) string {
	if weights == 0 {
		// Parts of unknown weights must not be found by any other request.
		return "once-" + j.request.ID
	}
	isolated := ""
	if j.workspace != nil && j.workspace.Isolated {
		isolated = j.workspace.Name
	}
	return saltOf(j.request.Prompt.Model, weights, isolated)
}

// prefill returns the tokens that the engine reads before the first piece.
func (c choice) prefill() int {
	return max(c.ask.PromptTokens-c.candidate.CachedTokens-c.candidate.FetchTokens, 0)
}

func (c choice) run(j *job, left time.Duration) Run {
	resumeAfter := j.lastEvent
	if zpmutant.Active(zpmutant.Resume) {
		resumeAfter = ""
	}
	return Run{
		Request: j.request, Endpoint: c.endpoint, Workspace: j.workspaceName(), Left: left,
		Priority: j.priority(), Salt: c.salt, WeightVersion: c.weights, Fetch: c.fetch, Save: c.save,
		ResumeAfter: resumeAfter, Repeatable: j.route.Kind == zpcatalog.KindIdempotent,
	}
}

func (c choice) fields() zplog.Fields {
	return zplog.Fields{
		"endpoint": c.endpoint.ID, "cost_ms": c.cost.Milliseconds(), "candidates": c.among,
		"running": c.candidate.Use.Requests, "prefill": c.candidate.Use.PrefillTokens, "memory": c.candidate.Use.MemoryTokens,
		"prompt": c.ask.PromptTokens, "shared": c.ask.SharedTokens, "cached": c.candidate.CachedTokens, "fetch": c.candidate.FetchTokens,
		"fetch_ms": c.candidate.FetchTime.Milliseconds(), "save": len(c.save) > 0, "source": c.source,
		"weights": c.weights, "cold": c.candidate.Cold, "suspect": c.candidate.Suspect,
	}
}
