package zplease_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
)

var (
	start  = time.Unix(1000, 0)
	timing = zplease.Timing{Duration: 4 * time.Second, Margin: 500 * time.Millisecond}
)

var _ = Describe("Own lease", func() {
	It("counts from the start of the renewal", func() {
		o := &zplease.Own{Timing: timing}
		Expect(o.Valid(start)).To(BeFalse())
		o.Proposed([]string{"m"})
		o.Renewed(start, timing.Duration, []string{"m"})
		Expect(o.Valid(start.Add(3999 * time.Millisecond))).To(BeTrue())
		Expect(o.Valid(start.Add(4 * time.Second))).To(BeFalse())
	})

	It("ends for good", func() {
		o := &zplease.Own{Timing: timing}
		o.Renewed(start, timing.Duration, nil)
		o.End()
		o.Renewed(start, timing.Duration, nil)
		Expect(o.Valid(start)).To(BeFalse())
	})

	DescribeTable("outlasts an outage by the promises of all its monitors",
		func(promised []string, proposed []string, valid bool) {
			o := &zplease.Own{Timing: timing}
			o.Renewed(start, timing.Duration, []string{"m1", "m2"})
			if proposed != nil {
				o.Proposed(proposed)
			}
			later := start.Add(time.Minute)
			for _, m := range promised {
				o.Promised(m, later)
			}
			Expect(o.Valid(later.Add(time.Second))).To(Equal(valid))
		},
		Entry("all", []string{"m1", "m2"}, nil, true),
		Entry("one is missing", []string{"m1"}, nil, false),
		Entry("a monitor of an unconfirmed renewal is missing", []string{"m1", "m2"}, []string{"m1", "m3"}, false),
		Entry("that one too", []string{"m1", "m2", "m3"}, []string{"m1", "m3"}, true),
	)

	It("is not prolonged by a promise that has run out", func() {
		o := &zplease.Own{Timing: timing}
		o.Renewed(start, timing.Duration, []string{"m1"})
		o.Promised("m1", start.Add(time.Minute))
		Expect(o.Valid(start.Add(time.Minute + timing.Duration))).To(BeFalse())
	})
})

var _ = Describe("Another's lease", func() {
	It("lapses only after its duration and the margin without a change", func() {
		v := &zplease.Observation{Margin: timing.Margin}
		v.Observe(1, timing.Duration, start)
		v.Observe(1, timing.Duration, start.Add(4*time.Second))
		Expect(v.Lapsed(start.Add(4500 * time.Millisecond))).To(BeFalse())
		Expect(v.Lapsed(start.Add(4501 * time.Millisecond))).To(BeTrue())
		v.Observe(2, timing.Duration, start.Add(4600*time.Millisecond))
		Expect(v.Lapsed(start.Add(8 * time.Second))).To(BeFalse())
	})

	It("is never lapsed before its holder's own view has ended", func() {
		// The holder renews at the moment the observer reads, at the latest.
		o := &zplease.Own{Timing: timing}
		v := &zplease.Observation{Margin: timing.Margin}
		o.Renewed(start, timing.Duration, nil)
		o.Proposed([]string{"v"})
		v.Observe(7, timing.Duration, start)
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
			Expect(o.Valid(at) && v.Lapsed(at)).To(BeFalse())
		}
	})
})

var _ = Describe("Stretch", func() {
	DescribeTable("keeps the platform's renewals in bounds",
		func(daemons, factor int) { Expect(zplease.Stretch(daemons)).To(BeEquivalentTo(factor)) },
		Entry("none", 0, 1), Entry("today", 9, 1), Entry("a hundred", 100, 1), Entry("one more", 101, 2), Entry("the size to come", 1200, 12),
	)
})

var _ = Describe("Promises", func() {
	It("keep a monitor from ending a lease", func() {
		p := &zplease.Promises{Timing: timing}
		Expect(p.Promise("d", start)).To(BeTrue())
		Expect(p.BeginEnd("d", start.Add(time.Second))).To(BeFalse())
		Expect(p.BeginEnd("d", start.Add(timing.Duration))).To(BeTrue())
	})

	It("are refused once an attempt to end has begun", func() {
		p := &zplease.Promises{Timing: timing}
		Expect(p.BeginEnd("d", start)).To(BeTrue())
		Expect(p.Promise("d", start)).To(BeFalse())
		p.EndFailed("d")
		Expect(p.Promise("d", start)).To(BeTrue())
	})

	It("of one daemon say nothing of another", func() {
		p := &zplease.Promises{Timing: timing}
		Expect(p.Promise("d", start)).To(BeTrue())
		Expect(p.BeginEnd("e", start)).To(BeTrue())
	})
})
