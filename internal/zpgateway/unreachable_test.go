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

var _ = Describe("Unreachable endpoints", func() {
	var s *zpgateway.HealthTracker
	start := time.Unix(1000, 0)

	BeforeEach(func() { s = zpgateway.NewHealthTracker() })

	It("are avoided once daemons of two failure domains could not reach them", func() {
		Expect(s.RecordUnreachable("e", "a", start)).To(BeFalse())
		Expect(s.RecordUnreachable("e", "a", start)).To(BeFalse())
		Expect(s.IsAvoided("e", start)).To(BeFalse())
		Expect(s.RecordUnreachable("e", "b", start.Add(time.Second))).To(BeTrue())
		Expect(s.IsAvoided("e", start.Add(2*time.Second))).To(BeTrue())
		Expect(s.IsAvoided("e", start.Add(5*time.Second))).To(BeFalse())
	})

	It("are not avoided if the reports of two failure domains are too far apart", func() {
		s.RecordUnreachable("e", "a", start)
		Expect(s.RecordUnreachable("e", "b", start.Add(3*time.Second))).To(BeFalse())
	})

	It("are no longer avoided after a response", func() {
		s.RecordUnreachable("e", "a", start)
		s.RecordUnreachable("e", "b", start)
		s.RecordSuccess("e", start.Add(time.Second))
		Expect(s.IsAvoided("e", start.Add(time.Second))).To(BeFalse())
		Expect(s.RecordUnreachable("e", "a", start.Add(time.Second))).To(BeFalse())
	})

	It("are announced at most once a second, unlike endpoints that are slow, full or failing", func() {
		Expect(s.RecordFailure("e", zpgateway.FailureConnectTimeout, start)).To(BeTrue())
		Expect(s.RecordFailure("e", zpgateway.FailureConnectTimeout, start.Add(500*time.Millisecond))).To(BeFalse())
		Expect(s.RecordFailure("e", zpgateway.FailureConnectTimeout, start.Add(time.Second))).To(BeTrue())
		for _, f := range []zpgateway.Failure{
			zpgateway.FailureNoResponse, zpgateway.FailureConnect, zpgateway.FailureNotRun, zpgateway.FailureBroken, zpgateway.FailureServerError,
		} {
			Expect(s.RecordFailure("f", f, start)).To(BeFalse())
		}
	})

	// Guards against crashed endpoints of which each daemon finds out by a refusal that costs a retry.
	It("are announced if another endpoint has the address, and get nothing until they leave the list", func() {
		Expect(s.RecordFailure("e", zpgateway.FailureOtherInstance, start)).To(BeTrue())
		Expect(s.IsBackingOff("e", start.Add(900*time.Millisecond))).To(BeTrue())
		Expect(s.IsBackingOff("e", start.Add(1100*time.Millisecond))).To(BeFalse())
	})

	DescribeTable("are announced by the daemon whose connect timed out",
		func(err error, announced bool) {
			g := newTestGateway(func(context.Context, *zpengine.Gate) (*zpgateway.Response, error) { return nil, err }, responds(http.StatusOK, "done"))
			announcements := 0
			g.AnnounceUnreachable = func(string) { announcements++ }
			expectResponse(g.serve(request("read")), http.StatusOK, "done")
			Expect(announcements > 0).To(Equal(announced))
		},
		Entry("a connect timeout", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, true),
		Entry("a connection reset", errReset, false),
	)
})
