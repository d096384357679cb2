package zpusage_test

import (
	"math"
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

	DescribeTable("weighs the reports of peers by their age",
		func(ageMS, requests, prefill int) {
			t := zpusage.NewTracker(2 * time.Second)
			t.SetPeer("p", map[string]zpusage.Usage{"e": {Requests: 10, PrefillTokens: 10_000, MemoryTokens: 50_000}}, start)
			t.Begin("e", 100, 200)
			u := t.Believed("e", start.Add(time.Duration(ageMS)*time.Millisecond))
			Expect(u.Requests).To(Equal(1 + requests))
			Expect(u.PrefillTokens).To(BeNumerically("~", 100+prefill, 1))
			Expect(u.MemoryTokens).To(Equal(200 + 50_000))
		},
		Entry("fresh", 0, 10, 10_000),
		Entry("after 100 ms", 100, 4, 3_678),
		Entry("after 300 ms", 300, 0, 497),
		Entry("after a second", 1000, 0, 0),
	)

	It("counts each report with its own age, also after hours, and nothing once it is replaced", func() {
		t := zpusage.NewTracker(2 * time.Second)
		now := start
		for range 20_000 {
			now = now.Add(500 * time.Millisecond)
			t.SetPeer("p", map[string]zpusage.Usage{"e": {PrefillTokens: 1000}}, now)
			t.SetPeer("q", map[string]zpusage.Usage{"e": {PrefillTokens: 500}}, now.Add(50*time.Millisecond))
		}
		now = now.Add(100 * time.Millisecond)
		Expect(t.Believed("e", now).PrefillTokens).To(BeNumerically("~", 1000*math.Exp(-1)+500*math.Exp(-0.5), 1))
		Expect(t.Total("e", now).PrefillTokens).To(Equal(1500))
		t.SetPeer("p", nil, now)
		t.SetPeer("q", nil, now)
		Expect(t.Believed("e", now)).To(Equal(zpusage.Usage{}))
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
