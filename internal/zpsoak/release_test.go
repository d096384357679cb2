package zpsoak

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("planUpgrade", func() {
	It("upgrades each daemon once, one after the other, before the faults end", func() {
		for seed := range uint64(20) {
			targets := map[int]bool{}
			var last time.Duration
			for _, f := range planUpgrade(seed, 40*time.Second, 6) {
				Expect(f.Kind).To(Equal(DaemonStop))
				Expect(f.At).To(BeNumerically(">=", last+f.Duration))
				Expect(f.At + f.Duration).To(BeNumerically("<", 40*time.Second-recoveryTime))
				targets[f.Target], last = true, f.At
			}
			Expect(targets).To(HaveLen(6))
		}
	})

	It("is the same for the same seed", func() {
		Expect(planUpgrade(7, time.Minute, 6)).To(Equal(planUpgrade(7, time.Minute, 6)))
		Expect(planUpgrade(7, time.Minute, 6)).NotTo(Equal(planUpgrade(8, time.Minute, 6)))
	})
})

var _ = Describe("beginUntil", func() {
	f := Fault{Kind: DaemonStop, Target: 1}

	It("waits until another fault of the daemon has ended", func(ctx SpecContext) {
		i := &injector{activeScopes: map[string]bool{f.scope(): true}}
		time.AfterFunc(50*time.Millisecond, func() { i.end(f) })
		Expect(i.beginUntil(ctx, f, time.Now().Add(time.Minute))).To(BeTrue())
	})

	It("gives up if that lasts too long", func(ctx SpecContext) {
		i := &injector{activeScopes: map[string]bool{f.scope(): true}}
		Expect(i.beginUntil(ctx, f, time.Now().Add(50*time.Millisecond))).To(BeFalse())
		Expect(i.activeScopes).To(HaveKey(f.scope()))
	})
})

var _ = Describe("countSeams", func() {
	// Daemon 0 is upgraded at its second start, daemon 1 is not.
	newUpgradedRun := func(first request) *run {
		r := newTestRun(2)
		r.faults.upgradedAt = map[int]int{0: 1}
		first.ID, first.Kind, first.Status, first.Interrupted = "x", "stream", http.StatusOK, true
		first.Events = []event{{Number: 1, Version: "v1"}}
		r.requestLog.add(first)
		return r
	}
	takeUp := func(r *run, q request) seams {
		q.ID, q.Kind, q.Resumes, q.ResumeAfter = "x-1", "stream", "x", 1
		r.requestLog.add(q)
		return r.countSeams()
	}
	next := func(version string) []event { return []event{{Number: 2, Version: version}} }

	DescribeTable("tells apart the builds at which streams began and were taken up",
		func(began, taken request, from, to int) {
			taken.Status, taken.Events = http.StatusOK, next("v1")
			var expected seams
			expected[from][to] = seamCount{Sent: 1, WentOn: 1}
			Expect(takeUp(newUpgradedRun(began), taken)).To(Equal(expected))
		},
		Entry("both at the first", request{}, request{Daemon: 1}, 0, 0),
		Entry("from the first to the other", request{Daemon: 1}, request{Incarnation: 1}, 0, 1),
		Entry("back", request{Incarnation: 1}, request{Daemon: 1}, 1, 0),
		Entry("both at the other", request{Incarnation: 1}, request{Incarnation: 2}, 1, 1),
	)

	DescribeTable("tells apart what became of them",
		func(taken request, expected seamCount) {
			Expect(takeUp(newUpgradedRun(request{}), taken)[0][0]).To(Equal(expected))
		},
		Entry("it went on and broke off again", request{Status: http.StatusOK, Events: next("v1"), Interrupted: true}, seamCount{Sent: 1, WentOn: 1}),
		Entry("it had ended", request{Status: http.StatusOK, Complete: true}, seamCount{Sent: 1, WentOn: 1}),
		Entry("it went on at another version", request{Status: http.StatusOK, Events: next("v2")}, seamCount{Sent: 1, Joined: 1}),
		Entry("it was refused", request{Status: http.StatusServiceUnavailable, Code: codeOriginUnknown}, seamCount{Sent: 1, Refused: 1}),
		Entry("it was refused for another reason", request{Status: http.StatusServiceUnavailable, Code: "overloaded"}, seamCount{Sent: 1, Failed: 1}),
		Entry("the connection was lost", request{Interrupted: true}, seamCount{Sent: 1, Failed: 1}),
		Entry("the caller left", request{Interrupted: true, CanceledAt: at(100)}, seamCount{}),
	)
})

var _ = Describe("parseErrorCode", func() {
	It("returns the code of an error of a daemon, and nothing for another body", func() {
		Expect(parseErrorCode([]byte(`{"code":"stream_origin_unknown","message":"m","remedy":"r","run_state":"not_run"}`))).To(Equal(codeOriginUnknown))
		Expect(parseErrorCode([]byte("no such page"))).To(BeEmpty())
	})
})
