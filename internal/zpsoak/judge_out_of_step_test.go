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
		counted, _ := r.countTakenUp()
		Expect(counted).To(Equal(expected))
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

	DescribeTable("counts the streams of a drawn shape by what met", func(met faultWindow, way string, expected ...string) {
		r := takeUp(1, 5_000, http.StatusServiceUnavailable)
		r.faults.faultWindows[0].Shape = []string{"release_third"}
		r.faults.faultWindows = append(r.faults.faultWindows, met)
		r.requestLog.requests[1].Way = way
		_, moments := r.countTakenUp()
		var names []string
		for name, t := range moments {
			Expect(t).To(Equal(TakenUp{Sent: 1, Newer: 1, Refused: 1}))
			names = append(names, name)
		}
		Expect(names).To(ConsistOf(append(expected, "release_third")))
	},
		Entry("before the daemon is out of step", faultWindow{Kind: PeersCut, Target: 1, From: at(6_000)}, "", "not_yet"),
		Entry("while it is", faultWindow{Kind: PeersMute, Target: 1, From: at(4_800), To: at(5_200)}, "", "during"),
		Entry("after that", faultWindow{Kind: DaemonPause, Target: 1, From: at(4_100), To: at(4_400)}, wayTwice, "back_in_step", "caller_twice"),
		Entry("after the daemon at which it began was killed", faultWindow{Kind: DaemonKill, From: at(4_600), To: at(4_700)}, "", "not_yet", "beginner_killed", "beginner_struck"),
		Entry("after that one was killed before", faultWindow{Kind: DaemonKill, From: at(4_100), To: at(4_400)}, "", "not_yet"),
		Entry("after another was cut off", faultWindow{Kind: PeersCut, Target: 2, From: at(4_100), To: at(4_600)}, "", "not_yet", "other_struck"),
		Entry("beside an outage of the store", faultWindow{Kind: StoreDown, From: at(4_900)}, "", "not_yet", "beside_store"),
		Entry("beside a configuration", faultWindow{Kind: Reconfigure, From: at(4_700), To: at(4_700)}, wayUnnamed, "not_yet", "beside_configuration", "caller_unnamed"),
	)

	It("counts no moments in the plain shape", func() {
		_, moments := takeUp(1, 5_000, http.StatusServiceUnavailable).countTakenUp()
		Expect(moments).To(BeEmpty())
	})

	It("reports a stream that was joined there", func() {
		expectViolation(takeUp(1, 5_000, http.StatusOK, event{Number: 2, Version: "v1"}), "event-order")
	})

	It("reports no stream that goes on at its version or is refused", func() {
		expectNoViolation(takeUp(1, 5_000, http.StatusOK, event{Number: 2, Version: "v2"}))
		expectNoViolation(takeUp(1, 5_000, http.StatusServiceUnavailable))
	})
})
