package zpsoak

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var _ = Describe("evaluate, with daemons that are cut off from endpoints", func() {
	cutOff := func(kind Kind, fromMS, toMS int, daemons ...int) faultWindow {
		return faultWindow{Kind: kind, Stranded: Stranded{Daemons: daemons}, From: at(fromMS), To: at(toMS)}
	}
	// addAttempts adds requests to a daemon every 10 ms, of which the first ones fail.
	addAttempts := func(r *run, daemon, firstMS, count, failed int) {
		for i := range count {
			q := request{ID: fmt.Sprintf("a-%d-%d", daemon, i), Kind: "read", Daemon: daemon, SentAt: at(firstMS + 10*i), DoneAt: at(firstMS + 10*i + 5)}
			if q.Status, q.Complete = http.StatusOK, true; i < failed {
				q.Status, q.Complete = http.StatusServiceUnavailable, false
			}
			r.requestLog.add(q)
		}
	}

	DescribeTable("checks how often they serve",
		func(firstMS, failed, failedElsewhere int, isViolation bool, t faultWindow, more ...faultWindow) {
			r := newTestRun(2)
			r.faults.faultWindows = append(more, t)
			addAttempts(r, 0, firstMS, 100, failed)
			addAttempts(r, 1, firstMS, 100, failedElsewhere)
			if isViolation {
				expectViolation(r, "stranded-service")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports less than two thirds of the others", 5_000, 40, 0, true, cutOff(StrandedHang, 0, 9_000, 0)),
		Entry("reports a cut that lasts to the end of the run", 5_000, 40, 0, true, faultWindow{Kind: StrandedRefuse, Stranded: Stranded{Daemons: []int{0}}, From: at(0)}),
		Entry("allows two thirds of the others", 5_000, 33, 0, false, cutOff(StrandedHang, 0, 9_000, 0)),
		Entry("allows failures that others have as well", 5_000, 40, 40, false, cutOff(StrandedReset, 0, 9_000, 0)),
		Entry("allows them soon after the cut began", 2_900, 40, 0, false, cutOff(StrandedReset, 0, 9_000, 0)),
		Entry("allows them after the cut", 9_100, 40, 0, false, cutOff(StrandedReset, 0, 9_000, 0)),
		Entry("allows them of a daemon that was stopped as well", 5_000, 40, 0, false, cutOff(StrandedReset, 0, 9_000, 0), faultWindow{Kind: DaemonStop, From: at(4_000), To: at(5_000)}),
		Entry("reports them while an endpoint is down", 5_000, 40, 0, true, cutOff(StrandedReset, 0, 9_000, 0), faultWindow{Kind: EndpointCrash, From: at(4_000), To: at(5_000)}),
		Entry("reports them long after the daemon was stopped", 5_000, 40, 0, true, cutOff(StrandedReset, 0, 9_000, 0), faultWindow{Kind: DaemonStop, From: at(0), To: at(900)}),
		Entry("allows them while no other daemon is sound", 5_000, 40, 0, false, cutOff(StrandedReset, 0, 9_000, 0), faultWindow{Kind: DaemonKill, Target: 1, From: at(4_000), To: at(5_000)}),
		Entry("allows them where some endpoints are within reach", 5_000, 40, 0, false,
			faultWindow{Kind: StrandedHang, Stranded: Stranded{Daemons: []int{0}, Endpoints: []int{0}}, From: at(0), To: at(9_000)}),
	)

	It("allows few failures", func() {
		r := newTestRun(2)
		r.faults.faultWindows = []faultWindow{cutOff(StrandedHang, 0, 9_000, 0)}
		addAttempts(r, 0, 5_000, 11, 11)
		addAttempts(r, 1, 5_000, 100, 0)
		expectNoViolation(r)
	})

	It("counts first attempts only", func() {
		r := newTestRun(2)
		r.faults.faultWindows = []faultWindow{cutOff(StrandedHang, 0, 9_000, 0)}
		addAttempts(r, 0, 5_000, 100, 40)
		addAttempts(r, 1, 5_000, 100, 0)
		for i := range r.requestLog.requests {
			r.requestLog.requests[i].IsRetry = r.requestLog.requests[i].Daemon == 0
		}
		expectNoViolation(r)
	})

	DescribeTable("checks bookings that ran twice", func(t faultWindow) {
		r := newTestRun(2)
		t.From, t.To = at(0), at(9_000)
		r.faults.faultWindows = []faultWindow{t}
		r.requestLog.add(request{ID: "b", Kind: "book", SentAt: at(100), DoneAt: at(1_500), Status: http.StatusOK, Complete: true})
		r.addRun("b", "i-0-1", "a", 110)
		r.addRun("b", "i-1-1", "b", 1_120)
		expectViolation(r, "at-most-once")
	},
		Entry("reports one whose daemon was cut off", cutOff(StrandedHang, 0, 0, 0)),
		Entry("reports one whose endpoint was silent", faultWindow{Kind: EndpointSilent}),
	)

	DescribeTable("checks interrupted connections",
		func(sentMS int, isViolation bool, windows ...faultWindow) {
			r := newTestRun(2)
			r.faults.faultWindows = windows
			r.requestLog.add(request{ID: "x", Kind: "stream", SentAt: at(sentMS), DoneAt: at(sentMS + 200), Interrupted: true})
			r.addRun("x", "i-0-1", "a", sentMS+10)
			if isViolation {
				expectViolation(r, "graceful-stop")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("allows one that the cut has reset", 900, false, cutOff(StrandedReset, 1_000, 9_000, 0)),
		Entry("reports one that began after the cut", 2_000, true, cutOff(StrandedReset, 1_000, 9_000, 0)),
		Entry("reports one at a daemon that is not cut off", 900, true, cutOff(StrandedReset, 1_000, 9_000, 1)),
		Entry("reports one whose connection goes on", 900, true, cutOff(StrandedRefuse, 1_000, 9_000, 0)),
		Entry("allows one through a daemon that was killed", 2_000, false, cutOff(StrandedReset, 1_000, 9_000, 0), faultWindow{Kind: DaemonKill, Target: 1, From: at(2_100), To: at(3_000)}),
		Entry("reports one at a daemon that was cut off long before another was killed", 2_000, true, cutOff(StrandedReset, 100, 900, 0), faultWindow{Kind: DaemonKill, Target: 1, From: at(2_100), To: at(3_000)}),
		Entry("reports one through a daemon that was stopped", 2_000, true, cutOff(StrandedReset, 1_000, 9_000, 0), faultWindow{Kind: DaemonStop, Target: 1, From: at(2_100), To: at(3_000)}),
		Entry("reports one at an endpoint that was silent", 2_000, true, faultWindow{Kind: EndpointSilent, From: at(2_000), To: at(3_000)}),
	)

	DescribeTable("checks work for a client that has disconnected",
		func(sentMS int, isViolation bool, windows ...faultWindow) {
			r := newTestRun(2)
			r.faults.faultWindows = windows
			r.requestLog.add(request{ID: "x", Kind: "stream", SentAt: at(sentMS), DoneAt: at(sentMS + 100), CanceledAt: at(sentMS + 100), Interrupted: true})
			r.cluster.log.RecordStart(zpoutside.Run{Request: "x", Endpoint: "i-0-1", At: at(sentMS + 10), Ended: at(sentMS + 2_000)})
			if isViolation {
				expectViolation(r, "departed")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("allows it where the link holds the end of the connection", 900, false, cutOff(StrandedHang, 1_000, 9_000, 0)),
		Entry("reports it long after the cut began", 5_500, true, cutOff(StrandedHang, 1_000, 9_000, 0)),
		Entry("reports it where connections were reset", 900, true, cutOff(StrandedReset, 1_000, 9_000, 0)),
		Entry("allows it through a daemon that was paused", 5_500, false, cutOff(StrandedReset, 1_000, 9_000, 0), faultWindow{Kind: DaemonPause, Target: 1, From: at(5_500), To: at(7_000)}),
	)
})
