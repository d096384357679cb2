package zpsoak

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("evaluate, with daemons that are out of step", func() {
	// takeUp returns a run in which a stream that began at daemon 0 is taken up at daemon 1, from
	// 5 s on, by an attempt with the status and events given.
	takeUp := func(daemon, ms, status int, events ...event) *run {
		r := newTestRun(2)
		r.faults.faultWindows = []faultWindow{
			{Kind: OutOfStep, Daemons: []int{1}, From: at(4_000), To: at(8_000)}, {Kind: StreamsBreak, From: at(4_000), To: at(8_000)},
		}
		r.requestLog.add(request{
			ID: "m", Kind: "stream", SentAt: at(ms - 500), DoneAt: at(ms - 100), Status: http.StatusOK, Interrupted: true, Events: []event{{Number: 1, Version: "v2"}},
		})
		r.requestLog.add(request{
			ID: "m-1", Kind: "stream", Daemon: daemon, IsRetry: true, Resumes: "m", ResumeAfter: 1, SentAt: at(ms), DoneAt: at(ms + 500), Status: status, Events: events,
			Complete: status == http.StatusOK,
		})
		return r
	}
	ofUnknownOrigin := func(r *run) *run {
		r.requestLog.requests[1].Code = parseErrorCode([]byte(`{"code":"stream_origin_unknown","run_state":"not_run"}`))
		return r
	}

	DescribeTable("counts the streams that are taken up there", func(r *run, expected TakenUp) {
		Expect(r.countTakenUp()).To(Equal(expected))
	},
		Entry("refused", takeUp(1, 5_000, http.StatusServiceUnavailable), TakenUp{Sent: 1, Newer: 1, Refused: 1}),
		Entry("refused, of unknown origin", ofUnknownOrigin(takeUp(1, 5_000, http.StatusServiceUnavailable)), TakenUp{Sent: 1, Newer: 1, Refused: 1, Unknown: 1}),
		Entry("gone on", takeUp(1, 5_000, http.StatusOK, event{Number: 2, Version: "v2"}), TakenUp{Sent: 1, Newer: 1, WentOn: 1}),
		Entry("joined", takeUp(1, 5_000, http.StatusOK, event{Number: 2, Version: "v1"}), TakenUp{Sent: 1, Newer: 1, WentOn: 1, Joined: 1}),
		Entry("broken off before an event", takeUp(1, 5_000, http.StatusOK), TakenUp{Sent: 1, Newer: 1}),
		Entry("not those at another daemon", takeUp(0, 5_000, http.StatusServiceUnavailable), TakenUp{}),
		Entry("not those before", takeUp(1, 3_900, http.StatusServiceUnavailable), TakenUp{}),
		Entry("not those after", takeUp(1, 8_100, http.StatusServiceUnavailable), TakenUp{}),
	)

	It("reports a stream that was joined there", func() {
		expectViolation(takeUp(1, 5_000, http.StatusOK, event{Number: 2, Version: "v1"}), "event-order")
	})

	It("reports no stream that goes on at its version or is refused", func() {
		expectNoViolation(takeUp(1, 5_000, http.StatusOK, event{Number: 2, Version: "v2"}))
		expectNoViolation(takeUp(1, 5_000, http.StatusServiceUnavailable))
	})
})
