package zpsoak

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTestRun returns a run without faults or requests; specs add their own.
func newTestRun(daemons int) *run {
	return &run{
		cluster:    &cluster{Config: Config{Daemons: daemons}, log: &zpoutside.Log{}},
		faults:     &injector{versions: []change{{Version: 1, From: at(0)}}, incarnations: make([]int, daemons)},
		requestLog: &requestLog{}, startedAt: at(0), endedAt: at(60_000),
	}
}

func (r *run) addServed(id string, daemon, ms int) {
	r.requestLog.add(request{ID: id, Kind: "read", Daemon: daemon, SentAt: at(ms), DoneAt: at(ms + 50), Status: http.StatusOK, Complete: true})
	r.addRun(id, "i-0-1", "a", ms+10)
}

func (r *run) addRun(id, endpoint, domain string, ms int) {
	r.cluster.log.RecordStart(zpoutside.Run{Request: id, Endpoint: endpoint, Domain: domain, At: at(ms)})
}

// withRecovery adds a served request of each daemon at the end of the run, so that
// only the guarantee under test can be violated.
func (r *run) withRecovery() *run {
	for d := range r.cluster.Daemons {
		r.addServed(fmt.Sprintf("end-%d", d), d, 58_000)
	}
	return r
}

func expectViolation(r *run, guarantee string) {
	GinkgoHelper()
	Expect(r.withRecovery().evaluate().Violations).To(ContainElement(HavePrefix(guarantee + ":")))
}

func expectNoViolation(r *run) {
	GinkgoHelper()
	Expect(r.withRecovery().evaluate().Violations).To(BeEmpty())
}

var _ = Describe("evaluate", func() {
	It("reports no violation in a run without faults", func() { expectNoViolation(newTestRun(2)) })

	It("reports a booking that ran twice", func() {
		r := newTestRun(1)
		r.requestLog.add(request{ID: "b", Kind: "book", SentAt: at(0), DoneAt: at(50), Status: http.StatusOK, Complete: true})
		r.addRun("b", "i-0-1", "a", 10)
		r.addRun("b", "i-1-1", "b", 20)
		expectViolation(r, "at-most-once")
	})

	It("reports a refused booking that ran", func() {
		r := newTestRun(1)
		r.requestLog.add(request{ID: "b", Kind: "book", SentAt: at(0), DoneAt: at(50), Status: http.StatusServiceUnavailable})
		r.addRun("b", "i-0-1", "a", 5_000)
		expectViolation(r, "not-run")
	})

	It("reports a response that is incomplete or of another request", func() {
		r := newTestRun(1)
		r.requestLog.add(request{ID: "x", Kind: "read", SentAt: at(0), DoneAt: at(50), Status: http.StatusOK, Body: zpoutside.Answer("y")})
		expectViolation(r, "whole-answers")
	})

	DescribeTable("checks interrupted connections",
		func(t faultWindow, isViolation bool) {
			r := newTestRun(1)
			t.From, t.To = at(0), at(1000)
			r.faults.faultWindows = []faultWindow{t}
			r.requestLog.add(request{ID: "x", Kind: "read", SentAt: at(100), DoneAt: at(150), Interrupted: true})
			r.addRun("x", "i-0-1", "a", 110)
			if isViolation {
				expectViolation(r, "graceful-stop")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports an interruption by SIGTERM", faultWindow{Kind: DaemonStop}, true),
		Entry("allows one by SIGKILL", faultWindow{Kind: DaemonKill}, false),
		Entry("allows one by a crash of the endpoint", faultWindow{Kind: EndpointCrash}, false),
		Entry("reports one during a crash of another endpoint", faultWindow{Kind: EndpointCrash, Target: 3}, true),
	)

	DescribeTable("checks work for a client that has disconnected",
		func(kind string, runStartMS, runEndMS int, t faultWindow, isViolation bool) {
			r := newTestRun(1)
			if t.From.IsZero() {
				t.From, t.To = at(0), at(20_000)
			}
			r.faults.faultWindows = []faultWindow{t}
			r.requestLog.add(request{ID: "x", Kind: kind, SentAt: at(10_000), DoneAt: at(10_100), CanceledAt: at(10_100), Interrupted: true})
			x := zpoutside.Run{Request: "x", Endpoint: "i-0-1", Domain: "a", At: at(runStartMS)}
			if runEndMS > 0 {
				x.Ended = at(runEndMS)
			}
			r.cluster.log.RecordStart(x)
			if isViolation {
				expectViolation(r, "departed")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports work that started too late", "read", 10_950, 10_960, faultWindow{}, true),
		Entry("reports work that started too late at a paused daemon", "read", 10_950, 10_960, faultWindow{Kind: DaemonPause}, true),
		Entry("reports a booking that started too late", "book", 10_950, 10_960, faultWindow{}, true),
		Entry("reports work that has not ended", "stream", 10_050, 0, faultWindow{}, true),
		Entry("reports work that ended too late", "stream", 10_050, 11_000, faultWindow{}, true),
		Entry("allows a booking to be completed", "book", 10_050, 11_000, faultWindow{}, false),
		Entry("allows late work of a paused daemon", "stream", 10_050, 11_000, faultWindow{Kind: DaemonPause}, false),
		Entry("allows late work behind a link that was cut all the while", "stream", 10_050, 11_000, faultWindow{Kind: EndpointCut}, false),
		Entry("allows late work behind a link that was cut after the work started", "stream", 10_050, 12_000, faultWindow{Kind: EndpointCut, From: at(10_060), To: at(11_900)}, false),
		Entry("reports late work behind a link that was cut after the time limit", "stream", 10_050, 12_000, faultWindow{Kind: EndpointCut, From: at(10_950), To: at(11_900)}, true),
		Entry("reports late work when the link of another endpoint was cut", "stream", 10_050, 12_000, faultWindow{Kind: EndpointCut, Target: 3, From: at(10_060), To: at(11_900)}, true),
		Entry("allows work that ended in time", "stream", 10_050, 10_500, faultWindow{}, false),
	)

	It("does not check work for a disconnected client beyond the end of the run", func() {
		r := newTestRun(1)
		r.requestLog.add(request{ID: "x", Kind: "stream", SentAt: at(59_000), DoneAt: at(59_500), CanceledAt: at(59_500), Interrupted: true})
		r.cluster.log.RecordStart(zpoutside.Run{Request: "x", Endpoint: "i-0-1", Domain: "a", At: at(59_010)})
		expectNoViolation(r)
	})

	DescribeTable("checks work in a failure domain that was taken out",
		func(ms int, t faultWindow, isViolation bool) {
			r := newTestRun(1)
			r.faults.evacuated = []change{{Name: "a", From: at(0), To: at(20_000)}}
			r.faults.faultWindows = []faultWindow{t}
			r.addServed("x", 0, ms)
			if isViolation {
				expectViolation(r, "out-of-service")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports work after the time limit", 6_000, faultWindow{}, true),
		Entry("allows work before the time limit", 4_000, faultWindow{}, false),
		Entry("allows work through a daemon that is cut off from the store", 6_000, faultWindow{Kind: StoreCut, From: at(0), To: at(9_000)}, false),
		Entry("allows work after the domain was brought back", 21_000, faultWindow{}, false),
	)

	It("reports too many requests to a cold endpoint", func() {
		r := newTestRun(1)
		for i := range 15 {
			id := fmt.Sprint(i)
			r.requestLog.add(request{ID: id, Kind: "read", SentAt: at(0), DoneAt: at(900), Status: http.StatusOK, Complete: true})
			r.cluster.log.RecordStart(zpoutside.Run{Request: id, Endpoint: "i-0-2", At: at(60 * i), Cold: true})
		}
		expectViolation(r, "cold-start")
	})

	It("reports retries beyond the budget", func() {
		r := newTestRun(1)
		for i := range 100 {
			r.addServed(fmt.Sprint(i), 0, 10*i)
			r.addRun(fmt.Sprint(i), "i-1-1", "b", 10*i+20)
		}
		expectViolation(r, "retry-budget")
	})

	DescribeTable("checks requests with a part that crashes endpoints",
		func(crashes, sends, firstMS int, parts string, t faultWindow, isViolation bool) {
			r := newTestRun(1)
			r.faults.faultWindows = []faultWindow{t}
			for i := range crashes {
				r.faults.partCrashes = append(r.faults.partCrashes, at(1_000*i))
			}
			for i := range sends {
				ms := firstMS + 100*i
				r.requestLog.add(request{ID: fmt.Sprint(i), Kind: "stream", Parts: parts, SentAt: at(ms), DoneAt: at(ms + 50), Interrupted: true})
				r.addRun(fmt.Sprint(i), "i-0-1", "a", ms+10)
			}
			if isViolation {
				expectViolation(r, "deadly-part")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports the fourth after the time limit", 5, 4, 8_500, "dead:20", faultWindow{}, true),
		Entry("allows three after the time limit", 5, 3, 8_500, "dead:20", faultWindow{}, false),
		Entry("allows them before the time limit", 5, 4, 7_500, "dead:20", faultWindow{}, false),
		Entry("allows them without a fifth crash", 4, 4, 8_500, "dead:20", faultWindow{}, false),
		Entry("allows them of a daemon that is cut off from the others", 5, 4, 8_500, "dead:20", faultWindow{Kind: PeerCut, From: at(8_000), To: at(9_000)}, false),
		Entry("reports them of a daemon that was paused long before", 5, 4, 8_500, "dead:20", faultWindow{Kind: DaemonPause, From: at(0), To: at(4_000)}, true),
	)

	events := func(version string, numbers ...int) (out []event) {
		for _, n := range numbers {
			out = append(out, event{Number: n, Version: version})
		}
		return out
	}
	DescribeTable("checks the events of a stream over the attempts of its client",
		func(first, second []event, resumeAfter int, isViolation bool) {
			r := newTestRun(1)
			r.requestLog.add(request{ID: "s", Kind: "stream", SentAt: at(0), DoneAt: at(50), Status: http.StatusOK, Interrupted: true, Events: first})
			r.requestLog.add(request{ID: "s-1", Kind: "stream", Resumes: "s", ResumeAfter: resumeAfter, SentAt: at(60), DoneAt: at(90), Status: http.StatusOK, Interrupted: true, Events: second})
			if isViolation {
				expectViolation(r, "event-order")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("allows the rest of the stream", events("v1", 1, 2), events("v1", 3, 4), 2, false),
		Entry("allows a second attempt without events", events("v1", 1, 2), nil, 2, false),
		Entry("reports an event that comes twice", events("v1", 1, 2, 2), nil, 2, true),
		Entry("reports a missing event", events("v1", 1, 3), nil, 3, true),
		Entry("reports an event that comes again in the second attempt", events("v1", 1, 2), events("v1", 2, 3), 2, true),
		Entry("reports a missing event between the attempts", events("v1", 1, 2), events("v1", 4), 2, true),
		Entry("reports the rest of the stream from another version", events("v1", 1, 2), events("v2", 3), 2, true),
		Entry("reports an event of another request", events("v1", 1), []event{{Number: 2, Err: http.ErrNotSupported}}, 1, true),
	)

	DescribeTable("checks refusals of prompts",
		func(parts string, status int, isViolation bool) {
			r := newTestRun(1)
			r.requestLog.add(request{ID: "x", Kind: "stream", Parts: parts, SentAt: at(0), DoneAt: at(50), Status: status})
			if isViolation {
				expectViolation(r, "sound-prompts")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports one of a sound prompt", "system:40", http.StatusBadRequest, true),
		Entry("allows one that asks to send the prompt again", "system:40", http.StatusServiceUnavailable, false),
		Entry("allows one of a prompt with the deadly part", "system:40,dead:20", http.StatusBadRequest, false),
	)

	DescribeTable("checks the configuration version in effect",
		func(status, ms, oldVersionMS int, isViolation bool) {
			r := newTestRun(1)
			r.faults.versions = append(r.faults.versions, change{Version: 2, From: at(1_000)})
			r.requestLog.add(request{ID: "c1", Kind: "cfg", Version: 2, SentAt: at(ms), DoneAt: at(ms + 10), Status: status, Complete: true})
			r.requestLog.add(request{ID: "c2", Kind: "cfg", Version: 1, SentAt: at(oldVersionMS), DoneAt: at(oldVersionMS + 10), Status: http.StatusOK, Complete: true})
			if isViolation {
				expectViolation(r, "configuration")
			} else {
				expectNoViolation(r)
			}
		},
		Entry("reports a version that is not in effect after the time limit", http.StatusNotFound, 5_000, 500, true),
		Entry("allows a version that is not in effect before the time limit", http.StatusNotFound, 3_000, 500, false),
		Entry("reports a daemon that reverts to an older version", http.StatusOK, 2_000, 2_500, true),
	)

	It("reports a daemon that does not serve at the end of the run", func() {
		Expect(newTestRun(2).evaluate().Violations).To(HaveLen(2))
	})
})

var _ = Describe("Plan", func() {
	It("is the same for the same seed", func() {
		Expect(Plan(7, time.Minute, 6, 6, 3)).To(Equal(Plan(7, time.Minute, 6, 6, 3)))
		Expect(Plan(7, time.Minute, 6, 6, 3)).NotTo(Equal(Plan(8, time.Minute, 6, 6, 3)))
	})

	It("ends with a period without faults and covers each kind of fault over 40 seeds", func() {
		kinds := map[Kind]bool{}
		for seed := range uint64(40) {
			for _, f := range Plan(seed, 40*time.Second, 6, 6, 3) {
				Expect(f.At + f.Duration).To(BeNumerically("<=", 40*time.Second-recoveryTime))
				kinds[f.Kind] = true
			}
		}
		Expect(kinds).To(HaveLen(len(faultSpecs)))
	})
})
