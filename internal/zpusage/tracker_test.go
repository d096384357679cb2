package zpusage_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

var _ = Describe("Tracker", func() {
	start := time.Unix(1000, 0)

	It("counts a run until it ends and its prefill tokens until it has started", func() {
		t := zpusage.NewTracker(time.Second)
		r := t.Begin("e", 10, 20)
		Expect(t.Total("e", start)).To(Equal(zpusage.Usage{Requests: 1, PrefillTokens: 10, MemoryTokens: 20}))
		r.PrefillDone()
		r.PrefillDone()
		Expect(t.Total("e", start)).To(Equal(zpusage.Usage{Requests: 1, MemoryTokens: 20}))
		r.End()
		r.End()
		Expect(t.Total("e", start)).To(Equal(zpusage.Usage{}))
	})

	It("adds the reports of peers until they expire", func() {
		t := zpusage.NewTracker(time.Second)
		t.SetPeer("p", map[string]zpusage.Usage{"e": {Requests: 2}}, start)
		t.SetPeer("q", map[string]zpusage.Usage{"e": {Requests: 3}}, start)
		Expect(t.Total("e", start).Requests).To(Equal(5))
		t.SetPeer("q", nil, start.Add(time.Second))
		Expect(t.Total("e", start.Add(time.Second)).Requests).To(Equal(2))
		Expect(t.Total("e", start.Add(2*time.Second)).Requests).To(BeZero())
	})
})
