package zpbrittle_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpbrittle"
)

var _ = Describe("Tracker", func() {
	start := time.Unix(1000, 0)
	names := func(n int) (list []string) {
		for i := range n {
			list = append(list, fmt.Sprintf("d%d", i))
		}
		return list
	}
	send := func(own, total, daemons int) zpbrittle.Send {
		return zpbrittle.Send{Pool: "p", Endpoint: "e", Slots: 4, Own: own, Total: total, Daemons: names(daemons)}
	}
	newBrittle := func(maxRefusals int) *zpbrittle.Tracker {
		t := zpbrittle.New("d0")
		Expect(t.Record("p", maxRefusals, start)).To(BeTrue())
		return t
	}

	It("allows everything while no endpoint says that it is brittle", func() {
		t := zpbrittle.New("d0")
		for range 20 {
			t.RecordRefusal("e", start)
			Expect(t.Allow(send(9, 99, 50), start)).To(BeTrue())
		}
	})

	It("forgets some seconds after the last response that said so", func() {
		t := newBrittle(0)
		Expect(t.Record("p", 0, start.Add(time.Second))).To(BeFalse())
		Expect(t.IsBrittle("p", start.Add(5500*time.Millisecond))).To(BeTrue())
		Expect(t.IsBrittle("q", start)).To(BeFalse())
		Expect(t.Allow(send(0, 4, 2), start.Add(5500*time.Millisecond))).To(BeFalse())
		Expect(t.Allow(send(0, 4, 2), start.Add(6100*time.Millisecond))).To(BeTrue())
	})

	DescribeTable("sends only where room is known",
		func(own, total, daemons int, allowed bool) {
			Expect(newBrittle(0).Allow(send(own, total, daemons), start)).To(Equal(allowed))
		},
		Entry("its share is free", 1, 1, 2, true),
		Entry("its share is in use", 2, 2, 2, false),
		Entry("all slots are in use, by its share too few", 1, 4, 2, false),
		Entry("a single daemon", 3, 3, 1, true),
		Entry("a single daemon without room", 4, 4, 1, false),
	)

	It("risks its share of the refusals in a window for slots that others leave free", func() {
		t := newBrittle(5)
		Expect(t.Allow(send(2, 2, 2), start)).To(BeTrue())
		Expect(t.Allow(send(3, 3, 2), start)).To(BeTrue())
		Expect(t.Allow(send(3, 3, 2), start)).To(BeFalse())
		Expect(t.Allow(send(3, 3, 2), start.Add(time.Second))).To(BeTrue())
	})

	It("sends nothing once all daemons have had the refusals that an endpoint survives", func() {
		t := newBrittle(3)
		for range 2 {
			t.RecordRefusal("e", start)
		}
		s := send(0, 0, 2)
		Expect(t.Allow(s, start)).To(BeTrue())
		s.OtherRefusals = 1
		Expect(t.Allow(s, start)).To(BeFalse())
		Expect(t.Allow(s, start.Add(time.Second))).To(BeTrue())
	})

	It("gives no slot of many daemons in the last part of a turn", func() {
		s := send(0, 0, 8)
		s.Slots = 0
		allowed := func(at time.Time) (n int) {
			for _, name := range s.Daemons {
				t := zpbrittle.New(name)
				t.Record("p", 0, at)
				if t.Allow(s, at) {
					n++
				}
			}
			return n
		}
		Expect(allowed(start.Add(600 * time.Millisecond))).To(Equal(1))
		Expect(allowed(start.Add(800 * time.Millisecond))).To(BeZero())
	})

	// Guards against daemons that get no slot for good, because there are fewer slots than daemons.
	It("gives each of many daemons its turn, and never more than the slots", func() {
		const daemons = 12
		turns := map[string]int{}
		for turn := range 60 {
			now := start.Add(time.Duration(turn) * time.Second)
			allowed := 0
			for _, name := range names(daemons) {
				t := zpbrittle.New(name)
				t.Record("p", 3, now)
				if t.Allow(send(0, 0, daemons), now) {
					allowed++
					turns[name]++
				}
			}
			Expect(allowed).To(Equal(4))
		}
		Expect(turns).To(HaveLen(daemons))
	})

	// Guards against daemons that each take the slots of an endpoint for their own while they hear nobody.
	It("keeps daemons that hear nobody within the slots and the refusals that an endpoint survives", func() {
		const daemons, maxRefusals = 5, 10
		allowed := 0
		for _, name := range names(daemons) {
			t := zpbrittle.New(name)
			t.Record("p", maxRefusals, start)
			own := 0
			for t.Allow(send(own, own, daemons), start) {
				own++
			}
			allowed += own
		}
		Expect(allowed).To(BeNumerically(">", 0))
		Expect(allowed).To(BeNumerically("<=", 4+maxRefusals))
	})
})
