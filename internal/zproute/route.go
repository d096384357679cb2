// Package zproute ranks the endpoints for a prompt by estimated cost, expressed
// as a duration: queueing, prefill or import of the context, latency to another
// region, and a price for bytes on the inter-region link.
package zproute

import (
	"sort"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

type (
	// Rates are the parameters of the cost model.
	Rates struct {
		PrefillTokensPerSecond int64         // tokens prefilled per second
		BytesPerToken          int64         // size of the KV cache
		LinkCostPerMB          time.Duration // price of a megabyte on the inter-region link
		RegionLatency          time.Duration // one-way latency to another region
	}

	// Prompt holds the properties of a request that routing depends on.
	Prompt struct {
		Tokens        int
		Blocks        int // number of whole blocks
		TransferBytes int // size of the request and its expected response
		Urgent        bool
		Region        string // of the daemon
	}

	// Candidate is an endpoint that may run the prompt.
	Candidate struct {
		Endpoint     string
		Region       string
		Quote        zpadmission.Quote
		CachedBlocks int // leading blocks that the endpoint probably has cached
	}

	// Source is a store from which blocks can be imported.
	Source struct {
		Store              string
		Region             string
		Blocks             int
		Generation         int64
		BytesPerSecond     int64 // from the store to an engine in its own region
		LinkBudget         int64 // bytes that may cross the inter-region link now, 0 for none
		LinkBytesPerSecond int64 // bandwidth of the inter-region link
	}

	// Choice is an option for running the prompt.
	Choice struct {
		Endpoint  string
		Import    *Source // nil if missing blocks are recomputed
		Cost      time.Duration
		Prefill   time.Duration // share of the cost for computing or importing the context
		LinkBytes int64
	}
)

const (
	tokensPerBlock = 64
	// coldPenalty is the additional service time of a request on a cold endpoint.
	coldPenalty = 2 * time.Second
	// busyPenalty is added when no slot is free, so that requests spread over
	// endpoints with equal waits.
	busyPenalty = 5 * time.Millisecond
)

// Rank returns the cheapest choice for each candidate, cheapest first.
func Rank(p Prompt, candidates []Candidate, sources []Source, r Rates) []Choice {
	var out []Choice
	for _, c := range candidates {
		out = append(out, cheapestChoice(p, c, sources, r))
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Cost < out[j].Cost })
	return out
}

// RankByLoad ranks the candidates by load alone. It is the baseline to which
// benchmarks compare Rank.
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

// EstimateWait estimates how long a request would wait in an endpoint's queue.
// Requests that aren't urgent may use three quarters of the slots.
func EstimateWait(q zpadmission.Quote, urgent bool) time.Duration {
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

func cheapestChoice(p Prompt, c Candidate, sources []Source, r Rates) Choice {
	base := EstimateWait(c.Quote, p.Urgent) + c.Quote.Backlog
	if c.Quote.Cold {
		base += coldPenalty
	}
	if c.Region != p.Region {
		base += 2*r.RegionLatency + linkCost(int64(p.TransferBytes), r)
	}
	missing := p.Tokens - min(c.CachedBlocks, p.Blocks)*tokensPerBlock
	choice := Choice{Endpoint: c.Endpoint, Cost: base + prefillTime(missing, r), Prefill: prefillTime(missing, r)}
	for i := range sources {
		option, ok := importChoice(p, c, &sources[i], r)
		if ok && base+option.Cost < choice.Cost {
			option.Cost += base
			choice = option
		}
	}
	if choice.Import == nil {
		choice.Import = fallbackSource(c, sources, r)
	}
	return choice
}

// fallbackSource returns a store in the candidate's region that holds blocks of
// the prompt. The engine imports only missing blocks, so naming the store costs
// nothing if the blocks are cached as expected, and saves a prefill if not.
func fallbackSource(c Candidate, sources []Source, r Rates) *Source {
	for i := range sources {
		s := &sources[i]
		tokens := s.Blocks * tokensPerBlock
		cheap := transferTime(int64(tokens)*r.BytesPerToken, s.BytesPerSecond) < prefillTime(tokens, r)
		if s.Region == c.Region && s.Blocks > 0 && cheap {
			return s
		}
	}
	return nil
}

// importChoice returns the choice of importing blocks from the store, without the
// candidate's base cost. It returns false if the store has no more blocks than
// the candidate, or if the import exceeds the budget of the inter-region link.
func importChoice(p Prompt, c Candidate, s *Source, r Rates) (Choice, bool) {
	blocks := min(s.Blocks, p.Blocks)
	if blocks <= c.CachedBlocks {
		return Choice{}, false
	}
	bytes := int64(blocks-c.CachedBlocks) * tokensPerBlock * r.BytesPerToken
	cost := transferTime(bytes, s.BytesPerSecond)
	choice := Choice{Endpoint: c.Endpoint, Import: s}
	if s.Region != c.Region {
		if bytes > s.LinkBudget {
			return Choice{}, false
		}
		cost += transferTime(bytes, s.LinkBytesPerSecond) + 2*r.RegionLatency
		cost += linkCost(bytes, r)
		choice.LinkBytes = bytes
	}
	choice.Cost = cost + prefillTime(p.Tokens-blocks*tokensPerBlock, r)
	choice.Prefill = choice.Cost
	return choice, true
}

func prefillTime(tokens int, r Rates) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration(int64(tokens) * int64(time.Second) / r.PrefillTokensPerSecond)
}

// linkCost returns the price of sending bytes over the inter-region link.
func linkCost(bytes int64, r Rates) time.Duration {
	return time.Duration(float64(r.LinkCostPerMB) * float64(bytes) / bytesPerMB)
}

func transferTime(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

const bytesPerMB = 1 << 20
