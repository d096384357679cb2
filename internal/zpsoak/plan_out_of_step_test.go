package zpsoak

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Plan, with daemons that are out of step", func() {
	const length = 25 * time.Second
	seedOf := func(n int) uint64 { return uint64(outOfStepSeed + n*outOfStepEvery) }
	planOf := func(seed uint64) []Fault { return Plan(seed, length, 6, 6, 3) }
	find := func(plan []Fault, kind Kind) (out []Fault) {
		for _, f := range plan {
			if f.Kind == kind {
				out = append(out, f)
			}
		}
		return out
	}
	one := func(plan []Fault, kind Kind) Fault {
		GinkgoHelper()
		out := find(plan, kind)
		Expect(out).To(HaveLen(1))
		return out[0]
	}
	endOf := func(f Fault) time.Duration { return f.At + f.Duration }

	DescribeTable("has them out of step in each way in turn", func(n int, lead time.Duration, ways ...Kind) {
		plan := planOf(seedOf(n))
		moment := one(plan, OutOfStep)
		Expect(moment.Daemons).NotTo(BeEmpty())
		for _, d := range moment.Daemons {
			for _, kind := range ways {
				Expect(plan).To(ContainElement(And(HaveField("Kind", kind), HaveField("Target", d),
					HaveField("At", moment.At-lead), HaveField("Duration", BeNumerically(">", lead+3*joinInterval)))))
			}
		}
	},
		Entry("cut off from the other daemons", 0, outOfStepLead, PeersCut),
		Entry("cut off from them and the store", 1, storeCutLead, PeersCut, StoreCut),
		Entry("paused", 2, outOfStepLead, DaemonPause),
		Entry("cut off from the store", 3, storeCutLead, StoreCut),
		Entry("cut off from the other daemons again", 4, outOfStepLead, PeersCut),
	)

	It("updates half of the endpoints meanwhile, one after the other, while streams break", func() {
		for n := range 20 {
			plan := planOf(seedOf(n))
			moment := one(plan, OutOfStep)
			updated := find(plan, EndpointUpdate)
			Expect(updated).To(HaveLen(3))
			for _, f := range updated {
				Expect(f.At).To(And(BeNumerically(">=", moment.At), BeNumerically("<", endOf(moment)-outOfStepTail)))
			}
			breaks := slices.IndexFunc(plan, func(f Fault) bool {
				return f.Kind == StreamsBreak && f.At == moment.At && f.Duration == moment.Duration
			})
			Expect(breaks).To(BeNumerically(">=", 0))
			Expect(endOf(moment)).To(BeNumerically("<=", length-recoveryTime))
		}
	})

	It("has no other fault then that keeps streams from being taken up there", func() {
		for n := range 20 {
			plan := planOf(seedOf(n))
			moment := one(plan, OutOfStep)
			for _, f := range plan {
				if f.At >= endOf(moment) || endOf(f) <= moment.At {
					continue
				}
				Expect(isStranded(f.Kind)).To(BeFalse(), "%v", f)
				isOwn := isOwnFault(f.Kind) && slices.Contains(moment.Daemons, f.Target)
				Expect(isOwn && f.At != moment.At-outOfStepLead && f.At != moment.At-storeCutLead).To(BeFalse(), "%v", f)
			}
		}
	})

	It("leaves the plans of other seeds alone", func() {
		for seed := range uint64(30) {
			if isOutOfStepRun(seed) {
				continue
			}
			for _, kind := range []Kind{OutOfStep, PeersCut, EndpointUpdate} {
				Expect(find(planOf(seed), kind)).To(BeEmpty())
			}
		}
	})

	It("begins with one software version in those runs, and with both in others", func() {
		versionsOf := func(seed uint64) []string {
			s := &cluster{Config: Config{Seed: seed}}
			var out []string
			for e := range 6 {
				out = append(out, s.firstVersion(e))
			}
			slices.Sort(out)
			return slices.Compact(out)
		}
		Expect(versionsOf(seedOf(0))).To(Equal([]string{"v1"}))
		Expect(versionsOf(1)).To(Equal([]string{"v1", "v2"}))
	})
})
