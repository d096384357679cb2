package zproute_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zproute"
)

var rates = zproute.Rates{
	PrefillTokensPerSecond: 4000, BytesPerToken: 512, LinkCostPerMB: 200 * time.Millisecond, RegionLatency: 20 * time.Millisecond,
}

func freeQuote(limit int) zpadmission.Quote {
	return zpadmission.Quote{Limit: limit, Service: 500 * time.Millisecond}
}

func fullQuote(waiting int) zpadmission.Quote {
	return zpadmission.Quote{Limit: 8, Running: 8, WaitingUrgent: waiting, Service: 500 * time.Millisecond}
}

// prompt is a conversation of 4000 tokens.
var prompt = zproute.Prompt{Tokens: 4000, Blocks: 62, Region: "north"}

func cheapest(candidates []zproute.Candidate, sources []zproute.Source) zproute.Choice {
	GinkgoHelper()
	out := zproute.Rank(prompt, candidates, sources, rates)
	Expect(out).NotTo(BeEmpty())
	return out[0]
}

var _ = Describe("Rank", func() {
	local := func(name string, cached int, q zpadmission.Quote) zproute.Candidate {
		return zproute.Candidate{Endpoint: name, Region: "north", Quote: q, CachedBlocks: cached}
	}
	remote := func(name string, cached int, q zpadmission.Quote) zproute.Candidate {
		return zproute.Candidate{Endpoint: name, Region: "south", Quote: q, CachedBlocks: cached}
	}

	DescribeTable("chooses the cheapest endpoint",
		func(a, b zproute.Candidate) {
			Expect(cheapest([]zproute.Candidate{b, a}, nil).Endpoint).To(Equal(a.Endpoint))
		},
		Entry("with cached blocks", local("a", 60, freeQuote(8)), local("b", 0, freeQuote(8))),
		Entry("with cached blocks in another region", remote("a", 60, freeQuote(8)), local("b", 0, freeQuote(8))),
		Entry("in the same region, with equal cached blocks", local("a", 60, freeQuote(8)), remote("b", 60, freeQuote(8))),
		Entry("with free slots, when the one with cached blocks has a long queue", local("a", 0, freeQuote(8)), local("b", 60, fullQuote(40))),
		Entry("with cached blocks and a short queue", local("a", 60, fullQuote(1)), local("b", 0, freeQuote(8))),
		Entry("with the shorter prefill backlog", local("a", 0, freeQuote(8)), local("b", 0, zpadmission.Quote{Limit: 8, Backlog: 400 * time.Millisecond})),
		Entry("warm", local("a", 0, freeQuote(8)), local("b", 0, zpadmission.Quote{Limit: 2, Cold: true})),
		Entry("with a limit above zero", local("a", 0, freeQuote(8)), local("b", 0, zpadmission.Quote{})),
	)

	DescribeTable("imports blocks if that is cheaper than prefill",
		func(s zproute.Source, imports bool) {
			c := cheapest([]zproute.Candidate{local("a", 0, freeQuote(8))}, []zproute.Source{s})
			Expect(c.Import != nil).To(Equal(imports))
		},
		Entry("from a store in the same region", zproute.Source{Store: "s", Region: "north", Blocks: 60, BytesPerSecond: 200 << 20}, true),
		Entry("not from a slow store", zproute.Source{Store: "s", Region: "north", Blocks: 60, BytesPerSecond: 1 << 20}, false),
		Entry("not from another region without link budget", zproute.Source{Store: "s", Region: "south", Blocks: 60, BytesPerSecond: 200 << 20, LinkBytesPerSecond: 3_750_000}, false),
		Entry("from another region within the link budget", zproute.Source{
			Store: "s", Region: "south", Blocks: 60, BytesPerSecond: 200 << 20, LinkBytesPerSecond: 3_750_000, LinkBudget: 3_750_000,
		}, true),
		Entry("not from a store without blocks", zproute.Source{Store: "s", Region: "north", Blocks: 0, BytesPerSecond: 200 << 20}, false),
	)

	It("names a store in the same region even if the blocks are probably cached", func() {
		s := zproute.Source{Store: "s", Region: "north", Blocks: 60, BytesPerSecond: 200 << 20}
		Expect(cheapest([]zproute.Candidate{local("a", 60, freeQuote(8))}, []zproute.Source{s}).Import).NotTo(BeNil())
		s.Region = "south"
		Expect(cheapest([]zproute.Candidate{local("a", 60, freeQuote(8))}, []zproute.Source{s}).Import).To(BeNil())
	})

	It("reports the bytes that cross the inter-region link", func() {
		s := zproute.Source{Store: "s", Region: "south", Blocks: 60, BytesPerSecond: 200 << 20, LinkBytesPerSecond: 3_750_000, LinkBudget: 3_750_000}
		Expect(cheapest([]zproute.Candidate{local("a", 0, freeQuote(8))}, []zproute.Source{s}).LinkBytes).To(BeEquivalentTo(60 * 64 * 512))
	})

	It("avoids another region when the link is expensive", func() {
		expensive, large := rates, prompt
		expensive.LinkCostPerMB, large.TransferBytes = 100*time.Second, 16000
		candidates := []zproute.Candidate{remote("a", 60, freeQuote(8)), local("b", 0, freeQuote(8))}
		Expect(zproute.Rank(large, candidates, nil, rates)[0].Endpoint).To(Equal("a"))
		Expect(zproute.Rank(large, candidates, nil, expensive)[0].Endpoint).To(Equal("b"))
	})

	It("avoids an import from another region when the link is expensive", func() {
		expensive := rates
		expensive.LinkCostPerMB = time.Second
		s := zproute.Source{Store: "s", Region: "south", Blocks: 60, BytesPerSecond: 200 << 20, LinkBytesPerSecond: 3_750_000, LinkBudget: 3_750_000}
		out := zproute.Rank(prompt, []zproute.Candidate{local("a", 0, freeQuote(8))}, []zproute.Source{s}, expensive)
		Expect(out[0].Import).To(BeNil())
	})
})

var _ = Describe("PickTargets", func() {
	var places []zproute.Target
	for i := range 12 {
		places = append(places, zproute.Target{Endpoint: fmt.Sprintf("e%d", i), Region: []string{"north", "south"}[i/8]})
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

	It("returns hinted endpoints first and skips unknown ones", func() {
		out := zproute.PickTargets(places, []string{"e9", "gone"}, "k", "north", 3, nil, random())
		Expect(out[0]).To(Equal("e9"))
		Expect(out).NotTo(ContainElement("gone"))
	})

	It("returns the same endpoints for the same key, so that its blocks stay on them", func() {
		a := zproute.PickTargets(places, nil, "k", "north", 3, nil, random())
		b := zproute.PickTargets(places, nil, "k", "north", 3, nil, random())
		Expect(a).To(Equal(b))
	})

	It("skips tried endpoints until all have been tried", func() {
		tried := map[string]bool{}
		for _, p := range places[:11] {
			tried[p.Endpoint] = true
		}
		Expect(zproute.PickTargets(places, nil, "k", "north", 3, tried, random())).To(ConsistOf("e11"))
		tried["e11"] = true
		Expect(zproute.PickTargets(places, nil, "k", "north", 3, tried, random())).NotTo(BeEmpty())
	})

	It("spreads different keys over the endpoints", func() {
		counts := map[string]int{}
		for i := range 800 {
			counts[zproute.PickTargets(places, nil, fmt.Sprintf("k%d", i), "north", 3, nil, random())[0]]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 200))
		}
	})

	It("returns nothing without endpoints", func() {
		Expect(zproute.PickTargets(nil, nil, "k", "north", 3, nil, random())).To(BeEmpty())
	})
})
