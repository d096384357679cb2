package zpgateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
)

var _ = Describe("An endpoint that says that it is slow", func() {
	slow := zpgateway.Notice{Load: zpspeed.Load{Running: 1, Slots: 4, Percent: 250}}
	says := func(n zpgateway.Notice) func(*zpgateway.Response) {
		return func(a *zpgateway.Response) { a.Notice = n }
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
	// waits returns a step that answers after d, unless the run ends before.
	waits := func(d time.Duration, body string) step {
		return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			if err := gate.Open(); err != nil {
				return nil, err
			}
			select {
			case <-time.After(d):
				return responds(http.StatusOK, body)(ctx, gate)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}

	DescribeTable("gets fewer requests, until its word is old",
		func(route, body string, first step) {
			s := newTestGateway(first, responds(http.StatusOK, body))
			now := time.Now()
			s.Clock = func() time.Time { return now }
			s.serve(request(route))
			heard := endpoints(s)[0]
			for range 10 {
				expectResponse(s.serve(request(route)), http.StatusOK, body)
			}
			Expect(endpoints(s)[1:]).NotTo(ContainElement(heard))
			now = now.Add(3 * time.Second)
			for range 10 {
				q := request(route)
				q.ReceivedAt = now
				s.serve(q)
			}
			Expect(endpoints(s)[11:]).To(ContainElement(heard))
		},
		Entry("in an answer", "read", "done", responds(http.StatusOK, "done", says(slow))),
		Entry("in a stream", "tag", events, responds(http.StatusOK, events, says(slow))),
	)

	// Guards against the words of one endpoint being taken for those of another.
	It("says nothing in the answer of another endpoint that has its address", func() {
		s := newTestGateway(responds(http.StatusMisdirectedRequest, "", says(slow), func(a *zpgateway.Response) { a.NotRun, a.OtherInstance, a.Sealed = true, true, false }), responds(http.StatusOK, "done"))
		s.serve(request("book"))
		Expect(s.Speed.Beliefs(time.Now())).To(BeEmpty())
	})

	It("is forgotten when it is removed", func() {
		s := newTestGateway(responds(http.StatusOK, "done", says(slow)))
		s.serve(request("read"))
		e, _ := s.Registry.Find(endpoints(s)[0])
		Expect(s.Speed.Beliefs(time.Now())).To(HaveLen(1))
		s.HandleEndpointRemoved(e)
		Expect(s.Speed.Beliefs(time.Now())).To(BeEmpty())
	})

	It("is not believed if its figures are not understood, which is counted", func() {
		s := newTestGateway(responds(http.StatusOK, "done", says(zpgateway.Notice{Load: zpspeed.Load{IsBad: true}})))
		s.serve(request("read"))
		Expect(s.Speed.Beliefs(time.Now())).To(BeEmpty())
		families, err := s.Metrics.Registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		var counted []string
		for _, f := range families {
			if f.GetName() == "zinniapaddle_load_words_total" {
				counted = append(counted, f.GetMetric()[0].GetLabel()[0].GetValue())
			}
		}
		Expect(counted).To(Equal([]string{"bad"}))
	})

	// Guards against taking slow endpoints for silent ones.
	DescribeTable("has more time for its first byte",
		func(prepare func(s testGateway), repeated bool) {
			// The objective is 200 ms: a response counts as lost after 120 ms at a usual endpoint.
			s := newTestGateway(waits(160*time.Millisecond, "done"), responds(http.StatusOK, "again"))
			list := s.Registry.AllInPool("pool", time.Now())
			s.Registry.Replace(list[:2], time.Now())
			prepare(s)
			reply := s.serve(request("read"))
			Expect(reply.status).To(Equal(http.StatusOK))
			Expect(endpoints(s)).To(HaveLen(map[bool]int{true: 2, false: 1}[repeated]))
		},
		Entry("not if nothing is known", func(testGateway) {}, true),
		Entry("if it has said so before", func(s testGateway) {
			for _, e := range s.Registry.AllInPool("pool", time.Now()) {
				s.RecordNotice(e.ID, "request", slow)
			}
		}, false),
		Entry("if it says so elsewhere while the request waits", func(s testGateway) {
			hear := s.runner.steps[0]
			s.runner.steps[0] = func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				s.RecordNotice(endpoints(s)[0], "request", slow)
				return hear(ctx, gate)
			}
		}, false),
	)
})
