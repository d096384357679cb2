// Package zpload drives load like that of the two deployments against a site
// and reports what callers saw.
package zpload

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

type (
	// Mix describes the traffic of one deployment.
	Mix struct {
		Name       string
		Workspaces []string
		Model      string
		Shares     []Share
	}

	// Share is one kind of request with its part of the traffic.
	Share struct {
		Name          string
		Percent       int
		Tier          string // service_tier of the request
		Service       string // pool of a plain service, "" for a prompt
		PromptTokens  [2]int // least and most
		AnswerTokens  int
		Conversations int // how many prompts return, per workspace; 0: each is new
		GrowTokens    int // what a return adds
		TwicePercent  int // part that the caller sends twice at once
	}

	// Request is one request of the plan.
	Request struct {
		Share     *Share
		Workspace string
		Text      string // of the prompt, or the body for a service
		Key       string // Idempotency-Key
		Twice     bool
	}

	// Planner makes requests from a seed.
	Planner struct {
		Mix    Mix
		random *rand.Rand
		turns  map[string]int
		count  int
	}
)

const bytesPerToken = 4

// Oberland is the mix of the repair co-op.
func Oberland() Mix {
	return Mix{
		Name: "oberland", Model: "assistant",
		Workspaces: []string{"shop-a", "shop-b", "shop-c", "shop-d"},
		Shares: []Share{
			{Name: "triage", Percent: 55, Tier: "priority", PromptTokens: [2]int{40, 120}, AnswerTokens: 12},
			{Name: "quote", Percent: 25, Tier: "flex", PromptTokens: [2]int{1500, 4000}, AnswerTokens: 40, Conversations: 20, GrowTokens: 100},
			{Name: "booking", Percent: 12, Service: "bookings", TwicePercent: 20},
			{Name: "deposit", Percent: 8, Service: "bookings", TwicePercent: 20},
		},
	}
}

// Etikettwerk is the mix of the label software firm.
func Etikettwerk() Mix {
	return Mix{
		Name: "etikettwerk", Model: "assistant",
		Workspaces: []string{"shop-a", "shop-b", "shop-c", "shop-d"},
		Shares: []Share{
			{Name: "tag", Percent: 55, Tier: "priority", PromptTokens: [2]int{30, 80}, AnswerTokens: 8},
			{Name: "layout", Percent: 30, Tier: "flex", PromptTokens: [2]int{3000, 6000}, AnswerTokens: 40, Conversations: 8, GrowTokens: 60},
			{Name: "order", Percent: 15, Service: "bookings", TwicePercent: 20},
		},
	}
}

// MixByName returns a mix.
func MixByName(name string) (Mix, error) {
	for _, m := range []Mix{Oberland(), Etikettwerk()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q; remedy: use oberland or etikettwerk", name)
}

// NewPlanner returns a planner whose requests follow from the seed.
func NewPlanner(m Mix, seed uint64) *Planner {
	return &Planner{Mix: m, random: rand.New(rand.NewPCG(seed, 1)), turns: map[string]int{}}
}

// Next returns the next request.
func (p *Planner) Next() Request {
	p.count++
	s := p.share()
	r := Request{Share: s, Workspace: p.Mix.Workspaces[p.random.IntN(len(p.Mix.Workspaces))]}
	if s.Service != "" {
		r.Key = fmt.Sprintf("%s-%d", s.Name, p.count)
		r.Text = fmt.Sprintf(`{"kind":%q,"number":%d}`, s.Name, p.count)
		r.Twice = p.random.IntN(100) < s.TwicePercent
		return r
	}
	r.Text = p.prompt(s, r.Workspace)
	return r
}

// Wait returns the time to the next arrival in seconds, for a rate of arrivals
// a second.
func (p *Planner) Wait(rate float64) float64 { return p.random.ExpFloat64() / rate }

func (p *Planner) share() *Share {
	n := p.random.IntN(100)
	for i := range p.Mix.Shares {
		n -= p.Mix.Shares[i].Percent
		if n < 0 {
			return &p.Mix.Shares[i]
		}
	}
	return &p.Mix.Shares[0]
}

// prompt makes a new prompt, or the next turn of one that returns.
func (p *Planner) prompt(s *Share, workspace string) string {
	spread := s.PromptTokens[1] - s.PromptTokens[0]
	if s.Conversations == 0 {
		tokens := s.PromptTokens[0] + p.random.IntN(spread+1)
		return history(fmt.Sprintf("%s/%d", workspace, p.count), tokens)
	}
	number := p.random.IntN(s.Conversations)
	name := fmt.Sprintf("%s/%s/%d", workspace, s.Name, number)
	turn := p.turns[name]
	p.turns[name]++
	// The length is a property of the conversation, so that turns share their
	// prefix.
	base := s.PromptTokens[0] + number*spread/s.Conversations
	return history(name, base+turn*s.GrowTokens)
}

// history returns a text of so many tokens of which every prefix is the text
// of fewer tokens.
func history(name string, tokens int) string {
	var b strings.Builder
	for i := 0; b.Len() < tokens*bytesPerToken; i++ {
		fmt.Fprintf(&b, "%s entry %d; ", name, i)
	}
	return b.String()[:tokens*bytesPerToken]
}
