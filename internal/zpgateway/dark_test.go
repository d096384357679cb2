package zpgateway_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
)

var _ = Describe("Dark endpoints", func() {
	var s *zpgateway.Suspects
	start := time.Unix(1000, 0)

	BeforeEach(func() { s = zpgateway.NewSuspects() })

	It("are avoided once they were dark to daemons of two failure domains", func() {
		Expect(s.Dark("e", "a", start)).To(BeFalse())
		Expect(s.Dark("e", "a", start)).To(BeFalse())
		Expect(s.Suspect("e", start)).To(BeFalse())
		Expect(s.Dark("e", "b", start.Add(time.Second))).To(BeTrue())
		Expect(s.Suspect("e", start.Add(2*time.Second))).To(BeTrue())
		Expect(s.Suspect("e", start.Add(5*time.Second))).To(BeFalse())
	})

	It("are not avoided for what two domains saw long apart", func() {
		s.Dark("e", "a", start)
		Expect(s.Dark("e", "b", start.Add(3*time.Second))).To(BeFalse())
	})

	It("are no longer avoided once they answer", func() {
		s.Dark("e", "a", start)
		s.Dark("e", "b", start)
		s.Succeeded("e", start.Add(time.Second))
		Expect(s.Suspect("e", start.Add(time.Second))).To(BeFalse())
		Expect(s.Dark("e", "a", start.Add(time.Second))).To(BeFalse())
	})

	It("are told of at most once a second, and those that are slow, full or failing are not", func() {
		Expect(s.Failed("e", zpgateway.FailureDark, start)).To(BeTrue())
		Expect(s.Failed("e", zpgateway.FailureDark, start.Add(500*time.Millisecond))).To(BeFalse())
		Expect(s.Failed("e", zpgateway.FailureDark, start.Add(time.Second))).To(BeTrue())
		for _, f := range []zpgateway.Failure{
			zpgateway.FailureSilence, zpgateway.FailureConnect, zpgateway.FailureRefusal, zpgateway.FailureBroken, zpgateway.FailureAnswer,
		} {
			Expect(s.Failed("f", f, start)).To(BeFalse())
		}
	})

	DescribeTable("are told of by the daemon that could not connect in time",
		func(err error, isTold bool) {
			site := newSite(func(context.Context, *zpengine.Gate) (*zpgateway.Answer, error) { return nil, err }, answers(http.StatusOK, "done"))
			told := 0
			site.NoteDark = func(string) { told++ }
			expectAnswer(site.serve(request("read")), http.StatusOK, "done")
			Expect(told > 0).To(Equal(isTold))
		},
		Entry("no answer to the connect", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, true),
		Entry("a reset", errReset, false),
	)
})
