package zpgateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
)

var _ = Describe("HealthTracker", func() {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("backs off from an endpoint that refuses requests, twice as long each time", func() {
		s := zpgateway.NewHealthTracker()
		s.RecordFailure("e", zpgateway.FailureNotRun, start)
		Expect(s.IsBackingOff("e", after(99))).To(BeTrue())
		Expect(s.IsBackingOff("e", after(100))).To(BeFalse())
		s.RecordFailure("e", zpgateway.FailureNotRun, after(100))
		Expect(s.IsBackingOff("e", after(299))).To(BeTrue())
		Expect(s.IsBackingOff("e", after(300))).To(BeFalse())
	})

	It("avoids an endpoint after a broken response without backing off from it", func() {
		s := zpgateway.NewHealthTracker()
		s.RecordFailure("e", zpgateway.FailureBroken, start)
		Expect(s.IsAvoided("e", after(299))).To(BeTrue())
		Expect(s.IsBackingOff("e", start)).To(BeFalse())
		Expect(s.IsAvoided("e", after(300))).To(BeFalse())
	})

	It("avoids an endpoint for 5xx responses only above the error rate of healthy services", func() {
		s := zpgateway.NewHealthTracker()
		s.RecordFailure("e", zpgateway.FailureServerError, start)
		Expect(s.IsAvoided("e", start)).To(BeFalse())
		for range 5 {
			s.RecordFailure("e", zpgateway.FailureServerError, start)
		}
		Expect(s.IsAvoided("e", start)).To(BeTrue())
	})

	It("stops avoiding an endpoint after a success, and forgets a removed endpoint", func() {
		s := zpgateway.NewHealthTracker()
		s.RecordFailure("e", zpgateway.FailureBroken, start)
		s.RecordSuccess("e", start)
		Expect(s.IsAvoided("e", start)).To(BeFalse())
		s.RecordFailure("e", zpgateway.FailureNotRun, start)
		s.Forget("e")
		Expect(s.IsBackingOff("e", start)).To(BeFalse())
	})
})
