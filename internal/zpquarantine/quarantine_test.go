package zpquarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
)

var _ = Describe("List", func() {
	start := time.Unix(1000, 0)

	DescribeTable("derives the status from the number of crashes",
		func(crashes []string, expected zpquarantine.Status) {
			l := zpquarantine.NewList(time.Hour)
			for _, c := range crashes {
				l.RecordCrash("f", c, start)
			}
			Expect(l.Status("f", start)).To(Equal(expected))
		},
		Entry("no crash", nil, zpquarantine.StatusClear),
		Entry("one crash", []string{"e1/b1"}, zpquarantine.StatusSuspect),
		Entry("one crash, reported twice", []string{"e1/b1", "e1/b1"}, zpquarantine.StatusSuspect),
		Entry("two crashes of one endpoint", []string{"e1/b1", "e1/b2"}, zpquarantine.StatusBanned),
		Entry("crashes of two endpoints", []string{"e1/b1", "e2/b9"}, zpquarantine.StatusBanned),
	)

	It("does not affect other fingerprints", func() {
		l := zpquarantine.NewList(time.Hour)
		l.RecordCrash("f", "c1", start)
		l.RecordCrash("f", "c2", start)
		Expect(l.Status("g", start)).To(Equal(zpquarantine.StatusClear))
	})

	It("clears a suspect that completed alone, but not a banned fingerprint", func() {
		l := zpquarantine.NewList(time.Hour)
		l.RecordCrash("f", "c1", start)
		l.ClearSuspect("f")
		Expect(l.Status("f", start)).To(Equal(zpquarantine.StatusClear))
		l.RecordCrash("f", "c1", start)
		l.RecordCrash("f", "c2", start)
		l.ClearSuspect("f")
		Expect(l.Status("f", start)).To(Equal(zpquarantine.StatusBanned))
	})

	It("drops crashes after the retention", func() {
		l := zpquarantine.NewList(time.Hour)
		l.RecordCrash("f", "c1", start)
		l.RecordCrash("f", "c2", start)
		Expect(l.Status("f", start.Add(2*time.Hour))).To(Equal(zpquarantine.StatusClear))
	})
})

var _ = Describe("RunGuard", func() {
	start := time.Unix(1000, 0)

	It("let equal requests run one at a time until one has completed", func() {
		f := zpquarantine.NewRunGuard()
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

	It("do not block equal requests forever if an end is not reported", func() {
		f := zpquarantine.NewRunGuard()
		Expect(f.Start("f", "a", start)).To(BeTrue())
		Expect(f.Start("f", "b", start.Add(zpquarantine.RunTimeout))).To(BeTrue())
	})
})
