// Package zproute chooses the endpoint for a prompt by its cost in
// milliseconds: the wait, the context to recompute or import, the way there,
// and the price of link bytes.
package zproute

import (
	"sort"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

type (
	// Rates are the constants of the cost.
	Rates struct {
		PrefillTokens int64         // recomputed per second
		BytesPerToken int64         // of KV cache
		LinkPrice     time.Duration // price of a megabyte on the inter-region link
		RegionLatency time.Duration // one way to another region
	}

	// Prompt is what routing needs to know of a request.
	Prompt struct {
		Tokens int
		Blocks int // whole blocks in the prompt
		Bytes  int // of the request and the usual answer
		Urgent bool
		Region string // of the daemon
	}

	// Candidate is one endpoint that may run the prompt.
	Candidate struct {
		Endpoint string
		Region   string
		Quote    zpadmission.Quote
		Cached   int // blocks that the endpoint is thought to hold
	}

	// Source is one store from which blocks may be imported.
	Source struct {
		Store      string
		Region     string
		Blocks     int
		Generation int64
		Bandwidth  int64 // bytes a second of the store's way to an engine in its own region
		LinkBytes  int64 // bytes that the inter-region link grants now, 0 for none
		LinkRate   int64 // bytes a second of the inter-region link
	}

	// Choice is one way to run the prompt.
	Choice struct {
		Endpoint  string
		Import    *Source // nil: recompute what is missing
		Cost      time.Duration
		Prefill   time.Duration // part of the cost: computing or importing the context
		LinkBytes int64
	}
)

const (
	blockTokens = 64
	// coldPenalty is the extra time of a request on a cold endpoint.
	coldPenalty = 2 * time.Second
	// busyPenalty is added when no slot is free, so that equal waits spread.
	busyPenalty = 5 * time.Millisecond
)

// Rank returns all ways to run the prompt, cheapest first.
func Rank(p Prompt, candidates []Candidate, sources []Source, r Rates) []Choice {
	var out []Choice
	for _, c := range candidates {
		out = append(out, best(p, c, sources, r))
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Cost < out[j].Cost })
	return out
}

// RankByLoad returns the candidates by load alone; the baseline of
// measurements.
func RankByLoad(candidates []Candidate) []Choice {
	var out []Choice
	for _, c := range candidates {
		load := c.Quote.Running + c.Quote.WaitingUrgent + c.Quote.WaitingOther
		cost := time.Duration(load) * time.Millisecond
		if c.Quote.Limit == 0 {
			cost += coldPenalty
		}
		out = append(out, Choice{Endpoint: c.Endpoint, Cost: cost})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Cost < out[j].Cost })
	return out
}

// Wait estimates how long a request would wait on an endpoint.
func Wait(q zpadmission.Quote, urgent bool) time.Duration {
	if q.Limit <= 0 {
		return coldPenalty + q.Service*time.Duration(q.WaitingUrgent+q.WaitingOther+1)
	}
	ahead := q.WaitingUrgent
	if !urgent {
		ahead += q.WaitingOther
	}
	free := q.Limit - q.Running
	if !urgent {
		free = q.Limit*3/4 - q.Running
	}
	if free > ahead {
		return 0
	}
	return busyPenalty + q.Service*time.Duration(ahead-free+1)/time.Duration(q.Limit)
}

func best(p Prompt, c Candidate, sources []Source, r Rates) Choice {
	base := Wait(c.Quote, p.Urgent) + c.Quote.Backlog
	if c.Quote.Cold {
		base += coldPenalty
	}
	if c.Region != p.Region {
		base += 2*r.RegionLatency + price(int64(p.Bytes), r)
	}
	missing := p.Tokens - min(c.Cached, p.Blocks)*blockTokens
	choice := Choice{Endpoint: c.Endpoint, Cost: base + recompute(missing, r), Prefill: recompute(missing, r)}
	for i := range sources {
		option, ok := imported(p, c, &sources[i], r)
		if ok && base+option.Cost < choice.Cost {
			option.Cost += base
			choice = option
		}
	}
	if choice.Import == nil {
		choice.Import = spare(c, sources, r)
	}
	return choice
}

// spare returns a store of the candidate's own region that holds blocks of the
// prompt. The engine imports only what it lacks, so naming it costs nothing if
// the hint of what the engine holds is right, and saves a recompute if not.
func spare(c Candidate, sources []Source, r Rates) *Source {
	for i := range sources {
		s := &sources[i]
		tokens := s.Blocks * blockTokens
		cheap := transfer(int64(tokens)*r.BytesPerToken, s.Bandwidth) < recompute(tokens, r)
		if s.Region == c.Region && s.Blocks > 0 && cheap {
			return s
		}
	}
	return nil
}

func imported(p Prompt, c Candidate, s *Source, r Rates) (Choice, bool) {
	blocks := min(s.Blocks, p.Blocks)
	if blocks <= c.Cached {
		return Choice{}, false
	}
	bytes := int64(blocks-c.Cached) * blockTokens * r.BytesPerToken
	cost := transfer(bytes, s.Bandwidth)
	choice := Choice{Endpoint: c.Endpoint, Import: s}
	if s.Region != c.Region {
		if bytes > s.LinkBytes {
			return Choice{}, false
		}
		cost += transfer(bytes, s.LinkRate) + 2*r.RegionLatency
		cost += price(bytes, r)
		choice.LinkBytes = bytes
	}
	choice.Cost = cost + recompute(p.Tokens-blocks*blockTokens, r)
	choice.Prefill = choice.Cost
	return choice, true
}

func recompute(tokens int, r Rates) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration(int64(tokens) * int64(time.Second) / r.PrefillTokens)
}

// price returns what bytes on the inter-region link cost.
func price(bytes int64, r Rates) time.Duration {
	return time.Duration(float64(r.LinkPrice) * float64(bytes) / megabyte)
}

func transfer(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

const megabyte = 1 << 20
