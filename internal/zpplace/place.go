// Package zpplace selects the endpoint for a request by its estimated cost,
// expressed as a duration. All functions are pure; only ColdLimiter holds state.
package zpplace

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Request describes the request to be placed.
	Request struct {
		Domain       string // failure domain of the daemon
		Region       string // region of the daemon
		PromptTokens int    // 0 for services that run no model
		SharedTokens int    // prompt tokens in prefixes that other requests use too
		OutputTokens int
		MaxBacklog   time.Duration // limit on the prefill time of queued prompts; 0 means no limit
	}

	// Candidate is a snapshot of an endpoint that could take the request.
	Candidate struct {
		ID           string
		Domain       string
		Region       string
		Use          zpusage.Usage
		Slots        int
		MemoryTokens int // KV cache capacity; 0 if unknown or not an engine
		CachedTokens int // prompt tokens in the engine's KV cache
		FetchTokens  int // prompt tokens whose KV cache can be fetched from another holder
		FetchTime    time.Duration
		Preference   float64 // of this daemon, from 0, the least, to 1; differs between daemons
		Slowness     float64 // factor by which work takes longer than usual; below 1: as usual
		Suspect      bool    // failed recently
		Cold         bool
		OldWeights   bool // a newer weight version is the target
		Preferred    bool // all daemons pick the same engine for a prompt without a known holder
	}

	// Rates convert load into time and set the penalties.
	Rates struct {
		PrefillPerMS          int           // prompt tokens that an engine prefills per millisecond
		ServiceTime           time.Duration // typical run time of a request on a service
		DomainPenalty         time.Duration // for an endpoint in another failure domain of the region
		RegionPenalty         time.Duration // for an endpoint in another region
		SuspectPenalty        time.Duration
		ColdPenalty           time.Duration
		OldWeightsPenalty     time.Duration // for an older weight version
		RecomputePerToken     time.Duration // for prefilling a shared token that another engine has prefilled already
		PreferredBonus        time.Duration // subtracted for the preferred engine
		RunningRequestPenalty time.Duration // per running request, since each one slows the others
		PreferenceBonus       time.Duration // subtracted for the engine that this daemon prefers most
		MaxMemoryShare        float64       // fraction of an engine's KV cache that requests may fill
		RequestsPerSlot       int           // concurrent requests per slot of a service
	}
)

// Cost estimates the time to the first byte of a request on a candidate, plus
// penalties in the same unit.
func Cost(a Request, c Candidate, r Rates) time.Duration {
	cost := r.distancePenalty(a, c)
	if c.Suspect {
		cost += r.SuspectPenalty
	}
	if c.Cold {
		cost += r.ColdPenalty
	}
	if c.OldWeights {
		cost += r.OldWeightsPenalty
	}
	if a.PromptTokens == 0 {
		return cost + c.Slowed(r.ServiceTime*time.Duration(c.Use.Requests)/time.Duration(max(c.Slots, 1))) + c.extra(r.ServiceTime)
	}
	reusable := c.CachedTokens + c.FetchTokens
	cost += PrefillLatency(a, c, r)
	cost += r.RecomputePerToken * time.Duration(max(a.SharedTokens-reusable, 0))
	if c.Preferred {
		cost -= r.PreferredBonus
	}
	cost += c.Slowed(r.RunningRequestPenalty * time.Duration(c.Use.Requests))
	cost -= time.Duration(c.Preference * float64(r.PreferenceBonus))
	return cost
}

// PrefillLatency estimates the time until a prompt is prefilled, including the prompts
// queued before it and the fetch of cached parts.
func PrefillLatency(a Request, c Candidate, r Rates) time.Duration {
	uncached := max(a.PromptTokens-c.CachedTokens-c.FetchTokens, 0)
	return c.Slowed(prefillTime(c.Use.PrefillTokens+uncached, r.PrefillPerMS)) + c.FetchTime
}

// HasCapacity reports whether a candidate can start a request without exceeding its
// limits. An idle candidate accepts any request.
func HasCapacity(a Request, c Candidate, r Rates) bool {
	if c.Use.Requests == 0 {
		return true
	}
	if a.PromptTokens == 0 {
		return c.Slots == 0 || c.Use.Requests < c.maxRequests(r)
	}
	if c.MemoryTokens > 0 && c.Use.MemoryTokens+KVTokens(a) > int(r.MaxMemoryShare*float64(c.MemoryTokens)) {
		return false
	}
	return a.MaxBacklog == 0 || c.Slowed(prefillTime(c.Use.PrefillTokens, r.PrefillPerMS)) <= a.MaxBacklog
}

// Best returns the index of the candidate with the lowest cost, and that cost.
// It returns -1 if there are no candidates.
func Best(a Request, candidates []Candidate, r Rates) (int, time.Duration) {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if cost := Cost(a, c, r); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// KVTokens returns the number of KV cache tokens that a request occupies while it
// runs.
func KVTokens(a Request) int { return a.PromptTokens + a.OutputTokens }

func (r Rates) distancePenalty(a Request, c Candidate) time.Duration {
	switch {
	case c.Region != a.Region:
		return r.RegionPenalty
	case c.Domain != a.Domain:
		return r.DomainPenalty
	default:
		return 0
	}
}

// Slowed returns how long work takes on the candidate that usually takes d.
func (c Candidate) Slowed(d time.Duration) time.Duration { return d + c.extra(d) }

// extra returns how much longer than usual work takes on the candidate.
func (c Candidate) extra(d time.Duration) time.Duration {
	if c.Slowness <= 1 {
		return 0
	}
	return time.Duration(float64(d) * (c.Slowness - 1))
}

// maxRequests returns the number of concurrent requests of a service. A slow replica keeps
// its slots busy, but fewer requests wait there.
func (c Candidate) maxRequests(r Rates) int {
	limit := r.RequestsPerSlot * c.Slots
	if c.Slowness > 1 {
		limit = max(int(float64(limit)/c.Slowness), c.Slots)
	}
	return limit
}

func prefillTime(tokens, perMS int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / time.Duration(max(perMS, 1))
}
