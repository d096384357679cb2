package zpgateway

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
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
	source    string // of the longest fetch
	save      []Transfer
	among     int // candidates
}

const (
	// waitShare is the part of a request's objective for which it waits for an
	// endpoint to become usable before it is refused.
	waitShare = 4
)

// place chooses an endpoint. While none can be used it waits a short time.
func (g *Gateway) place(ctx context.Context, j *job) (choice, error) {
	deadline := g.Clock().Add(min(j.route.Objective/waitShare, j.left(g.Clock())/waitShare))
	for {
		now := g.Clock()
		if j.left(now) < minimalRun {
			return choice{}, errTooLate
		}
		if c, ok := g.choose(j, now); ok {
			return c, nil
		}
		if ctx.Err() != nil {
			return choice{}, errCallerGone
		}
		if !now.Before(deadline) {
			return choice{}, errNoEndpoint.WithRetryAfter(retryAfterUnknown)
		}
		g.sleep(ctx, placeInterval)
	}
}

// choose picks the cheapest endpoint that may take the request now.
func (g *Gateway) choose(j *job, now time.Time) (choice, bool) {
	ask := g.ask(j)
	var list []choice
	var candidates []zpplace.Candidate
	for _, e := range g.Registry.Serving(j.pool.Name, now) {
		if c, ok := g.consider(j, e, ask, now); ok {
			list = append(list, c)
			candidates = append(candidates, c.candidate)
		}
	}
	for len(list) > 0 {
		i, cost := zpplace.Best(ask, candidates, g.Rates)
		c := list[i]
		if c.candidate.Cold && !g.Cold.Allow(c.endpoint.ID, j.pool.ColdPerSecond, g.Daemons(), now) {
			list = append(list[:i], list[i+1:]...)
			candidates = append(candidates[:i], candidates[i+1:]...)
			continue
		}
		c.cost, c.among = cost, len(candidates)
		g.prepare(j, &c, now)
		return c, true
	}
	return choice{}, false
}

// consider describes an endpoint as a candidate, unless it may not be used.
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
		g.findParts(j, &c, now)
	}
	return c, true
}

func (g *Gateway) ask(j *job) zpplace.Ask {
	a := zpplace.Ask{Domain: g.Domain, Region: g.Region}
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

// tokens returns what the run reads before its first piece, and what it holds
// in memory.
func (c choice) tokens() (prefill, memory int) {
	found := c.candidate.CachedTokens + c.candidate.FetchTokens
	return max(c.ask.PromptTokens-found, 0), zpplace.Memory(c.ask)
}

func (c choice) run(j *job, left time.Duration) Run {
	return Run{
		Request: j.request, Endpoint: c.endpoint, Workspace: j.workspaceName(), Left: left,
		Priority: j.priority(), Salt: c.salt, WeightVersion: c.weights, Fetch: c.fetch, Save: c.save,
		ResumeAfter: j.lastEvent, Repeatable: j.route.Kind == zpcatalog.KindIdempotent,
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
