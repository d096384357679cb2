package zpplace_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

var (
	start          = time.Unix(1000, 0)
	longPrompt     = zpplace.Request{Domain: "a", Region: "n", PromptTokens: 12_000, SharedTokens: 9_000, OutputTokens: 400}
	serviceRequest = zpplace.Request{Domain: "a", Region: "n"}
)

func localCandidate(id string) zpplace.Candidate {
	return zpplace.Candidate{ID: id, Domain: "a", Region: "n", Slots: 6, MemoryTokens: 78_000}
}

func expectBest(a zpplace.Request, want string, candidates ...zpplace.Candidate) {
	GinkgoHelper()
	i, _ := zpplace.Best(a, candidates, zpplace.DefaultRates())
	Expect(candidates[i].ID).To(Equal(want))
}

var _ = Describe("Best", func() {
	It("returns -1 when there are no candidates", func() {
		i, _ := zpplace.Best(longPrompt, nil, zpplace.DefaultRates())
		Expect(i).To(Equal(-1))
	})

	DescribeTable("prefers", func(a zpplace.Request, better, worse func(c *zpplace.Candidate)) {
		x, y := localCandidate("better"), localCandidate("worse")
		better(&x)
		worse(&y)
		expectBest(a, "better", y, x)
	},
		Entry("an engine with the prompt in its cache", longPrompt, func(c *zpplace.Candidate) { c.CachedTokens = 9_000 }, unchanged),
		Entry("a fast KV cache fetch over prefilling the prompt again", longPrompt,
			func(c *zpplace.Candidate) { c.FetchTokens, c.FetchTime = 9_000, 60*time.Millisecond }, unchanged),
		Entry("an idle engine over a loaded one", longPrompt, unchanged, func(c *zpplace.Candidate) { c.Use = zpusage.Usage{Requests: 4, PrefillTokens: 9_000} }),
		Entry("another engine over a heavily loaded one with the prompt in its cache", longPrompt,
			func(c *zpplace.Candidate) { c.FetchTokens, c.FetchTime = 9_000, 60*time.Millisecond },
			func(c *zpplace.Candidate) {
				c.CachedTokens, c.Use = 9_000, zpusage.Usage{Requests: 5, PrefillTokens: 30_000}
			}),
		Entry("an endpoint in the daemon's failure domain", serviceRequest, unchanged, func(c *zpplace.Candidate) { c.Domain = "b" }),
		Entry("another failure domain over a full replica", serviceRequest, func(c *zpplace.Candidate) { c.Domain = "b" },
			func(c *zpplace.Candidate) { c.Use.Requests = 12 }),
		Entry("a distant endpoint over one that failed recently", serviceRequest, func(c *zpplace.Candidate) { c.Domain, c.Region = "c", "s" }, func(c *zpplace.Candidate) { c.Suspect = true }),
		Entry("a warm engine", longPrompt, unchanged, func(c *zpplace.Candidate) { c.Cold = true }),
		Entry("an engine as fast as usual", longPrompt, unchanged, func(c *zpplace.Candidate) { c.Slowness = 2.5 }),
		Entry("a loaded engine over a slow one with the same load", longPrompt, func(c *zpplace.Candidate) { c.Use.PrefillTokens = 9_000 },
			func(c *zpplace.Candidate) { c.Use.PrefillTokens, c.Slowness = 9_000, 2.5 }),
		Entry("a slow engine over one whose queue takes longer", longPrompt, func(c *zpplace.Candidate) { c.Slowness = 2.5 },
			func(c *zpplace.Candidate) { c.Use = zpusage.Usage{Requests: 3, PrefillTokens: 30_000} }),
		Entry("a replica as fast as usual", serviceRequest, unchanged, func(c *zpplace.Candidate) { c.Slowness = 2.5 }),
		Entry("a slow idle replica over a full one", serviceRequest, func(c *zpplace.Candidate) { c.Slowness = 2.5 }, func(c *zpplace.Candidate) { c.Use.Requests = 11 }),
		Entry("the target weight version", longPrompt, unchanged, func(c *zpplace.Candidate) { c.OldWeights = true }),
	)
})

func unchanged(*zpplace.Candidate) {}

var _ = Describe("HasCapacity", func() {
	waiting := longPrompt
	waiting.MaxBacklog = 350 * time.Millisecond

	It("keeps the slots of a slow replica in use, with fewer requests waiting", func() {
		c := localCandidate("e")
		c.Slowness = 1.5
		c.Use.Requests = 7
		Expect(zpplace.HasCapacity(serviceRequest, c, zpplace.DefaultRates())).To(BeTrue())
		c.Use.Requests = 8
		Expect(zpplace.HasCapacity(serviceRequest, c, zpplace.DefaultRates())).To(BeFalse())
		c.Slowness, c.Use.Requests = 10, 5
		Expect(zpplace.HasCapacity(serviceRequest, c, zpplace.DefaultRates())).To(BeTrue())
	})

	It("counts the queued prompts of a slow engine with their longer time", func() {
		c := localCandidate("e")
		c.Use = zpusage.Usage{Requests: 2, PrefillTokens: 10_000}
		Expect(zpplace.HasCapacity(waiting, c, zpplace.DefaultRates())).To(BeTrue())
		c.Slowness = 2.5
		Expect(zpplace.HasCapacity(waiting, c, zpplace.DefaultRates())).To(BeFalse())
	})

	DescribeTable("reports whether a candidate can start a request",
		func(a zpplace.Request, use zpusage.Usage, room bool) {
			c := localCandidate("e")
			c.Use = use
			Expect(zpplace.HasCapacity(a, c, zpplace.DefaultRates())).To(Equal(room))
		},
		Entry("an engine with enough free memory", waiting, zpusage.Usage{Requests: 4, MemoryTokens: 60_000}, true),
		Entry("an engine without enough free memory", waiting, zpusage.Usage{Requests: 5, MemoryTokens: 70_000}, false),
		Entry("an engine whose queued prompts exceed the backlog limit", waiting, zpusage.Usage{Requests: 2, PrefillTokens: 20_000}, false),
		Entry("an idle engine, even if the prompt exceeds its memory", zpplace.Request{PromptTokens: 90_000}, zpusage.Usage{}, true),
		Entry("a replica with a free slot", serviceRequest, zpusage.Usage{Requests: 5}, true),
		Entry("a full replica", serviceRequest, zpusage.Usage{Requests: 12}, false),
	)
})

var _ = Describe("ColdLimiter", func() {
	names := func(n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("d%d", i))
		}
		return out
	}

	It("keeps the total rate of all daemons within the limit of a cold endpoint", func() {
		const perSecond, bound = 7.7, 7.7*1.5 + 5
		daemons := names(40)
		var sent []time.Time
		for _, d := range daemons {
			g := &zpplace.ColdLimiter{Self: d}
			for ms := 0; ms < 5000; ms += 10 {
				if now := start.Add(time.Duration(ms) * time.Millisecond); g.Allow("e", perSecond, daemons, now) {
					sent = append(sent, now)
				}
			}
		}
		for _, from := range sent {
			n := 0
			for _, s := range sent {
				if !s.Before(from) && s.Sub(from) < time.Second {
					n++
				}
			}
			Expect(float64(n)).To(BeNumerically("<=", bound))
		}
		Expect(sent).NotTo(BeEmpty())
	})

	It("exceeds the limit by at most one request when a new daemon knows no others", func() {
		daemons := names(8)
		allowed := 0
		for _, d := range append(daemons, "new") {
			g := &zpplace.ColdLimiter{Self: d}
			known := daemons
			if d == "new" {
				known = []string{"new"}
			}
			if g.Allow("e", 7.7, known, start) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<=", 8))
	})

	It("allows every request when there is no limit", func() {
		g := &zpplace.ColdLimiter{Self: "d"}
		Expect(g.Allow("e", 0, nil, start)).To(BeTrue())
		Expect(g.Allow("e", 0, nil, start)).To(BeTrue())
	})
})

var _ = Describe("Preference", func() {
	It("spreads daemons with the same view over equal engines", func() {
		chosen := map[string]int{}
		for d := range 90 {
			var engines []zpplace.Candidate
			for i := range 9 {
				c := localCandidate(fmt.Sprint("e", i))
				c.Preference = zpplace.Preference(fmt.Sprint("d", d), c.ID)
				Expect(c.Preference).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)))
				engines = append(engines, c)
			}
			i, _ := zpplace.Best(longPrompt, engines, zpplace.DefaultRates())
			chosen[engines[i].ID]++
		}
		Expect(chosen).To(HaveLen(9))
		for _, n := range chosen {
			Expect(n).To(BeNumerically("<=", 20))
		}
	})

	It("matters less than a few queued prompts", func() {
		x, y := localCandidate("preferred"), localCandidate("idle")
		x.Preference, x.Use = 1, zpusage.Usage{Requests: 1, PrefillTokens: 4_000}
		expectBest(longPrompt, "idle", x, y)
	})
})

var _ = Describe("RendezvousFirst", func() {
	It("reassigns only the keys of a removed member", func() {
		all, fewer := []string{"a", "b", "c", "d"}, []string{"a", "b", "d"}
		for i := range 200 {
			key := fmt.Sprint(i)
			if owner := zpplace.RendezvousFirst(key, all); owner != "c" {
				Expect(zpplace.RendezvousFirst(key, fewer)).To(Equal(owner))
			}
		}
	})
})
