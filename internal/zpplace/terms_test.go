package zpplace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

var _ = Describe("Terms", func() {
	rates := zpplace.DefaultRates()
	names := func(list []zpplace.Term) []string {
		var out []string
		for _, t := range list {
			out = append(out, t.Name)
		}
		return out
	}

	DescribeTable("sum up to the cost",
		func(a zpplace.Request, c zpplace.Candidate, expected ...string) {
			list := zpplace.Terms(a, c, rates)
			sum := time.Duration(0)
			for _, t := range list {
				sum += t.Cost
			}
			Expect(sum).To(Equal(zpplace.Cost(a, c, rates)))
			Expect(names(list)).To(ConsistOf(expected))
		},
		Entry("an idle endpoint beside the daemon", zpplace.Request{Domain: "a", Region: "n"}, zpplace.Candidate{Domain: "a", Region: "n", Slots: 4}),
		Entry("a suspect endpoint elsewhere", zpplace.Request{Domain: "a", Region: "n"}, zpplace.Candidate{Domain: "b", Region: "m", Suspect: true, Slots: 4}, "distance", "suspect"),
		Entry("a slow engine that the daemon prefers", zpplace.Request{Domain: "a", Region: "n", PromptTokens: 1000, SharedTokens: 800},
			zpplace.Candidate{Domain: "a", Region: "n", Use: zpusage.Usage{Requests: 3, PrefillTokens: 500}, Slowness: 2.5, Preference: 0.5},
			"slow", "preference", "running", "queued_prompts", "own_prompt"),
		Entry("a busy engine", zpplace.Request{Domain: "a", Region: "n", PromptTokens: 1000, SharedTokens: 800},
			zpplace.Candidate{Domain: "a", Region: "n", Use: zpusage.Usage{Requests: 3, PrefillTokens: 500}, CachedTokens: 100, FetchTokens: 200, FetchTime: time.Millisecond, OldWeights: true, Preferred: true},
			"old_weights", "preferred", "running", "queued_prompts", "own_prompt"),
	)
})
