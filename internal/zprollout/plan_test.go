package zprollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
)

var start = time.Unix(1000, 0)

func engines(n int, weights int64) []zprollout.Engine {
	var out []zprollout.Engine
	for i := range n {
		out = append(out, zprollout.Engine{ID: fmt.Sprintf("e%02d", i), Model: "m", Weights: weights, Load: n - i})
	}
	return out
}

var _ = Describe("Pick", func() {
	targets := map[string]int64{"m": 2}

	It("selects the least loaded engines first", func() {
		selected := zprollout.Pick(engines(12, 1), targets, nil)
		Expect(selected).To(HaveLen(5))
		Expect(selected[0].ID).To(Equal("e11"))
	})

	DescribeTable("changes two fifths of a small pool at a time and a quarter of a large one",
		func(n, want int) { Expect(zprollout.Pick(engines(n, 1), targets, nil)).To(HaveLen(want)) },
		Entry("a large pool", 140, 35),
		Entry("a small pool", 12, 5),
		Entry("a pool at the minimum", 3, 2),
		Entry("one engine", 1, 1),
	)

	DescribeTable("orders all engines before their weights expire",
		func(n int, expiresIn time.Duration, want int) {
			list := engines(n, 1)
			for i := range list {
				list[i].ExpiresIn = expiresIn
			}
			Expect(zprollout.Pick(list, targets, nil)).To(HaveLen(want))
		},
		Entry("18 engines with time left", 18, 6*time.Second, 6),
		Entry("18 engines when half of the time has passed", 18, 3*time.Second, 9),
		Entry("18 engines just before the end", 18, time.Millisecond, 18),
		Entry("a small pool with much time", 12, 8*time.Second, 5),
		Entry("a large pool with much time", 140, 10*time.Second, 35),
	)

	It("selects engines with the oldest weights first", func() {
		list := append(engines(8, 2), zprollout.Engine{ID: "old", Model: "m", Weights: 1, Load: 99})
		Expect(zprollout.Pick(list, map[string]int64{"m": 3}, nil)[0].ID).To(Equal("old"))
	})

	It("distributes changes over failure domains", func() {
		list := engines(12, 1)
		for i := range list {
			list[i].Domain = string(rune('a' + i/4))
		}
		domains := map[string]int{}
		for _, e := range zprollout.Pick(list, targets, nil) {
			domains[e.Domain]++
		}
		Expect(domains).To(HaveLen(3))
	})

	It("applies no limit to engines whose weights have expired", func() {
		list := engines(12, 1)
		for i := range list {
			list[i].WeightsExpired = true
		}
		Expect(zprollout.Pick(list, targets, nil)).To(HaveLen(12))
	})

	It("counts engines that are already changing towards the limit", func() {
		changing := map[string]*zprollout.Change{"e00": {}, "e01": {}, "e02": {}, "e03": {}}
		Expect(zprollout.Pick(engines(12, 1), targets, changing)).To(HaveLen(1))
	})

	It("selects an engine for one of its models at a time and counts it once", func() {
		var list []zprollout.Engine
		for _, e := range engines(12, 1) {
			other := e
			other.Model = "n"
			list = append(list, e, other)
		}
		both := map[string]int64{"m": 2, "n": 2}
		selected := map[string]bool{}
		for _, e := range zprollout.Pick(list, both, nil) {
			Expect(selected[e.ID]).To(BeFalse(), e.ID)
			selected[e.ID] = true
		}
		Expect(selected).To(HaveLen(5))
		for i := range list {
			list[i].WeightsExpired = true
		}
		Expect(zprollout.Pick(list, both, nil)).To(HaveLen(12))
	})

	// Guards against a small pool all of whose engines change at once beside a large one.
	It("limits the engines of each pool", func() {
		list := engines(140, 1)
		for i := range 5 {
			list[i].Pool = "small"
		}
		selected := map[string]int{}
		for _, e := range zprollout.Pick(list, targets, map[string]*zprollout.Change{"e00": {}, "e20": {}}) {
			selected[e.Pool]++
		}
		Expect(selected).To(Equal(map[string]int{"small": zprollout.MaxChanging(5) - 1, "": zprollout.MaxChanging(135) - 1}))
	})

	It("skips engines that have the target weights", func() {
		Expect(zprollout.Pick(engines(12, 2), targets, nil)).To(BeEmpty())
		Expect(zprollout.AnyOutdated(engines(12, 2), targets)).To(BeFalse())
	})
})

var _ = Describe("WeightVersions", func() {
	It("accepts only higher versions", func() {
		b := zprollout.NewWeightVersions(0)
		Expect(b.SetTarget("m", 3, start)).To(BeTrue())
		Expect(b.SetTarget("m", 2, start)).To(BeFalse())
		Expect(b.Target("m")).To(BeEquivalentTo(3))
	})

	It("measures the grace period from the first newer version", func() {
		b := zprollout.NewWeightVersions(8 * time.Second)
		b.SetTarget("m", 2, start)
		b.SetTarget("m", 3, start.Add(5*time.Second))
		now := start.Add(9 * time.Second)
		Expect(b.Expired("m", 1, now)).To(BeTrue())
		Expect(b.Expired("m", 2, now)).To(BeFalse())
		Expect(b.ReplacedFor("m", 3, now)).To(BeZero())
	})

	Describe("after a restart", func() {
		const gracePeriod = 8 * time.Second
		var restarted *zprollout.WeightVersions
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		expectExpiresAt := func(version int64, expiry time.Time) {
			GinkgoHelper()
			Expect(restarted.Expired("m", version, expiry.Add(-time.Millisecond))).To(BeFalse(), "before %s", expiry.Sub(start))
			Expect(restarted.Expired("m", version, expiry)).To(BeTrue(), "at %s", expiry.Sub(start))
		}

		BeforeEach(func() {
			restarted = zprollout.NewWeightVersions(gracePeriod)
			Expect(restarted.HasSynced()).To(BeFalse())
			Expect(restarted.SetInitialTarget("m", 2, start)).To(BeTrue())
			restarted.SetListed()
			Expect(restarted.HasSynced()).To(BeTrue())
		})

		It("leaves little time to old weights if no daemon knows when they were replaced", func() {
			expectExpiresAt(1, at(2000))
		})

		It("measures from the time that another daemon knows", func() {
			restarted.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: time.Second}, at(100))
			expectExpiresAt(1, at(7100))
		})

		It("takes the oldest of several measured ages, and a measured one before estimates", func() {
			restarted.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: time.Second}, at(100))
			restarted.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: 3 * time.Second}, at(200))
			restarted.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: 2 * time.Second}, at(300))
			restarted.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: 7 * time.Second, Estimated: true}, at(400))
			expectExpiresAt(1, at(5200))
		})

		It("takes the older of two estimates, so that restarts in turn do not prolong the grace period", func() {
			restarted.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: 7 * time.Second, Estimated: true}, at(100))
			expectExpiresAt(1, at(1100))
		})

		It("learns of versions that it has not read from the store", func() {
			Expect(restarted.MergeTarget(zprollout.Target{Model: "m", Version: 4, Age: time.Second}, at(100))).To(BeTrue())
			Expect(restarted.MergeTarget(zprollout.Target{Model: "m", Version: 3, Age: 3 * time.Second}, at(100))).To(BeFalse())
			Expect(restarted.Target("m")).To(BeEquivalentTo(4))
			expectExpiresAt(2, at(5100))
			expectExpiresAt(3, at(7100))
			Expect(restarted.SetInitialTarget("m", 4, at(200))).To(BeFalse())
		})

		It("counts from when a version named later was learned", func() {
			restarted.SetTarget("m", 3, at(500))
			expectExpiresAt(2, at(8500))
		})
	})

	It("corrects the time of a version that a paused daemon learned late", func() {
		b := zprollout.NewWeightVersions(8 * time.Second)
		b.SetTarget("m", 2, start.Add(5*time.Second))
		b.MergeTarget(zprollout.Target{Model: "m", Version: 2, Age: 5 * time.Second}, start.Add(5*time.Second))
		Expect(b.Expired("m", 1, start.Add(8*time.Second))).To(BeTrue())
	})

	It("tells only targets for which the grace period lasts", func() {
		b := zprollout.NewWeightVersions(8 * time.Second)
		b.SetTarget("m", 2, start)
		b.SetTarget("m", 3, start.Add(5*time.Second))
		Expect(b.Recent(start.Add(6 * time.Second))).To(ConsistOf(
			zprollout.Target{Model: "m", Version: 2, Age: 6 * time.Second}, zprollout.Target{Model: "m", Version: 3, Age: time.Second},
		))
		Expect(b.Recent(start.Add(8 * time.Second))).To(ConsistOf(zprollout.Target{Model: "m", Version: 3, Age: 3 * time.Second}))
		Expect(b.Recent(start.Add(time.Minute))).To(BeEmpty())
	})

	It("ends a change after its timeout", func() {
		b := zprollout.NewWeightVersions(0)
		b.SetChanging("e", start.Add(time.Second))
		Expect(b.Changing("e", start)).To(BeTrue())
		Expect(b.Changing("e", start.Add(time.Second))).To(BeFalse())
	})
})
