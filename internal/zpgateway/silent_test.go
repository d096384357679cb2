package zpgateway_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
)

var _ = Describe("Silent endpoints", func() {
	var s *zpgateway.Suspects
	start := time.Unix(1000, 0)

	BeforeEach(func() { s = zpgateway.NewSuspects() })

	It("are avoided once daemons of two failure domains got no answer", func() {
		Expect(s.Silent("e", "a", start)).To(BeFalse())
		Expect(s.Silent("e", "a", start)).To(BeFalse())
		Expect(s.Suspect("e", start)).To(BeFalse())
		Expect(s.Silent("e", "b", start.Add(time.Second))).To(BeTrue())
		Expect(s.Suspect("e", start.Add(2*time.Second))).To(BeTrue())
		Expect(s.Suspect("e", start.Add(5*time.Second))).To(BeFalse())
	})

	It("are not avoided for what two domains saw long apart", func() {
		s.Silent("e", "a", start)
		Expect(s.Silent("e", "b", start.Add(3*time.Second))).To(BeFalse())
	})

	It("are no longer avoided once they answer", func() {
		s.Silent("e", "a", start)
		s.Silent("e", "b", start)
		s.Succeeded("e", start.Add(time.Second))
		Expect(s.Suspect("e", start.Add(time.Second))).To(BeFalse())
		Expect(s.Silent("e", "a", start.Add(time.Second))).To(BeFalse())
	})

	It("are told of at most once a second, and only if they did not answer", func() {
		Expect(s.Failed("e", zpgateway.FailureConnect, start)).To(BeTrue())
		Expect(s.Failed("e", zpgateway.FailureSilence, start.Add(500*time.Millisecond))).To(BeFalse())
		Expect(s.Failed("e", zpgateway.FailureSilence, start.Add(time.Second))).To(BeTrue())
		Expect(s.Failed("f", zpgateway.FailureRefusal, start)).To(BeFalse())
		Expect(s.Failed("f", zpgateway.FailureAnswer, start)).To(BeFalse())
	})
})
