package zpgateway_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("A request that finds no room", func() {
	// In the pool of the test gateway, 600 requests to a plain service can start per second.
	const priority = 0
	var s testGateway
	var running []*zpusage.RunningRequest

	BeforeEach(func() {
		s = newTestGateway(responds(http.StatusOK, "done"))
		running = nil
		for _, e := range s.Registry.Serving("pool", time.Now()) {
			for range 2 * e.Slots {
				running = append(running, s.Usage.Begin(e.ID, 0, 0))
			}
		}
	})

	// waitElsewhere reports requests that wait at another daemon.
	waitElsewhere := func(n int, isLate bool, at time.Time) {
		s.Usage.SetPeer("other", map[string]zpusage.Usage{zpusage.WaitingKey("pool", priority, isLate): {Requests: n, PrefillTokens: n}}, at)
	}
	serve := func() (*fakeReply, time.Duration) {
		startedAt := time.Now()
		r := s.serve(request("read"))
		return r, time.Since(startedAt)
	}

	It("is refused at once if what waits in the fleet takes longer than its caller waits", func() {
		waitElsewhere(5000, false, time.Now())
		r, took := serve()
		expectRefused(r, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		Expect(r.refused.RetryAfter).To(BeNumerically("~", 333*time.Millisecond, 50*time.Millisecond))
		Expect(s.runner.runs).To(BeEmpty())
	})

	DescribeTable("waits, and is served once there is room",
		func(prepare func()) {
			prepare()
			time.AfterFunc(100*time.Millisecond, func() {
				for _, r := range running {
					r.End()
				}
			})
			r, took := serve()
			expectResponse(r, http.StatusOK, "done")
			Expect(took).To(BeNumerically(">=", 100*time.Millisecond))
		},
		Entry("if little waits in the fleet", func() { waitElsewhere(100, false, time.Now()) }),
		Entry("if what waits in the fleet has missed its objective", func() { waitElsewhere(5000, true, time.Now()) }),
		Entry("if the daemon at which others waited is gone", func() { waitElsewhere(5000, false, time.Now().Add(-2*time.Second)) }),
		Entry("if nothing is known of others", func() {}),
	)

	// Guards against streams that are sent to an endpoint when their callers are about to leave.
	It("is refused when the caller of a stream would leave, not at its deadline", func() {
		for i := range s.Catalog().Routes {
			s.Catalog().Routes[i].Timeout = time.Minute
		}
		q := request("draft")
		q.Timeout = 20 * time.Second
		startedAt := time.Now()
		r := s.serve(q)
		expectRefused(r, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(time.Since(startedAt)).To(BeNumerically("~", 2*time.Second, 200*time.Millisecond))
		Expect(r.refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(r.refused.RetryAfter).To(BeNumerically("<=", 6*time.Second))
	})

	It("is no longer counted for other daemons once it has ended", func() {
		serve()
		own, _ := s.Usage.Own()
		Expect(own).NotTo(HaveKey(zpusage.WaitingKey("pool", priority, false)))
		Expect(own).NotTo(HaveKey(zpusage.WaitingKey("pool", priority, true)))
	})

	// Guards against a workspace that takes the room of others through several daemons.
	It("goes after others if its workspace has most of what waits at other daemons", func() {
		s.Usage.SetPeer("other", map[string]zpusage.Usage{
			zpusage.WaitingKey("pool", priority, true): {Requests: 50, PrefillTokens: 50}, zpusage.WaitingOfKey("pool", "w"): {Requests: 50, PrefillTokens: 50},
		}, time.Now())
		var all sync.WaitGroup
		for _, key := range []string{"k", "k2"} {
			q := request("read")
			q.APIKey = key
			all.Go(func() { s.serve(q) })
			Eventually(s.QueuedRequests).Should(BeNumerically(">", 0))
		}
		Eventually(s.QueuedRequests).Should(Equal(2))
		Consistently(s.QueuedRequests, "120ms").Should(Equal(2))
		running[0].End()
		all.Wait()
		Expect(s.runner.runs).To(HaveLen(2))
		Expect(s.runner.runs[0].Workspace).To(Equal("isolated"))
	})

	It("is refused with a time of return that its caller heeds if endpoints turn it away", func() {
		s = newTestGateway(refuses(http.StatusServiceUnavailable))
		s.Retries = &zpretry.Budgets{}
		q := request("book")
		q.Timeout = 600 * time.Millisecond
		r := s.serve(q)
		expectRefused(r, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(r.refused.RetryAfter).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
	})
})
