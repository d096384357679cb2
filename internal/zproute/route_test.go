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
	PrefillTokens: 4000, BytesPerToken: 512, LinkPrice: 200 * time.Millisecond, RegionLatency: 20 * time.Millisecond,
}

func free(limit int) zpadmission.Quote {
	return zpadmission.Quote{Limit: limit, Service: 500 * time.Millisecond}
}

func full(waiting int) zpadmission.Quote {
	return zpadmission.Quote{Limit: 8, Running: 8, WaitingUrgent: waiting, Service: 500 * time.Millisecond}
}

// prompt is a history of 4000 tokens.
var prompt = zproute.Prompt{Tokens: 4000, Blocks: 62, Region: "north"}

func first(candidates []zproute.Candidate, sources []zproute.Source) zproute.Choice {
	GinkgoHelper()
	out := zproute.Rank(prompt, candidates, sources, rates)
	Expect(out).NotTo(BeEmpty())
	return out[0]
}

var _ = Describe("Rank", func() {
	near := func(name string, cached int, q zpadmission.Quote) zproute.Candidate {
		return zproute.Candidate{Endpoint: name, Region: "north", Quote: q, Cached: cached}
	}
	far := func(name string, cached int, q zpadmission.Quote) zproute.Candidate {
		return zproute.Candidate{Endpoint: name, Region: "south", Quote: q, Cached: cached}
	}

	DescribeTable("chooses the cheapest endpoint",
		func(a, b zproute.Candidate) {
			Expect(first([]zproute.Candidate{b, a}, nil).Endpoint).To(Equal(a.Endpoint))
		},
		Entry("with the blocks", near("a", 60, free(8)), near("b", 0, free(8))),
		Entry("with the blocks, though far", far("a", 60, free(8)), near("b", 0, free(8))),
		Entry("near, with equal blocks", near("a", 60, free(8)), far("b", 60, free(8))),
		Entry("free, when the one with the blocks has a long queue", near("a", 0, free(8)), near("b", 60, full(40))),
		Entry("with the blocks, though it must wait a little", near("a", 60, full(1)), near("b", 0, free(8))),
		Entry("with the shorter backlog of contexts", near("a", 0, free(8)), near("b", 0, zpadmission.Quote{Limit: 8, Backlog: 400 * time.Millisecond})),
		Entry("warm", near("a", 0, free(8)), near("b", 0, zpadmission.Quote{Limit: 2, Cold: true})),
		Entry("that grants anything", near("a", 0, free(8)), near("b", 0, zpadmission.Quote{})),
	)

	DescribeTable("imports where that is cheaper",
		func(s zproute.Source, imports bool) {
			c := first([]zproute.Candidate{near("a", 0, free(8))}, []zproute.Source{s})
			Expect(c.Import != nil).To(Equal(imports))
		},
		Entry("from a store of the region", zproute.Source{Store: "s", Region: "north", Blocks: 60, Bandwidth: 200 << 20}, true),
		Entry("not over a slow store", zproute.Source{Store: "s", Region: "north", Blocks: 60, Bandwidth: 1 << 20}, false),
		Entry("not what the link does not grant", zproute.Source{Store: "s", Region: "south", Blocks: 60, Bandwidth: 200 << 20, LinkRate: 3_750_000}, false),
		Entry("over the link when it grants", zproute.Source{
			Store: "s", Region: "south", Blocks: 60, Bandwidth: 200 << 20, LinkRate: 3_750_000, LinkBytes: 3_750_000,
		}, true),
		Entry("nothing that is cached", zproute.Source{Store: "s", Region: "north", Blocks: 0, Bandwidth: 200 << 20}, false),
	)

	It("names a near store also when the engine is thought to hold the blocks", func() {
		s := zproute.Source{Store: "s", Region: "north", Blocks: 60, Bandwidth: 200 << 20}
		Expect(first([]zproute.Candidate{near("a", 60, free(8))}, []zproute.Source{s}).Import).NotTo(BeNil())
		s.Region = "south"
		Expect(first([]zproute.Candidate{near("a", 60, free(8))}, []zproute.Source{s}).Import).To(BeNil())
	})

	It("gives the bytes that cross the link", func() {
		s := zproute.Source{Store: "s", Region: "south", Blocks: 60, Bandwidth: 200 << 20, LinkRate: 3_750_000, LinkBytes: 3_750_000}
		Expect(first([]zproute.Candidate{near("a", 0, free(8))}, []zproute.Source{s}).LinkBytes).To(BeEquivalentTo(60 * 64 * 512))
	})

	It("lets the price of the link decide against sending the prompt across", func() {
		dear, long := rates, prompt
		dear.LinkPrice, long.Bytes = 100*time.Second, 16000
		candidates := []zproute.Candidate{far("a", 60, free(8)), near("b", 0, free(8))}
		Expect(zproute.Rank(long, candidates, nil, rates)[0].Endpoint).To(Equal("a"))
		Expect(zproute.Rank(long, candidates, nil, dear)[0].Endpoint).To(Equal("b"))
	})

	It("lets the price of the link decide against an import", func() {
		dear := rates
		dear.LinkPrice = time.Second
		s := zproute.Source{Store: "s", Region: "south", Blocks: 60, Bandwidth: 200 << 20, LinkRate: 3_750_000, LinkBytes: 3_750_000}
		out := zproute.Rank(prompt, []zproute.Candidate{near("a", 0, free(8))}, []zproute.Source{s}, dear)
		Expect(out[0].Import).To(BeNil())
	})
})

var _ = Describe("Pick", func() {
	var places []zproute.Place
	for i := range 12 {
		places = append(places, zproute.Place{Endpoint: fmt.Sprintf("e%d", i), Region: []string{"north", "south"}[i/8]})
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

	It("asks the hinted endpoints first", func() {
		out := zproute.Pick(places, []string{"e9", "gone"}, "k", "north", 3, nil, random())
		Expect(out[0]).To(Equal("e9"))
		Expect(out).NotTo(ContainElement("gone"))
	})

	It("asks the same endpoints for the same key, so that blocks stay together", func() {
		a := zproute.Pick(places, nil, "k", "north", 3, nil, random())
		b := zproute.Pick(places, nil, "k", "north", 3, nil, random())
		Expect(a).To(Equal(b))
	})

	It("leaves out what was tried, as long as others remain", func() {
		tried := map[string]bool{}
		for _, p := range places[:11] {
			tried[p.Endpoint] = true
		}
		Expect(zproute.Pick(places, nil, "k", "north", 3, tried, random())).To(ConsistOf("e11"))
		tried["e11"] = true
		Expect(zproute.Pick(places, nil, "k", "north", 3, tried, random())).NotTo(BeEmpty())
	})

	It("spreads different keys", func() {
		counts := map[string]int{}
		for i := range 800 {
			counts[zproute.Pick(places, nil, fmt.Sprintf("k%d", i), "north", 3, nil, random())[0]]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("<", 200))
		}
	})

	It("has no endpoint to ask when there is none", func() {
		Expect(zproute.Pick(nil, nil, "k", "north", 3, nil, random())).To(BeEmpty())
	})
})
