// Package zpplace chooses the endpoint for a request by an estimated cost in
// time. All functions are pure.
package zpplace

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Ask describes the request to be placed.
	Ask struct {
		Domain       string // of the daemon
		Region       string
		PromptTokens int // zero for plain services
		SharedTokens int // of the prompt, that other requests use too
		OutputTokens int
		Backlog      time.Duration // of prompts that may be read before this one; zero: any
	}

	// Candidate is an endpoint as it stands now.
	Candidate struct {
		ID           string
		Domain       string
		Region       string
		Use          zpusage.Use
		Slots        int
		MemoryTokens int // of the engine; zero: unknown or not an engine
		CachedTokens int // of the prompt, in the engine's memory
		FetchTokens  int // of the prompt, to be fetched from elsewhere
		FetchTime    time.Duration
		Suspect      bool // failed lately
		Cold         bool
		OldWeights   bool // newer ones are named
		Preferred    bool // by all daemons alike, for a prompt that no holder is known of
	}

	// Rates turn loads into time.
	Rates struct {
		PrefillPerMS   int           // prompt tokens that an engine reads in one millisecond
		ServiceTime    time.Duration // usual run of a request on a plain service
		DomainPenalty  time.Duration // for leaving the failure domain
		RegionPenalty  time.Duration // for leaving the region
		SuspectPenalty time.Duration
		ColdPenalty    time.Duration
		OldPenalty     time.Duration // for old weights
		RereadPerToken time.Duration // for reading a shared token that was read before elsewhere
		PreferredBonus time.Duration // for the engine that all daemons prefer
		RunningPenalty time.Duration // for each running request, as it slows the others
		MemoryShare    float64       // of an engine's memory that requests may fill
		SlotFactor     int           // requests on a plain service for each of its slots
	}
)

// Cost estimates how long a request would wait for its first byte on a
// candidate, with penalties in the same unit.
func Cost(a Ask, c Candidate, r Rates) time.Duration {
	cost := r.distance(a, c)
	if c.Suspect {
		cost += r.SuspectPenalty
	}
	if c.Cold {
		cost += r.ColdPenalty
	}
	if c.OldWeights {
		cost += r.OldPenalty
	}
	if a.PromptTokens == 0 {
		return cost + r.ServiceTime*time.Duration(c.Use.Requests)/time.Duration(max(c.Slots, 1))
	}
	found := c.CachedTokens + c.FetchTokens
	cost += ReadTime(a, c, r)
	cost += r.RereadPerToken * time.Duration(max(a.SharedTokens-found, 0))
	if c.Preferred {
		cost -= r.PreferredBonus
	}
	cost += r.RunningPenalty * time.Duration(c.Use.Requests)
	return cost
}

// ReadTime estimates how long a prompt takes to be read, after those before it.
func ReadTime(a Ask, c Candidate, r Rates) time.Duration {
	read := max(a.PromptTokens-c.CachedTokens-c.FetchTokens, 0)
	return prefillTime(c.Use.PrefillTokens+read, r.PrefillPerMS) + c.FetchTime
}

// HasRoom reports whether a candidate can take a request without making it wait
// long. An idle candidate can take any.
func HasRoom(a Ask, c Candidate, r Rates) bool {
	if c.Use.Requests == 0 {
		return true
	}
	if a.PromptTokens == 0 {
		return c.Slots == 0 || c.Use.Requests < r.SlotFactor*c.Slots
	}
	if c.MemoryTokens > 0 && c.Use.MemoryTokens+Memory(a) > int(r.MemoryShare*float64(c.MemoryTokens)) {
		return false
	}
	return a.Backlog == 0 || prefillTime(c.Use.PrefillTokens, r.PrefillPerMS) <= a.Backlog
}

// Best returns the index of the cheapest candidate and its cost. It returns -1
// if there are none.
func Best(a Ask, candidates []Candidate, r Rates) (int, time.Duration) {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if cost := Cost(a, c, r); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// Memory returns the tokens that a request holds in an engine's memory while
// it runs.
func Memory(a Ask) int { return a.PromptTokens + a.OutputTokens }

func (r Rates) distance(a Ask, c Candidate) time.Duration {
	switch {
	case c.Region != a.Region:
		return r.RegionPenalty
	case c.Domain != a.Domain:
		return r.DomainPenalty
	default:
		return 0
	}
}

func prefillTime(tokens, perMS int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / time.Duration(max(perMS, 1))
}
