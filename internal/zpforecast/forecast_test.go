package zpforecast_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpforecast"
)

// observe returns a pace of requests that have waited since start, recorded every 50 ms.
func observe(forMS int, started func(ms int) float64) *zpforecast.Pace {
	p := &zpforecast.Pace{}
	for ms := 0; ms <= forMS; ms += 50 {
		p.Record(started(ms), at(ms))
	}
	return p
}

func steady(perStep float64) func(int) float64 { return func(int) float64 { return perStep } }

var _ = Describe("Pace", func() {
	It("is not known before requests have waited for a while, nor once none does", func() {
		_, known := observe(400, steady(1)).PerSecond(at(400))
		Expect(known).To(BeFalse())
		p := observe(1000, steady(1))
		rate, known := p.PerSecond(at(1000))
		Expect(known).To(BeTrue())
		Expect(rate).To(BeNumerically("~", 20, 0.1))
		_, known = p.PerSecond(at(1300))
		Expect(known).To(BeFalse())
	})

	It("holds while nothing starts, and tells for how long", func() {
		p := observe(3000, func(ms int) float64 {
			if ms > 2000 {
				return 0
			}
			return 1
		})
		rate, _ := p.PerSecond(at(3000))
		Expect(rate).To(BeNumerically("~", 20, 0.1))
		Expect(p.StalledFor(at(3000))).To(Equal(time.Second))
	})

	It("does not mind a clock that goes back", func() {
		p := observe(1000, steady(1))
		p.Record(5, at(900))
		rate, known := p.PerSecond(at(1000))
		Expect(known).To(BeTrue())
		Expect(rate).To(BeNumerically("~", 20, 0.1))
	})
})

var _ = Describe("Lead", func() {
	It("follows the runs and is forgotten", func() {
		l := &zpforecast.Lead{}
		Expect(l.Excess(at(0))).To(BeZero())
		for ms := range 50 {
			l.Record(400*time.Millisecond, 100*time.Millisecond, at(10*ms))
		}
		Expect(l.Excess(at(490))).To(BeNumerically("~", 280*time.Millisecond, 30*time.Millisecond))
		Expect(l.Excess(at(5000))).To(BeNumerically("<", 10*time.Millisecond))
	})

	It("is never negative", func() {
		l := &zpforecast.Lead{}
		l.Record(0, time.Second, at(0))
		Expect(l.Excess(at(0))).To(BeZero())
	})
})

var _ = Describe("Decide", func() {
	pace := observe(2000, steady(1)) // 20 per second
	stalled := observe(4000, func(ms int) float64 { return max(0, float64(1000-ms)/1000) })
	now := at(2000)

	DescribeTable("refuses only what cannot be served in time",
		func(w zpforecast.Wait, reason zpforecast.Reason) {
			w.Service, w.Left = 100*time.Millisecond, 3*time.Second
			Expect(zpforecast.Decide(w, pace, now).Reason).To(Equal(reason))
		},
		Entry("nothing ahead", zpforecast.Wait{}, zpforecast.ReasonNone),
		Entry("as much ahead as starts in time", zpforecast.Wait{Ahead: 55}, zpforecast.ReasonNone),
		Entry("somewhat more, that might still start in time", zpforecast.Wait{Ahead: 80}, zpforecast.ReasonNone),
		Entry("far more", zpforecast.Wait{Ahead: 100}, zpforecast.ReasonQueue),
		Entry("far more, but the caller has returned", zpforecast.Wait{Ahead: 100, HasReturned: true}, zpforecast.ReasonNone),
		Entry("very much more, though the caller has returned", zpforecast.Wait{Ahead: 200, HasReturned: true}, zpforecast.ReasonQueue),
		Entry("as much in the fleet as idle endpoints start in time", zpforecast.Wait{FleetAhead: 2800, Capacity: 1000}, zpforecast.ReasonNone),
		Entry("more in the fleet", zpforecast.Wait{FleetAhead: 3000, Capacity: 1000}, zpforecast.ReasonFleet),
		Entry("no known capacity", zpforecast.Wait{FleetAhead: 3000}, zpforecast.ReasonNone),
		Entry("negative figures", zpforecast.Wait{Ahead: -5, FleetAhead: -5, Capacity: -1}, zpforecast.ReasonNone),
	)

	It("refuses nothing by a pace that is not known", func() {
		w := zpforecast.Wait{Ahead: 1e6, Left: 3 * time.Second}
		Expect(zpforecast.Decide(w, &zpforecast.Pace{}, now).Reason).To(Equal(zpforecast.ReasonNone))
	})

	It("refuses behind others once nothing has started for twice as long as the caller waits", func() {
		v := zpforecast.Decide(zpforecast.Wait{Ahead: 1, Left: 1400 * time.Millisecond}, stalled, at(4000))
		Expect(v.Reason).To(Equal(zpforecast.ReasonStall))
		v = zpforecast.Decide(zpforecast.Wait{Ahead: 1, Left: 2 * time.Second}, stalled, at(4000))
		Expect(v.Reason).To(Equal(zpforecast.ReasonNone))
		v = zpforecast.Decide(zpforecast.Wait{Left: time.Second}, stalled, at(4000))
		Expect(v.Reason).To(Equal(zpforecast.ReasonNone), "the first in line keeps trying")
	})
})

var _ = Describe("Returns", func() {
	left := 3 * time.Second

	It("asks callers to return when there is room, one after the other", func() {
		r := &zpforecast.Returns{}
		var last time.Duration
		for range 10 {
			after := r.Plan(zpforecast.Return{Work: 1, Room: 400 * time.Millisecond, PerSecond: 20, Left: left}, at(0))
			Expect(after).To(BeNumerically(">", last))
			last = after
		}
		Expect(last).To(Equal(850 * time.Millisecond))
	})

	It("lets urgent callers return before less urgent ones", func() {
		r := &zpforecast.Returns{}
		for range 10 {
			r.Plan(zpforecast.Return{Rank: 2, Work: 1, Room: 400 * time.Millisecond, PerSecond: 20, Left: left}, at(0))
		}
		Expect(r.Plan(zpforecast.Return{Work: 1, Room: 400 * time.Millisecond, PerSecond: 20, Left: left}, at(0))).To(Equal(400 * time.Millisecond))
	})

	DescribeTable("never asks for more than a third of the time left, nor for less than nothing",
		func(c zpforecast.Return) {
			after := (&zpforecast.Returns{}).Plan(c, at(0))
			Expect(after).To(BeNumerically("<=", max(c.Left, 0)/3))
			Expect(after).To(BeNumerically(">=", 0))
		},
		Entry("no room for long", zpforecast.Return{Room: time.Hour, Left: left, Random: 0.5}),
		Entry("room just inside", zpforecast.Return{Room: 990 * time.Millisecond, Left: left, Random: 0.99}),
		Entry("little time left", zpforecast.Return{Left: 30 * time.Millisecond}),
		Entry("no time left", zpforecast.Return{Left: -time.Second, Random: 0.9}),
	)

	It("spreads callers that are refused at the same moment without room in sight", func() {
		r := &zpforecast.Returns{}
		seen := map[time.Duration]bool{}
		for i := range 100 {
			seen[r.Plan(zpforecast.Return{Room: time.Hour, Left: left, Random: float64(i) / 100}, at(0))] = true
		}
		Expect(seen).To(HaveLen(100))
	})

	It("forgets callers that are back", func() {
		r := &zpforecast.Returns{}
		r.Plan(zpforecast.Return{Work: 100, Room: 400 * time.Millisecond, PerSecond: 20, Left: left}, at(0))
		Expect(r.Plan(zpforecast.Return{Work: 1, Room: 400 * time.Millisecond, PerSecond: 20, Left: left}, at(1000))).To(Equal(400 * time.Millisecond))
	})
})
