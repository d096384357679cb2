package zpspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func says(percent int) zpspeed.Load {
	return zpspeed.Load{Running: 4, Waiting: 2, Slots: 6, Percent: percent}
}

func expectSlowness(t *zpspeed.Tracker, endpoint string, now time.Time, want float64) {
	GinkgoHelper()
	Expect(t.Slowness(endpoint, 1, now)).To(BeNumerically("~", want, 0.01))
}

var _ = Describe("Tracker", func() {
	It("believes a fresh word and returns to usual with its age", func() {
		t := zpspeed.NewTracker()
		Expect(t.Record("e", 1, says(250), start)).To(BeTrue())
		expectSlowness(t, "e", start, 2.5)
		expectSlowness(t, "e", at(500), 1+1.5/math.E)
		Expect(t.Slowness("e", 1, at(1000))).To(BeNumerically("<", 1.25))
		expectSlowness(t, "e", at(2001), 1)
	})

	It("counts what an endpoint has said it runs, and what was sent there since, for a short time", func() {
		t := zpspeed.NewTracker()
		t.Record("e", 1, says(100), start)
		t.RecordSent("e")
		t.RecordSent("unknown")
		Expect(t.Beliefs(start)["e"].Requests).To(Equal(7))
		Expect(t.Beliefs(at(150))["e"].Requests).To(Equal(4))
		Expect(t.Beliefs(at(300))["e"].Requests).To(BeZero())
		Expect(t.Beliefs(at(300))["e"].Age).To(Equal(300 * time.Millisecond))
	})

	DescribeTable("takes no belief from a word that says nothing of the speed",
		func(l zpspeed.Load) {
			t := zpspeed.NewTracker()
			Expect(t.Record("e", 1, l, start)).To(BeFalse())
			Expect(t.Beliefs(start)).To(BeEmpty())
		},
		Entry("three figures", zpspeed.Load{Running: 40, Waiting: 9, Slots: 6}),
		Entry("a negative speed", says(-250)),
		Entry("figures that are not understood", zpspeed.Load{IsBad: true, Percent: 250}),
	)

	It("bounds the effect of a single word", func() {
		t := zpspeed.NewTracker()
		t.Record("e", 1, says(100_000), start)
		expectSlowness(t, "e", start, 10)
	})

	// Guards against all daemons sending to the one endpoint that is faster than usual.
	It("takes an endpoint that is faster than usual for a usual one", func() {
		t := zpspeed.NewTracker()
		t.Record("e", 1, says(40), start)
		expectSlowness(t, "e", start, 1)
	})

	It("keeps words of an earlier run of an endpoint apart", func() {
		t := zpspeed.NewTracker()
		t.Record("e", 2, says(100), start)
		t.Record("e", 1, says(900), at(1))
		Expect(t.Slowness("e", 2, at(1))).To(Equal(1.0))
		t.Record("e", 2, says(250), at(2))
		expectSlowness(t, "e", at(2), 1)
		t.Forget("e")
		Expect(t.Beliefs(at(2))).To(BeEmpty())
	})

	It("is bounded, and has room again when words have lapsed", func() {
		t := zpspeed.NewTracker()
		for i := range 5000 {
			t.Record(fmt.Sprint(i), 1, says(250), start)
		}
		Expect(t.Beliefs(start)).To(HaveLen(4096))
		t.Record("late", 1, says(250), at(2500))
		Expect(t.Beliefs(at(2500))).To(HaveLen(1))
	})

	It("says once that an endpoint has become slow", func() {
		t := zpspeed.NewTracker()
		Expect(t.Record("e", 1, says(250), start)).To(BeTrue())
		Expect(t.Record("e", 1, says(260), at(10))).To(BeFalse())
		Expect(t.Slow(at(10))).To(Equal(1))
		Expect(t.Record("e", 1, says(100), at(20))).To(BeFalse())
		Expect(t.Slow(at(20))).To(BeZero())
		Expect(t.Record("e", 1, says(250), at(30))).To(BeTrue())
	})

	It("works with a clock that goes back", func() {
		t := zpspeed.NewTracker()
		t.Record("e", 1, says(250), at(1000))
		expectSlowness(t, "e", start, 2.5)
	})
})

var _ = Describe("Words of other daemons", func() {
	report := func(percent, ageMS int) zpspeed.Report {
		return zpspeed.Report{Endpoint: "e", StartedAtMS: 1, Percent: percent, Age: time.Duration(ageMS) * time.Millisecond}
	}

	It("count with their age", func() {
		t := zpspeed.NewTracker()
		t.MergeAll([]zpspeed.Report{report(250, 500)}, start)
		expectSlowness(t, "e", start, 1+1.5/math.E)
		Expect(t.Beliefs(start)["e"].Requests).To(BeZero())
	})

	It("do not replace a newer word", func() {
		t := zpspeed.NewTracker()
		t.Record("e", 1, says(100), start)
		t.MergeAll([]zpspeed.Report{report(250, 100)}, at(50))
		expectSlowness(t, "e", at(50), 1)
	})

	DescribeTable("are ignored", func(r zpspeed.Report) {
		t := zpspeed.NewTracker()
		t.MergeAll([]zpspeed.Report{r}, start)
		Expect(t.Beliefs(start)).To(BeEmpty())
	},
		Entry("if too old", report(250, 601)),
		Entry("if of the future", report(250, -1)),
		Entry("without speed", report(0, 0)),
		Entry("with a negative speed", report(-5, 0)),
	)

	It("are those that a daemon has heard itself, of endpoints that are or were slow", func() {
		t := zpspeed.NewTracker()
		t.Record("slow", 1, says(250), start)
		t.Record("usual", 1, says(100), start)
		t.MergeAll([]zpspeed.Report{report(250, 0)}, start)
		Expect(t.Reports(at(100))).To(ConsistOf(zpspeed.Report{Endpoint: "slow", StartedAtMS: 1, Percent: 250, Age: 100 * time.Millisecond}))
		t.Record("slow", 1, says(100), at(200))
		Expect(t.Reports(at(200))).To(ConsistOf(zpspeed.Report{Endpoint: "slow", StartedAtMS: 1, Percent: 100}))
		Expect(t.Reports(at(801))).To(BeEmpty())
	})

	It("are merged so that the newest of an endpoint stays", func() {
		list := zpspeed.Newest(nil, []zpspeed.Report{report(250, 100)}, 200*time.Millisecond)
		list = zpspeed.Newest(list, []zpspeed.Report{report(100, 50)}, 100*time.Millisecond)
		list = zpspeed.Newest(list, []zpspeed.Report{report(300, 400), report(900, 700)}, 0)
		Expect(list).To(Equal([]zpspeed.Report{report(100, 150)}))
		restarted := report(250, 500)
		restarted.StartedAtMS = 2
		Expect(zpspeed.Newest(list, []zpspeed.Report{restarted}, 0)).To(Equal([]zpspeed.Report{restarted}))
	})
})

var _ = Describe("The time for which a word holds", func() {
	// hear returns a tracker that has heard an endpoint for a minute. The endpoint is slow by
	// 2.5 for a mean of slowMS, one seventh of the time.
	hear := func(slowMS float64) *zpspeed.Tracker {
		rng := rand.New(rand.NewPCG(1, 2))
		t := zpspeed.NewTracker()
		isSlow, until := false, 0.0
		for ms := 0.0; ms < 600_000; ms += 50 + 100*rng.Float64() {
			for ms >= until {
				isSlow = !isSlow
				mean := slowMS
				if !isSlow {
					mean *= 6
				}
				until += mean * rng.ExpFloat64()
			}
			percent := 100
			if isSlow {
				percent = 250
			}
			t.Record("heard", 1, says(percent), at(int(ms)))
		}
		t.Record("e", 1, says(250), at(600_000))
		return t
	}
	DescribeTable("follows from what is seen", func(slowMS, low, high float64) {
		t := hear(slowMS)
		life := -0.3 / math.Log((t.Slowness("e", 1, at(600_300))-1)/1.5)
		Expect(life).To(And(BeNumerically(">", low), BeNumerically("<", high)))
	},
		// Both ways end: the rate is the sum of 1/slow and 1/(6 slow).
		Entry("for bursts of 0.6 s", 600.0, 0.40, 0.65),
		Entry("for short bursts", 150.0, 0.09, 0.2),
		Entry("for long ones", 3000.0, 1.5, 2.1),
	)
})
