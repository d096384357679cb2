package zpgateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
)

var _ = Describe("Suspects", func() {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("shuts an endpoint that refuses, longer each time, until it answers", func() {
		s := zpgateway.NewSuspects()
		s.Failed("e", zpgateway.FailureRefusal, start)
		Expect(s.Shut("e", after(99))).To(BeTrue())
		Expect(s.Shut("e", after(100))).To(BeFalse())
		s.Failed("e", zpgateway.FailureRefusal, after(100))
		Expect(s.Shut("e", after(299))).To(BeTrue())
		Expect(s.Shut("e", after(300))).To(BeFalse())
	})

	It("avoids an endpoint after a lost answer, but sends to it if there is no other", func() {
		s := zpgateway.NewSuspects()
		s.Failed("e", zpgateway.FailureBroken, start)
		Expect(s.Suspect("e", after(299))).To(BeTrue())
		Expect(s.Shut("e", start)).To(BeFalse())
		Expect(s.Suspect("e", after(300))).To(BeFalse())
	})

	It("avoids an endpoint for its own errors only if it has far more than sound ones", func() {
		s := zpgateway.NewSuspects()
		s.Failed("e", zpgateway.FailureAnswer, start)
		Expect(s.Suspect("e", start)).To(BeFalse())
		for range 5 {
			s.Failed("e", zpgateway.FailureAnswer, start)
		}
		Expect(s.Suspect("e", start)).To(BeTrue())
	})

	It("forgives with answers, and forgets what is gone", func() {
		s := zpgateway.NewSuspects()
		s.Failed("e", zpgateway.FailureBroken, start)
		s.Succeeded("e", start)
		Expect(s.Suspect("e", start)).To(BeFalse())
		s.Failed("e", zpgateway.FailureRefusal, start)
		s.Forget("e")
		Expect(s.Shut("e", start)).To(BeFalse())
	})
})
