// Package zpload generates load that resembles the traffic of the two deployments,
// sends it to a site, and reports the results as clients see them.
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

	// Share describes one kind of request and its share of the traffic.
	Share struct {
		Name             string
		Percent          int
		Tier             string // service_tier of the request
		Service          string // pool of a plain service; "" for a chat completion
		PromptTokens     [2]int // minimum and maximum
		AnswerTokens     int
		Conversations    int // conversations per workspace; 0: every prompt is new
		TokensPerTurn    int // tokens that each further turn adds to a conversation
		DuplicatePercent int // percentage of requests sent twice concurrently
	}

	// Request is one planned request.
	Request struct {
		Share     *Share
		Workspace string
		Text      string // the prompt, or the request body for a service
		Key       string // Idempotency-Key
		Duplicate bool   // sent twice concurrently
	}

	// Planner generates a reproducible sequence of requests from a seed.
	Planner struct {
		Mix    Mix
		random *rand.Rand
		turns  map[string]int
		count  int
	}
)

const bytesPerToken = 4

// Oberland returns the traffic mix of the repair co-op.
func Oberland() Mix {
	return Mix{
		Name: "oberland", Model: "assistant",
		Workspaces: []string{"shop-a", "shop-b", "shop-c", "shop-d"},
		Shares: []Share{
			{Name: "triage", Percent: 55, Tier: "priority", PromptTokens: [2]int{40, 120}, AnswerTokens: 12},
			{Name: "quote", Percent: 25, Tier: "flex", PromptTokens: [2]int{1500, 4000}, AnswerTokens: 40, Conversations: 20, TokensPerTurn: 100},
			{Name: "booking", Percent: 12, Service: "bookings", DuplicatePercent: 20},
			{Name: "deposit", Percent: 8, Service: "bookings", DuplicatePercent: 20},
		},
	}
}

// Etikettwerk returns the traffic mix of the label software firm.
func Etikettwerk() Mix {
	return Mix{
		Name: "etikettwerk", Model: "assistant",
		Workspaces: []string{"shop-a", "shop-b", "shop-c", "shop-d"},
		Shares: []Share{
			{Name: "tag", Percent: 55, Tier: "priority", PromptTokens: [2]int{30, 80}, AnswerTokens: 8},
			{Name: "layout", Percent: 30, Tier: "flex", PromptTokens: [2]int{3000, 6000}, AnswerTokens: 40, Conversations: 8, TokensPerTurn: 60},
			{Name: "order", Percent: 15, Service: "bookings", DuplicatePercent: 20},
		},
	}
}

// MixByName returns the mix with the given name.
func MixByName(name string) (Mix, error) {
	for _, m := range []Mix{Oberland(), Etikettwerk()} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, fmt.Errorf("unknown mix %q; remedy: use oberland or etikettwerk", name)
}

// NewPlanner returns a planner. Equal mixes and seeds give equal requests.
func NewPlanner(m Mix, seed uint64) *Planner {
	return &Planner{Mix: m, random: rand.New(rand.NewPCG(seed, 1)), turns: map[string]int{}}
}

// Next returns the next request of the sequence. It isn't safe for concurrent use.
func (p *Planner) Next() Request {
	p.count++
	s := p.share()
	r := Request{Share: s, Workspace: p.Mix.Workspaces[p.random.IntN(len(p.Mix.Workspaces))]}
	if s.Service != "" {
		r.Key = fmt.Sprintf("%s-%d", s.Name, p.count)
		r.Text = fmt.Sprintf(`{"kind":%q,"number":%d}`, s.Name, p.count)
		r.Duplicate = p.random.IntN(100) < s.DuplicatePercent
		return r
	}
	r.Text = p.prompt(s, r.Workspace)
	return r
}

// Wait returns the seconds until the next arrival of a Poisson process with the
// given rate in arrivals per second.
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

// prompt returns a new prompt, or the next turn of a random conversation.
func (p *Planner) prompt(s *Share, workspace string) string {
	spread := s.PromptTokens[1] - s.PromptTokens[0]
	if s.Conversations == 0 {
		tokens := s.PromptTokens[0] + p.random.IntN(spread+1)
		return growingText(fmt.Sprintf("%s/%d", workspace, p.count), tokens)
	}
	number := p.random.IntN(s.Conversations)
	name := fmt.Sprintf("%s/%s/%d", workspace, s.Name, number)
	turn := p.turns[name]
	p.turns[name]++
	// The base length depends only on the conversation, so that each turn has the
	// previous one as its prefix.
	base := s.PromptTokens[0] + number*spread/s.Conversations
	return growingText(name, base+turn*s.TokensPerTurn)
}

// growingText returns a text of the given number of tokens. For the same name, a
// shorter text is a prefix of every longer one.
func growingText(name string, tokens int) string {
	var b strings.Builder
	for i := 0; b.Len() < tokens*bytesPerToken; i++ {
		fmt.Fprintf(&b, "%s entry %d; ", name, i)
	}
	return b.String()[:tokens*bytesPerToken]
}
