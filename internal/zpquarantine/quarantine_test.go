package zpquarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
)

var _ = Describe("List", func() {
	start := time.Unix(1000, 0)

	DescribeTable("judges by the number of crashes",
		func(crashes []string, expected zpquarantine.Standing) {
			l := zpquarantine.NewList(time.Hour)
			for _, c := range crashes {
				l.Note("f", c, start)
			}
			Expect(l.Standing("f", start)).To(Equal(expected))
		},
		Entry("none", nil, zpquarantine.StandingClear),
		Entry("one", []string{"e1/b1"}, zpquarantine.StandingSuspect),
		Entry("one, reported twice", []string{"e1/b1", "e1/b1"}, zpquarantine.StandingSuspect),
		Entry("two of one endpoint", []string{"e1/b1", "e1/b2"}, zpquarantine.StandingBanned),
		Entry("two endpoints", []string{"e1/b1", "e2/b9"}, zpquarantine.StandingBanned),
	)

	It("says nothing of other fingerprints", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Note("f", "c2", start)
		Expect(l.Standing("g", start)).To(Equal(zpquarantine.StandingClear))
	})

	It("acquits a suspect that ran to its end, but nothing that is banned", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Acquit("f")
		Expect(l.Standing("f", start)).To(Equal(zpquarantine.StandingClear))
		l.Note("f", "c1", start)
		l.Note("f", "c2", start)
		l.Acquit("f")
		Expect(l.Standing("f", start)).To(Equal(zpquarantine.StandingBanned))
	})

	It("holds nothing against a request that was served, as many callers may send it", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Served("f", start)
		Expect(l.Standing("f", start)).To(Equal(zpquarantine.StandingClear))
		Expect(l.Note("f", "c2", start.Add(time.Second))).To(BeFalse())
		Expect(l.Note("f", "c3", start.Add(2*time.Second))).To(BeFalse())
		Expect(l.Standing("f", start.Add(2*time.Second))).To(Equal(zpquarantine.StandingClear))
	})

	It("forgets after the retention", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Note("f", "c2", start)
		Expect(l.Standing("f", start.Add(2*time.Hour))).To(Equal(zpquarantine.StandingClear))
	})
})

var _ = Describe("Flights", func() {
	start := time.Unix(1000, 0)

	It("let equal requests go one after the other until one has run to its end", func() {
		f := zpquarantine.NewFlights()
		Expect(f.Start("f", "a", start)).To(BeTrue())
		Expect(f.Start("f", "a", start)).To(BeTrue())
		Expect(f.Start("f", "b", start)).To(BeFalse())
		Expect(f.Start("g", "b", start)).To(BeTrue())
		f.End("f", "b", false)
		Expect(f.Start("f", "b", start)).To(BeFalse())
		f.End("f", "a", false)
		Expect(f.Start("f", "b", start)).To(BeTrue())
		f.End("f", "b", true)
		Expect(f.Start("f", "c", start)).To(BeTrue())
		Expect(f.Start("f", "d", start)).To(BeTrue())
	})

	It("do not wait for ever for an end that is not told", func() {
		f := zpquarantine.NewFlights()
		Expect(f.Start("f", "a", start)).To(BeTrue())
		Expect(f.Start("f", "b", start.Add(zpquarantine.FlightLimit))).To(BeTrue())
	})
})
