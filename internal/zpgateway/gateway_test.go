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
	DescribeTable("answers, or refuses with a true run state",
		func(routeName string, steps []step, status int, state zperror.RunState, runs int) {
			s := newSite(steps...)
			r := s.serve(request(routeName))
			Expect(s.runner.runs).To(HaveLen(runs))
			if state == zperror.RunStateRan {
				Expect(r.refused).To(BeNil())
				Expect(r.status).To(Equal(status))
				return
			}
			expectRefused(r, status, state)
		},
		Entry("a booking that runs", "book", []step{answers(200, "ok")}, 200, zperror.RunStateRan, 1),
		Entry("a booking that an endpoint refuses goes to another", "book", []step{refuses(503), answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a booking without a connection goes to another", "book", []step{noConnection, answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a booking whose answer is lost is not sent again", "book", []step{resets}, 502, zperror.RunStateUnknown, 1),
		Entry("a booking whose answer breaks off is not sent again", "book", []step{breaksOff("o")}, 502, zperror.RunStateUnknown, 1),
		Entry("a booking without an answer in time", "book", []step{silent}, 504, zperror.RunStateUnknown, 1),
		Entry("a booking that all endpoints refuse has not run", "book", []step{refuses(503)}, 503, zperror.RunStateNotRun, 3),
		Entry("a status that promises too much is not passed on", "book", []step{answers(503, "")}, 502, zperror.RunStateUnknown, 1),
		Entry("an unsigned success is not passed on", "book", []step{answers(200, "x", func(a *zpgateway.Answer) { a.Sealed = false })}, 502, zperror.RunStateUnknown, 1),
		Entry("a compressed answer is not passed on", "book", []step{answers(200, "x", func(a *zpgateway.Answer) { a.Encoded = true })}, 502, zperror.RunStateUnknown, 1),
		Entry("a failure of the endpoint is passed on", "book", []step{answers(500, "bad")}, 500, zperror.RunStateRan, 1),
		Entry("a read whose answer is lost is sent again", "read", []step{resets, answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a read without an answer is sent again while it can be on time", "read", []step{silent, answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a stream that may be resumed likewise", "tag", []step{silent, answers(200, events)}, 200, zperror.RunStateRan, 2),
		Entry("a stream that may not be resumed waits", "draft", []step{silent}, 504, zperror.RunStateUnknown, 1),
		Entry("a read that fails is sent again", "read", []step{answers(500, "bad"), answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a read runs on no more endpoints than allowed", "read", []step{answers(500, "bad")}, 500, zperror.RunStateRan, 2),
		Entry("a read that failed once and is refused then gets the failure", "read", []step{answers(500, "bad"), refuses(503)}, 500, zperror.RunStateRan, 3),
		Entry("a read after a lost run is not said not to have run", "read", []step{resets, refuses(503)}, 502, zperror.RunStateUnknown, 3),
		Entry("a stream that was not begun is not sent again unless it may be", "draft", []step{resets}, 502, zperror.RunStateUnknown, 1),
	)

	It("never says of a request that ran on one endpoint that it has not run", func() {
		s := newSite(resets, noConnection)
		expectRefused(s.serve(request("read")), http.StatusBadGateway, zperror.RunStateUnknown)
	})

	It("does not give up a silent run if no other endpoint could take the request", func() {
		s := newSite(silent, answers(http.StatusOK, "ok"))
		s.Registry.Remove("e2", time.Now())
		s.Registry.Remove("e3", time.Now())
		expectRefused(s.serve(request("read")), http.StatusGatewayTimeout, zperror.RunStateUnknown)
		Expect(s.runner.runs).To(HaveLen(1))
	})

	It("ends its watch over a run before the request goes on", func() {
		// Runs that break just when the watch looks; the race detector judges.
		late := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
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
				newSite(late, answers(http.StatusOK, "ok")).serve(request("read"))
			})
		}
		all.Wait()
	})

	It("passes the answer on unchanged", func() {
		r := newSite(answers(http.StatusOK, "ok")).serve(request("book"))
		expectAnswer(r, http.StatusOK, "ok")
		Expect(r.header.Get("X-From")).To(Equal("endpoint"))
	})

	Describe("streams", func() {
		It("passes whole events on", func() {
			expectAnswer(newSite(answers(http.StatusOK, events)).serve(request("draft")), http.StatusOK, events)
		})

		It("continues a broken stream elsewhere after the last whole event", func() {
			s := newSite(breaksOff("id: 1\ndata: a\n\nid: 2\nda"), answers(http.StatusOK, "id: 2\ndata: b\n\n"))
			expectAnswer(s.serve(request("tag")), http.StatusOK, events)
			Expect(s.runner.runs[1].ResumeAfter).To(Equal("1"))
			Expect(s.runner.runs[1].Endpoint.ID).NotTo(Equal(s.runner.runs[0].Endpoint.ID))
		})

		DescribeTable("breaks the caller's connection when the stream cannot go on",
			func(routeName string, steps ...step) {
				r := newSite(steps...).serve(request(routeName))
				Expect(r.aborted).To(BeTrue())
				Expect(r.body.String()).To(Equal("id: 1\ndata: a\n\n"))
			},
			Entry("it may not be resumed", "draft", breaksOff("id: 1\ndata: a\n\nid")),
			Entry("it breaks on every endpoint", "tag", breaksOff("id: 1\ndata: a\n\n"), resets),
			Entry("it ends within an event", "draft", answers(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda")),
		)

		It("ends when the caller is gone", func() {
			s := newSite(answers(http.StatusOK, events))
			reply := &fakeReply{broken: true}
			s.Serve(context.Background(), request("tag"), reply)
			Expect(reply.aborted).To(BeTrue())
			Expect(s.runner.runs).To(HaveLen(1))
		})
	})

	Describe("callers that leave", func() {
		It("cancels a read", func() {
			ctx, cancel := context.WithCancel(context.Background())
			s := newSite(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
				cancel()
				return silent(ctx, gate)
			})
			reply := &fakeReply{}
			s.Serve(ctx, request("read"), reply)
			Expect(reply.aborted).To(BeTrue())
			Expect(s.runner.runs).To(HaveLen(1))
		})

		It("lets a booking finish", func() {
			ctx, cancel := context.WithCancel(context.Background())
			s := newSite(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
				cancel()
				Expect(ctx.Err()).NotTo(HaveOccurred())
				return answers(http.StatusOK, "ok")(ctx, gate)
			})
			reply := &fakeReply{}
			s.Serve(ctx, request("book"), reply)
			expectAnswer(reply, http.StatusOK, "ok")
		})
	})

	DescribeTable("refuses what it must not pass on",
		func(change func(q *zpgateway.Request), status int) {
			s := newSite(answers(http.StatusOK, "ok"))
			q := request("book")
			change(q)
			expectRefused(s.serve(q), status, zperror.RunStateNotRun)
			Expect(s.runner.runs).To(BeEmpty())
		},
		Entry("an unknown host", func(q *zpgateway.Request) { q.Host = "other" }, 404),
		Entry("an unknown path", func(q *zpgateway.Request) { q.Path = "/none/1" }, 404),
		Entry("an unknown key", func(q *zpgateway.Request) { q.Key = "none" }, 401),
		Entry("no id", func(q *zpgateway.Request) { q.ID = "" }, 400),
		Entry("no time left", func(q *zpgateway.Request) { q.ReceivedAt = time.Now().Add(-2 * time.Second) }, 503),
	)

	It("answers 503 while it knows no configuration", func() {
		s := newSite()
		s.Catalog = func() *zpcatalog.Catalog { return nil }
		expectRefused(s.serve(request("book")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
	})

	It("hands over the time that is left", func() {
		s := newSite(answers(http.StatusOK, "ok"))
		q := request("book")
		q.ReceivedAt = time.Now().Add(-600 * time.Millisecond)
		s.serve(q)
		Expect(s.runner.runs[0].Left).To(BeNumerically("~", 400*time.Millisecond, 50*time.Millisecond))
	})

	It("refuses a request that was present at the falls of two endpoints", func() {
		s := newSite(resets)
		for range 3 {
			s.serve(request("book"))
			if e, ok := s.Registry.Find(s.runner.runs[len(s.runner.runs)-1].Endpoint.ID); ok {
				s.EndpointGone(e)
				s.Registry.Remove(e.ID, time.Now())
			}
		}
		Expect(s.runner.runs).To(HaveLen(2))
	})
})
