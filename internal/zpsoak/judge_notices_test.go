package zpsoak

import (
	"fmt"
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var _ = Describe("checkNotices", func() {
	DescribeTable("checks that endpoints that leave get no requests from daemons that they have told",
		func(status, sentMS int, t faultWindow, isViolation bool) {
			r := newTestRun(1)
			for id, ms := range map[string]int{"told": 1_000, "later": sentMS} {
				r.requestLog.add(request{ID: id, Kind: "read", SentAt: at(ms), DoneAt: at(ms + 50), Status: http.StatusOK, Complete: true})
				r.addRun(id, "i-1-1", "b", ms+10)
			}
			r.requestLog.requests[slices.IndexFunc(r.requestLog.requests, func(q request) bool { return q.ID == "told" })].Status = status
			r.cluster.log.RecordNotice(zpoutside.Notice{Request: "told", Endpoint: "i-1-1", At: at(1_010), Leaving: true})
			r.faults.faultWindows = []faultWindow{t}
			if isViolation {
				expectViolation(r, "leaving")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("soon after", 200, 3_000, faultWindow{Kind: PeerCut, Target: 1}, false),
		Entry("later", 200, 5_000, faultWindow{Kind: PeerCut, Target: 1}, true),
		Entry("later, after a restart", 200, 5_000, faultWindow{Kind: DaemonKill, From: at(2_000), To: at(3_000)}, false),
		Entry("later, but the response that told it was cut", 502, 5_000, faultWindow{Kind: PeerCut, Target: 1}, false),
	)

	It("takes no notice for passed on with a response that another endpoint may have given", func() {
		r := newTestRun(1)
		for id, ms := range map[string]int{"told": 1_000, "later": 5_000} {
			r.requestLog.add(request{ID: id, Kind: "read", SentAt: at(ms), DoneAt: at(ms + 50), Status: http.StatusOK, Complete: true})
			r.addRun(id, "i-1-1", "b", ms+10)
		}
		r.addRun("told", "i-0-1", "a", 1_030)
		r.cluster.log.RecordNotice(zpoutside.Notice{Request: "told", Endpoint: "i-1-1", At: at(1_010), Leaving: true})
		expectNoViolation(r)
	})

	DescribeTable("checks that endpoints that want no requests get few from daemons that they have told",
		func(arrivals int, isViolation bool) {
			r := newTestRun(1)
			for n := range arrivals {
				id := fmt.Sprintf("q-%d", n)
				r.requestLog.add(request{ID: id, Kind: "read", SentAt: at(1_000 * n), DoneAt: at(1_000*n + 50), Status: http.StatusServiceUnavailable})
				r.cluster.log.RecordNotice(zpoutside.Notice{Request: id, Endpoint: "i-0-1", At: at(1_000 * n), QuietUntil: at(10_000)})
			}
			if isViolation {
				expectViolation(r, "quiet")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("two after the first", 3, false),
		Entry("three after the first", 4, true),
	)
})
