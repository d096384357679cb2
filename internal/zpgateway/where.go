package zpgateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpforecast"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Explanation tells where a request would go now.
	Explanation struct {
		Route          string // empty: none
		Workspace      string // empty: none
		Pool           string // empty: none
		CatalogVersion int64
		CatalogAge     time.Duration // since the store last confirmed the catalog
		Fate           Fate
		Endpoint       string         // to which it would be sent; empty: none
		Error          *zperror.Error // why it would be refused; nil: it would not
		IsCutOff       bool           // this daemon reaches endpoints only through others
		Waiting        int            // requests that wait at this daemon
		Wait           *WaitForecast  // nil if it would be sent at once, or refused before placing
		Candidates     []CandidateExplanation
	}

	// WaitForecast holds the numbers by which a request that waits is judged.
	WaitForecast struct {
		zpforecast.Wait
		zpforecast.Verdict
	}

	// CandidateExplanation tells what speaks for and against an endpoint.
	CandidateExplanation struct {
		Endpoint      string
		FailureDomain string
		Region        string
		Excluded      string // why it must not be used now; empty: it may be
		Cost          time.Duration
		Terms         []zpplace.Term
		Running       int // requests of all daemons
		CachedTokens  int
		FetchTokens   int
		Source        string // holder from which parts would be fetched
		IsBlocked     bool   // it would be reached through another daemon
	}

	// Fate is what would become of a request.
	Fate string
)

// What may become of a request.
const (
	FateSent    Fate = "sent"
	FateWaits   Fate = "waits"
	FateRefused Fate = "refused"
)

// Reasons to exclude an endpoint.
const (
	excludedNotServing  = "it leaves, or its failure domain is out of service"
	excludedNotAllowed  = "its region or software version is not allowed, or its weights change or are outdated"
	excludedBackingOff  = "it has just turned requests away, or wants none for a while"
	excludedNoRoom      = "it has no room"
	excludedColdLimited = "it is cold and gets no more requests now"
)

// Where tells where a request would go now and why. It neither sends nor counts anything;
// what it knows of parts is refreshed as for a request.
func (g *Gateway) Where(ctx context.Context, q *Request) Explanation {
	j := &job{request: q, tried: map[string]bool{}}
	x := Explanation{Fate: FateRefused}
	err := g.resolve(j)
	g.describe(&x, j)
	if err == nil {
		err = g.checkQuarantine(j)
	}
	if err == nil {
		err = g.checkRegionsConfirmed(j)
	}
	if err != nil {
		x.Error = zperror.Of(err)
		return x
	}
	g.refreshParts(ctx, j)
	g.explainPlacement(&x, j, g.Clock())
	return x
}

func (g *Gateway) describe(x *Explanation, j *job) {
	x.Workspace = j.workspaceName()
	if j.catalog != nil {
		x.CatalogVersion, x.CatalogAge = j.catalog.Version, g.Clock().Sub(g.CatalogConfirmedAt())
	}
	if j.route != nil {
		x.Route = j.route.Name
	}
	if j.pool != nil {
		x.Pool = j.pool.Name
	}
}

// explainPlacement makes the decisions of place without taking anything.
func (g *Gateway) explainPlacement(x *Explanation, j *job, now time.Time) {
	j.line = g.lineOf(j)
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	e := g.newEntry(&waiter{job: j, enqueuedAt: now})
	x.Waiting = g.queue.waiters.Len()
	x.Candidates = g.explainCandidates(j, now)
	g.explainReach(x, now)
	if first := x.Candidates; len(first) > 0 && first[0].Excluded == "" && g.queue.waiters.WouldBeFirst(e, now) {
		x.Fate, x.Endpoint = FateSent, first[0].Endpoint
		return
	}
	if err := g.refuseQuiet(j, now); err != nil {
		x.Error = zperror.Of(err)
		return
	}
	wait, verdict := g.decideWait(e, g.queue.forecast(j), now)
	x.Wait = &WaitForecast{wait, verdict}
	if verdict.Reason != zpforecast.ReasonNone || x.Waiting >= maxQueuedRequests {
		x.Error = errOverloaded.WithRetryAfter(min(verdict.Start, j.remaining(now)/maxRetryAfterDivisor))
		return
	}
	x.Fate = FateWaits
}

// explainReach tells which endpoints would be reached through other daemons.
func (g *Gateway) explainReach(x *Explanation, now time.Time) {
	if g.Reach == nil {
		return
	}
	x.IsCutOff = g.Reach.IsCut(now)
	for i, c := range x.Candidates {
		if e, ok := g.Registry.Find(c.Endpoint); ok {
			x.Candidates[i].IsBlocked = g.Reach.IsBlocked(e.Address, now)
		}
	}
}

// explainCandidates returns the endpoints of the request's pool, the one that would be chosen
// first and those that must not be used last. The lock of the queue must be held.
func (g *Gateway) explainCandidates(j *job, now time.Time) []CandidateExplanation {
	t, states := &terms{demand: g.demandOf(j), regions: g.regionsOf(j), versions: g.versionsOf(j, now), beliefs: g.Speed.Beliefs(now)}, partStates{}
	var usable choiceSet
	var excluded []CandidateExplanation
	for _, e := range g.Registry.AllInPool(j.pool.Name, now) {
		c, reason := g.explainEndpoint(j, e, t, now)
		if reason != "" {
			excluded = append(excluded, CandidateExplanation{Endpoint: e.ID, FailureDomain: e.FailureDomain, Region: e.Region, Excluded: reason, Running: g.Usage.Total(e.ID, now).Requests})
			continue
		}
		g.findCachedParts(j, &c, states, now)
		c.candidate.Preference = zpplace.Preference(g.Cold.Self, e.ID)
		usable.add(c, c.candidate)
	}
	var first, others choiceSet
	first.choices, first.candidates, others = g.selectVersion(t.versions, usable.choices, usable.candidates)
	out := g.explainChoices(j, first, states, now)
	return append(append(out, g.explainChoices(j, others, states, now)...), excluded...)
}

// explainChoices returns choices in the order of their cost.
func (g *Gateway) explainChoices(j *job, s choiceSet, states partStates, now time.Time) []CandidateExplanation {
	g.markPreferred(j, s.choices, s.candidates, states, now)
	var out []CandidateExplanation
	for i, c := range s.choices {
		k := s.candidates[i]
		out = append(out, CandidateExplanation{
			Endpoint: k.ID, FailureDomain: k.Domain, Region: k.Region, Cost: zpplace.Cost(c.demand, k, g.Rates), Terms: zpplace.Terms(c.demand, k, g.Rates),
			Running: k.Use.Requests, CachedTokens: k.CachedTokens, FetchTokens: k.FetchTokens, Source: c.source,
		})
	}
	slices.SortStableFunc(out, func(a, b CandidateExplanation) int { return cmp.Compare(a.Cost, b.Cost) })
	return out
}

// explainEndpoint returns an endpoint as a choice, or why it must not be used now.
func (g *Gateway) explainEndpoint(j *job, e zpregistry.Endpoint, t *terms, now time.Time) (c choice, excluded string) {
	if !g.Registry.IsServing(e.ID, now) {
		return c, excludedNotServing
	}
	c, ok := g.evaluate(j, e, t, now)
	switch {
	case !ok:
		return c, excludedNotAllowed
	case g.Health.IsBackingOff(e.ID, now):
		return c, excludedBackingOff
	case !zpplace.HasCapacity(t.demand, c.candidate, g.Rates):
		return c, excludedNoRoom
	case c.candidate.Cold && !g.Cold.MayAllow(e.ID, j.pool.ColdRequestsPerSecond, g.Daemons(), now):
		return c, excludedColdLimited
	}
	return c, ""
}
