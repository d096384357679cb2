package zpgateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("An endpoint", func() {
	leaving, quiet := zpgateway.Notice{Leaving: true}, zpgateway.Notice{QuietFor: 500 * time.Millisecond}
	says := func(n zpgateway.Notice) func(*zpgateway.Response) {
		return func(a *zpgateway.Response) { a.Notice = n }
	}
	refuses := func(n zpgateway.Notice) step {
		return responds(http.StatusServiceUnavailable, "", says(n), func(a *zpgateway.Response) { a.NotRun, a.Sealed = true, false })
	}
	// endpoints returns the endpoints of all runs in order.
	endpoints := func(s testGateway) []string {
		s.runner.mu.Lock()
		defer s.runner.mu.Unlock()
		var out []string
		for _, run := range s.runner.runs {
			out = append(out, run.Endpoint.ID)
		}
		return out
	}

	// Guards against requests that are sent to an endpoint after it has said that it leaves.
	DescribeTable("that says that it leaves gets no further request",
		func(first step) {
			s := newTestGateway(first, responds(http.StatusOK, events))
			s.serve(request("tag"))
			left := endpoints(s)[0]
			for range 20 {
				expectResponse(s.serve(request("tag")), http.StatusOK, events)
			}
			Expect(endpoints(s)[1:]).NotTo(ContainElement(left))
			e, _ := s.Registry.Find(left)
			s.Registry.Put(e) // an entry that was written before
			Expect(s.Registry.IsServing(left, time.Now())).To(BeFalse())
			e.StartedAtMS++
			s.Registry.Put(e)
			Expect(s.Registry.IsServing(left, time.Now())).To(BeTrue())
		},
		Entry("in a success", responds(http.StatusOK, events, says(leaving))),
		Entry("in a refusal", refuses(leaving)),
		Entry("in a failure", responds(http.StatusInternalServerError, "", says(leaving))),
		Entry("in a stream that breaks off", func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			a, err := resetsAfter("id: 1\ndata: a\n\n")(ctx, gate)
			a.Notice = leaving
			return a, err
		}),
	)

	DescribeTable("that says something while a request connects to it does not get that request",
		func(n zpgateway.Notice) {
			var s testGateway
			connects := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				s.RecordNotice(endpoints(s)[0], "report", n)
				if err := gate.Open(); err != nil {
					return nil, err
				}
				return responds(http.StatusOK, "wrong")(ctx, gate)
			}
			s = newTestGateway(connects, responds(http.StatusOK, "done"))
			expectResponse(s.serve(request("book")), http.StatusOK, "done")
			Expect(endpoints(s)).To(HaveLen(2))
			Expect(endpoints(s)[1]).NotTo(Equal(endpoints(s)[0]))
		},
		Entry("that it leaves", leaving),
		Entry("that it wants no requests for a while", quiet),
	)

	It("is not taken for leaving because another one that has its address leaves", func() {
		s := newTestGateway(refuses(leaving), responds(http.StatusOK, "done"))
		s.runner.steps[0] = responds(http.StatusMisdirectedRequest, "", says(leaving), func(a *zpgateway.Response) { a.NotRun, a.OtherInstance, a.Sealed = true, true, false })
		s.serve(request("book"))
		Expect(s.Registry.IsServing(endpoints(s)[0], time.Now())).To(BeTrue())
	})

	// Guards against requests that are sent to an endpoint that has said for how long it wants none.
	It("that wants no requests for a while gets none until then", func() {
		s := newTestGateway(refuses(quiet), responds(http.StatusOK, "done"))
		expectResponse(s.serve(request("read")), http.StatusOK, "done")
		refused := endpoints(s)[0]
		for range 20 {
			s.serve(request("read"))
		}
		Expect(endpoints(s)[1:]).NotTo(ContainElement(refused))
		s.Health.RecordSuccess(refused, time.Now())
		Expect(s.Health.IsBackingOff(refused, time.Now())).To(BeTrue())
		Eventually(func() bool { return s.Health.IsBackingOff(refused, time.Now()) }, "1s").Should(BeFalse())
	})

	DescribeTable("leaves a request to wait or to return, if all want no requests",
		func(quietFor time.Duration, check func(reply *fakeReply, took time.Duration)) {
			s := newTestGateway(responds(http.StatusOK, "done"))
			startedAt := time.Now()
			for _, e := range s.Registry.AllInPool("pool", startedAt) {
				s.RecordNotice(e.ID, "request", zpgateway.Notice{QuietFor: quietFor})
			}
			check(s.serve(request("read")), time.Since(startedAt))
		},
		Entry("for less than the objective of the request", 100*time.Millisecond, func(reply *fakeReply, took time.Duration) {
			expectResponse(reply, http.StatusOK, "done")
			Expect(took).To(BeNumerically(">=", 100*time.Millisecond))
		}),
		Entry("for longer", 250*time.Millisecond, func(reply *fakeReply, took time.Duration) {
			expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
			Expect(took).To(BeNumerically("<", 100*time.Millisecond))
			Expect(reply.refused.RetryAfter).To(BeNumerically("~", 250*time.Millisecond, 50*time.Millisecond))
		}),
		Entry("for longer than the request may wait", time.Hour, func(reply *fakeReply, _ time.Duration) {
			expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
			Expect(reply.refused.RetryAfter).To(BeNumerically("<=", time.Second/3))
		}),
	)
})
