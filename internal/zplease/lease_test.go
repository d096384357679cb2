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
	It("is valid for its duration from the start of the renewal", func() {
		o := &zplease.OwnLease{Timing: timing}
		Expect(o.Valid(start)).To(BeFalse())
		o.RecordProposal([]string{"m"})
		o.RecordRenewal(start, timing.Duration, []string{"m"})
		Expect(o.Valid(start.Add(3999 * time.Millisecond))).To(BeTrue())
		Expect(o.Valid(start.Add(4 * time.Second))).To(BeFalse())
	})

	It("stays invalid after it has ended", func() {
		o := &zplease.OwnLease{Timing: timing}
		o.RecordRenewal(start, timing.Duration, nil)
		o.MarkEnded()
		o.RecordRenewal(start, timing.Duration, nil)
		Expect(o.Valid(start)).To(BeFalse())
	})

	DescribeTable("stays valid without renewal only with promises of all monitors",
		func(promised []string, proposed []string, valid bool) {
			o := &zplease.OwnLease{Timing: timing}
			o.RecordRenewal(start, timing.Duration, []string{"m1", "m2"})
			if proposed != nil {
				o.RecordProposal(proposed)
			}
			later := start.Add(time.Minute)
			for _, m := range promised {
				o.RecordPromise(m, later)
			}
			Expect(o.Valid(later.Add(time.Second))).To(Equal(valid))
		},
		Entry("all monitors", []string{"m1", "m2"}, nil, true),
		Entry("one monitor is missing", []string{"m1"}, nil, false),
		Entry("a monitor of an unconfirmed renewal is missing", []string{"m1", "m2"}, []string{"m1", "m3"}, false),
		Entry("all monitors, with those of an unconfirmed renewal", []string{"m1", "m2", "m3"}, []string{"m1", "m3"}, true),
	)

	It("is not extended by an expired promise", func() {
		o := &zplease.OwnLease{Timing: timing}
		o.RecordRenewal(start, timing.Duration, []string{"m1"})
		o.RecordPromise("m1", start.Add(time.Minute))
		Expect(o.Valid(start.Add(time.Minute + timing.Duration))).To(BeFalse())
	})
})

var _ = Describe("Observed lease", func() {
	It("expires only after its duration and the margin without a renewal", func() {
		v := &zplease.ObservedLease{Margin: timing.Margin}
		v.Observe(1, timing.Duration, start)
		v.Observe(1, timing.Duration, start.Add(4*time.Second))
		Expect(v.Expired(start.Add(4500 * time.Millisecond))).To(BeFalse())
		Expect(v.Expired(start.Add(4501 * time.Millisecond))).To(BeTrue())
		v.Observe(2, timing.Duration, start.Add(4600*time.Millisecond))
		Expect(v.Expired(start.Add(8 * time.Second))).To(BeFalse())
	})

	It("does not expire while its holder considers it valid", func() {
		// The latest possible start of a renewal that the observer has read is
		// the time of its read. The proposal names a monitor, because a lease
		// without monitors stays valid.
		o := &zplease.OwnLease{Timing: timing}
		v := &zplease.ObservedLease{Margin: timing.Margin}
		o.RecordRenewal(start, timing.Duration, nil)
		o.RecordProposal([]string{"v"})
		v.Observe(7, timing.Duration, start)
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
			Expect(o.Valid(at) && v.Expired(at)).To(BeFalse())
		}
	})
})

var _ = Describe("IntervalFactor", func() {
	DescribeTable("limits the rate of renewals on the platform",
		func(daemons, factor int) { Expect(zplease.IntervalFactor(daemons)).To(BeEquivalentTo(factor)) },
		Entry("0 daemons", 0, 1), Entry("9 daemons", 9, 1), Entry("100 daemons", 100, 1), Entry("101 daemons", 101, 2), Entry("1200 daemons", 1200, 12),
	)
})

var _ = Describe("Promises", func() {
	It("prevent a monitor from ending a lease", func() {
		p := &zplease.Promises{Timing: timing}
		Expect(p.Promise("d", start)).To(BeTrue())
		Expect(p.BeginEnding("d", start.Add(time.Second))).To(BeFalse())
		Expect(p.BeginEnding("d", start.Add(timing.Duration))).To(BeTrue())
	})

	It("are refused while an attempt to end the lease may take effect", func() {
		p := &zplease.Promises{Timing: timing}
		Expect(p.BeginEnding("d", start)).To(BeTrue())
		Expect(p.Promise("d", start)).To(BeFalse())
		p.CancelEnding("d")
		Expect(p.Promise("d", start)).To(BeTrue())
	})

	It("apply only to the lease they were given for", func() {
		p := &zplease.Promises{Timing: timing}
		Expect(p.Promise("d", start)).To(BeTrue())
		Expect(p.BeginEnding("e", start)).To(BeTrue())
	})
})
