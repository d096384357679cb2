package zpupgrade_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
)

const (
	seeds = 20
	// seedsOfLarge is the number of seeds where a simulation takes long.
	seedsOfLarge = 4
	simulation   = 20 * time.Second
)

// play plays one roll-out from order to a while after the deadline.
func play(seed uint64, daemons int, routes []route, f fault, change ...func(*fleet)) *fleet {
	x := newFleet(seed, daemons, routes, f)
	for _, c := range change {
		c(x)
	}
	x.start()
	x.run(simulation)
	return x
}

// exposureLimit is the number of requests that a bad version may get by the deadline.
func (x *fleet) exposureLimit() float64 {
	return x.limits.Share*float64(x.results.sent) + float64(x.limits.Slack)
}

func (x *fleet) expectBounded() {
	GinkgoHelper()
	Expect(float64(x.results.sentNew)).To(BeNumerically("<=", x.exposureLimit()))
	Expect(x.results.oldAfterCompletion).To(BeZero())
}

func (x *fleet) expectRolledBack() {
	GinkgoHelper()
	x.expectBounded()
	Expect(x.order.Status).To(Equal(zpupgrade.Status{State: zpupgrade.StateRolledBack, To: "v2"}))
	Expect(x.results.endedAt).To(BeTemporally("<=", x.deadline()))
	if !x.results.fiftiethBadAt.IsZero() {
		Expect(x.results.lastNewAt.Sub(x.results.fiftiethBadAt)).To(BeNumerically("<", x.limits.RollbackAfter))
	}
}

func (x *fleet) expectCompleted() {
	GinkgoHelper()
	x.expectBounded()
	Expect(x.order.Status).To(Equal(zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v2"}))
	Expect(x.results.lostAtEnd).To(BeZero())
}

// outcomes counts how many seeds ended in each state, and the largest exposure.
func outcomes(seeds uint64, daemons int, routes []route, f fault, check func(*fleet)) map[string]int {
	GinkgoHelper()
	out := map[string]int{}
	worst, late, afterBad := 0.0, time.Duration(0), time.Duration(0)
	for seed := range seeds {
		x := play(seed, daemons, routes, f)
		check(x)
		out[x.order.Status.State.String()]++
		if len(x.results.changes) > 0 {
			AddReportEntry(fmt.Sprintf("seed %d", seed), strings.Join(x.results.changes, "\n"), ReportEntryVisibilityFailureOrVerbose)
		}
		worst = max(worst, float64(x.results.sentNew)/x.exposureLimit())
		if x.results.endedAt.After(x.deadline()) {
			out["late"]++
		}
		late = max(late, x.results.endedAt.Sub(x.deadline()))
		if !x.results.fiftiethBadAt.IsZero() {
			afterBad = max(afterBad, x.results.lastNewAt.Sub(x.results.fiftiethBadAt))
		}
	}
	AddReportEntry("roll-outs", fmt.Sprintf("%v, largest exposure %.2f of the limit, latest end %v after the deadline, last request %v after the 50th bad answer", out, worst, late, afterBad))
	return out
}

var _ = Describe("A roll-out", func() {
	for _, daemons := range []int{9, 40} {
		for name, routes := range map[string][]route{"a plain pool": plainRoutes(), "an engine pool": engineRoutes()} {
			Describe(fmt.Sprintf("of %s at %d daemons", name, daemons), func() {
				It("completes a good version", func() {
					out := outcomes(seeds, daemons, routes, fault{}, (*fleet).expectCompleted)
					Expect(out["completed"]).To(Equal(seeds))
				})

				DescribeTable("rolls a bad version back", func(f fault) {
					n := uint64(seeds)
					if daemons > 9 || name == "an engine pool" {
						n = seedsOfLarge
					}
					out := outcomes(n, daemons, routes, f, (*fleet).expectRolledBack)
					Expect(out["rolled_back"]).To(BeEquivalentTo(n))
				},
					Entry("that fails at once", fault{failures: 0.5}),
					Entry("that fails seldom", fault{failures: 0.3}),
					Entry("that is slow", fault{factor: 4}),
					Entry("that fails later", fault{failures: 0.5, from: 6 * time.Second}),
					Entry("that is slow later", fault{factor: 4, from: 6 * time.Second}),
					Entry("that fails on one route", fault{failures: 0.5, route: routes[0].name}),
					Entry("that fails under load", fault{failures: 0.8, load: 1}),
					Entry("that is slow on one route", fault{factor: 4, route: routes[1].name}),
					Entry("that is slow on the other route", fault{factor: 4, route: routes[0].name}),
				)
			})
		}
	}
})
