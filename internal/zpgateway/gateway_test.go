package zpgateway_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("Gateway", func() {
	DescribeTable("forwards a response or reports the correct run state",
		func(routeName string, steps []step, status int, state zperror.RunState, runs int) {
			s := newTestGateway(steps...)
			r := s.serve(request(routeName))
			Expect(s.runner.runs).To(HaveLen(runs))
			if state == zperror.RunStateRan {
				Expect(r.refused).To(BeNil())
				Expect(r.status).To(Equal(status))
				return
			}
			expectRefused(r, status, state)
		},
		Entry("a booking that runs", "book", []step{responds(200, "ok")}, 200, zperror.RunStateRan, 1),
		Entry("a booking that an endpoint refuses is sent to another", "book", []step{refuses(503), responds(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a booking whose connect fails is sent to another endpoint", "book", []step{dialFails, responds(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a booking whose connection is reset after the send is not sent again", "book", []step{resets}, 502, zperror.RunStateUnknown, 1),
		Entry("a booking whose response breaks off is not sent again", "book", []step{resetsAfter("o")}, 502, zperror.RunStateUnknown, 1),
		Entry("a booking without a response times out", "book", []step{neverResponds}, 504, zperror.RunStateUnknown, 1),
		Entry("a booking that all endpoints refuse has not run", "book", []step{refuses(503)}, 503, zperror.RunStateNotRun, 3),
		Entry("a status that implies not run without the endpoint's confirmation is not forwarded", "book", []step{responds(503, "")}, 502, zperror.RunStateUnknown, 1),
		Entry("an unsigned success is not forwarded", "book", []step{responds(200, "x", func(a *zpgateway.Response) { a.Sealed = false })}, 502, zperror.RunStateUnknown, 1),
		Entry("a compressed response is not forwarded", "book", []step{responds(200, "x", func(a *zpgateway.Response) { a.Compressed = true })}, 502, zperror.RunStateUnknown, 1),
		Entry("a 5xx response of the endpoint is forwarded", "book", []step{responds(500, "bad")}, 500, zperror.RunStateRan, 1),
		Entry("a read whose connection is reset after the send is sent again", "read", []step{resets, responds(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a read without a response is sent again before its deadline", "read", []step{neverResponds, responds(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a resumable stream without a response is sent again before its deadline", "tag", []step{neverResponds, responds(200, events)}, 200, zperror.RunStateRan, 2),
		Entry("a stream that is not resumable waits until its deadline", "draft", []step{neverResponds}, 504, zperror.RunStateUnknown, 1),
		Entry("a read with a 5xx response is sent again", "read", []step{responds(500, "bad"), responds(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a read is sent again only up to its maximum of attempts", "read", []step{responds(500, "bad")}, 500, zperror.RunStateRan, 2),
		Entry("a read that failed and is then refused gets the 5xx response", "read", []step{responds(500, "bad"), refuses(503)}, 500, zperror.RunStateRan, 3),
		Entry("a refused read whose first send may have run is not reported as not run", "read", []step{resets, refuses(503)}, 502, zperror.RunStateUnknown, 3),
		Entry("a stream that is not resumable is not sent again even before its first event", "draft", []step{resets}, 502, zperror.RunStateUnknown, 1),
	)

	It("refuses requests until the daemon has read the fleet's state", func() {
		s := newTestGateway(responds(http.StatusOK, "ok"))
		s.HasSynced = func() bool { return false }
		expectRefused(s.serve(request("book")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
		s.HasSynced = func() bool { return true }
		expectResponse(s.serve(request("book")), http.StatusOK, "ok")
	})

	It("does not report a request as not run if a later connect fails", func() {
		s := newTestGateway(resets, dialFails)
		expectRefused(s.serve(request("read")), http.StatusBadGateway, zperror.RunStateUnknown)
	})

	// Guards against callers who send a request again that runs already.
	DescribeTable("is not reported as not run if no endpoint is left after one that may have run it",
		func(first step, routeName string) {
			s := newTestGateway(first)
			s.runner.steps = []step{func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				response, err := first(ctx, gate)
				for _, id := range []string{"e1", "e2", "e3"} {
					s.Registry.Remove(id, time.Now())
				}
				return response, err
			}}
			r := s.serve(request(routeName))
			Expect(s.runner.runs).To(HaveLen(1))
			expectRefused(r, http.StatusBadGateway, zperror.RunStateUnknown)
		},
		Entry("a reset before the response", resets, "read"),
		Entry("a reset within the response", resetsAfter("o"), "read"),
		Entry("a response that is damaged", responds(200, "x", func(a *zpgateway.Response) { a.Sealed = false }), "read"),
		Entry("a status that implies not run", responds(503, ""), "read"),
		Entry("a stream that is reset before its first event", resets, "tag"),
		Entry("a stream that ends inside its first event", responds(200, "id: 1"), "tag"),
	)

	It("does not cancel a run without a first byte if no other endpoint can serve the request", func() {
		s := newTestGateway(neverResponds, responds(http.StatusOK, "ok"))
		s.Registry.Remove("e2", time.Now())
		s.Registry.Remove("e3", time.Now())
		expectRefused(s.serve(request("read")), http.StatusGatewayTimeout, zperror.RunStateUnknown)
		Expect(s.runner.runs).To(HaveLen(1))
	})

	It("stops the first-byte timer before it retries the request", func() {
		// The runs break just as the timer fires. Reading the job then is a data race,
		// which the race detector reports.
		late := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			sendByte(gate)
			select {
			case <-time.After(120*time.Millisecond + time.Duration(rand.Int64N(int64(time.Millisecond)))):
			case <-ctx.Done():
			}
			return nil, errReset
		}
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				defer GinkgoRecover()
				g := newTestGateway(late, responds(http.StatusOK, "ok"))
				for i := range g.Catalog().Routes {
					g.Catalog().Routes[i].Timeout = time.Minute
				}
				q := request("read")
				q.Timeout = time.Minute
				expectResponse(g.serve(q), http.StatusOK, "ok")
			})
		}
		all.Wait()
	})

	It("forwards the response unchanged", func() {
		r := newTestGateway(responds(http.StatusOK, "ok")).serve(request("book"))
		expectResponse(r, http.StatusOK, "ok")
		Expect(r.header.Get("X-From")).To(Equal("endpoint"))
	})

	Describe("streams", func() {
		It("forwards complete events", func() {
			expectResponse(newTestGateway(responds(http.StatusOK, events)).serve(request("draft")), http.StatusOK, events)
		})

		It("resumes a broken stream at another endpoint after the last complete event", func() {
			s := newTestGateway(resetsAfter("id: 1\ndata: a\n\nid: 2\nda"), responds(http.StatusOK, "id: 2\ndata: b\n\n"))
			expectResponse(s.serve(request("tag")), http.StatusOK, events)
			Expect(s.runner.runs[1].ResumeAfter).To(Equal("1"))
			Expect(s.runner.runs[1].Endpoint.ID).NotTo(Equal(s.runner.runs[0].Endpoint.ID))
		})

		DescribeTable("aborts the caller's connection if the stream cannot be resumed",
			func(routeName string, steps ...step) {
				r := newTestGateway(steps...).serve(request(routeName))
				Expect(r.aborted).To(BeTrue())
				Expect(r.body.String()).To(Equal("id: 1\ndata: a\n\n"))
			},
			Entry("the route is not resumable", "draft", resetsAfter("id: 1\ndata: a\n\nid")),
			Entry("the stream breaks on every endpoint", "tag", resetsAfter("id: 1\ndata: a\n\n"), resets),
			Entry("the stream ends inside an event", "draft", responds(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda")),
		)

		It("ends without a retry if writing to the caller fails", func() {
			s := newTestGateway(responds(http.StatusOK, events))
			reply := &fakeReply{failWrites: true}
			s.Serve(context.Background(), request("tag"), reply)
			Expect(reply.aborted).To(BeTrue())
			Expect(s.runner.runs).To(HaveLen(1))
		})
	})

	Describe("callers that disconnect", func() {
		It("cancels a read", func() {
			ctx, cancel := context.WithCancel(context.Background())
			s := newTestGateway(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				cancel()
				return neverResponds(ctx, gate)
			})
			reply := &fakeReply{}
			s.Serve(ctx, request("read"), reply)
			Expect(reply.aborted).To(BeTrue())
			Expect(s.runner.runs).To(HaveLen(1))
		})

		It("lets a booking finish", func() {
			ctx, cancel := context.WithCancel(context.Background())
			s := newTestGateway(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				sendByte(gate)
				cancel()
				Consistently(ctx.Done(), "20ms").ShouldNot(BeClosed())
				return responds(http.StatusOK, "ok")(ctx, gate)
			})
			reply := &fakeReply{}
			s.Serve(ctx, request("book"), reply)
			expectResponse(reply, http.StatusOK, "ok")
		})
	})

	DescribeTable("refuses requests that it must not send to an endpoint",
		func(change func(q *zpgateway.Request), status int) {
			s := newTestGateway(responds(http.StatusOK, "ok"))
			q := request("book")
			change(q)
			expectRefused(s.serve(q), status, zperror.RunStateNotRun)
			Expect(s.runner.runs).To(BeEmpty())
		},
		Entry("an unknown host", func(q *zpgateway.Request) { q.Host = "other" }, 404),
		Entry("an unknown path", func(q *zpgateway.Request) { q.Path = "/none/1" }, 404),
		Entry("an unknown key", func(q *zpgateway.Request) { q.APIKey = "none" }, 401),
		Entry("no request id", func(q *zpgateway.Request) { q.ID = "" }, 400),
		Entry("no time left", func(q *zpgateway.Request) { q.ReceivedAt = time.Now().Add(-2 * time.Second) }, 503),
	)

	It("responds with 503 until a configuration is loaded", func() {
		s := newTestGateway()
		s.Catalog = func() *zpcatalog.Catalog { return nil }
		expectRefused(s.serve(request("book")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
	})

	It("passes the remaining time to the endpoint", func() {
		s := newTestGateway(responds(http.StatusOK, "ok"))
		q := request("book")
		q.ReceivedAt = time.Now().Add(-600 * time.Millisecond)
		s.serve(q)
		Expect(s.runner.runs[0].Remaining).To(BeNumerically("~", 400*time.Millisecond, 50*time.Millisecond))
	})

	It("refuses a request that was running at crashes of two endpoints", func() {
		s := newTestGateway(resets)
		for range 3 {
			s.serve(request("book"))
			if e, ok := s.Registry.Find(s.runner.runs[len(s.runner.runs)-1].Endpoint.ID); ok {
				s.HandleEndpointRemoved(e)
				s.Registry.Remove(e.ID, time.Now())
			}
		}
		Expect(s.runner.runs).To(HaveLen(2))
	})
})
