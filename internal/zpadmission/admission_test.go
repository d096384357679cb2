package zpadmission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

const (
	slots      = 8
	coldSlots  = 2
	queueLimit = 100
)

var start = time.Unix(1000, 0)

// everyone reports the callers of all queued requests as present.
func everyone(string) bool { return true }

func newLedger() *zpadmission.Ledger { return zpadmission.NewLedger(slots, coldSlots, queueLimit, 1) }

func report(warm bool, running int, at time.Time) zpadmission.Report {
	return zpadmission.Report{Boot: "b1", Warm: warm, Running: running, AsOf: at}
}

func request(id string) zpadmission.Request {
	return zpadmission.Request{ID: id, Holder: "h", Workspace: "w", Urgent: true, Cost: 10, MaxWait: time.Minute}
}

// ask queues n requests and returns the IDs of all requests granted next.
func ask(l *zpadmission.Ledger, a zpadmission.Authority, prefix string, n int, now time.Time) []string {
	for i := range n {
		_, queued := l.Enqueue(request(fmt.Sprintf("%s%d", prefix, i)), now)
		Expect(queued).To(BeTrue())
	}
	return grants(l.Decide(a, everyone, now))
}

func grants(decisions []zpadmission.Decision) []string {
	var out []string
	for _, d := range decisions {
		if d.Granted {
			out = append(out, d.ID)
		}
	}
	return out
}

// warmLedger returns a ledger of a warm endpoint without running requests.
func warmLedger(now time.Time) *zpadmission.Ledger {
	l := newLedger()
	l.Report(report(true, 0, now))
	for i := range slots {
		id := fmt.Sprintf("warm%d", i)
		Expect(ask(l, zpadmission.AuthorityFull, id, 1, now)).To(HaveLen(1))
		l.End(zpadmission.Result{ID: id + "0", Outcome: zpadmission.OutcomeOK, Boot: "b1", Total: time.Second}, now)
	}
	Expect(l.Phase()).To(Equal(zpadmission.PhaseWarm))
	return l
}

var _ = Describe("Ledger", func() {
	It("grants nothing before the first report", func() {
		Expect(ask(newLedger(), zpadmission.AuthorityFull, "r", 3, start)).To(BeEmpty())
	})

	It("grants a cold endpoint at most its cold slots", func() {
		l := newLedger()
		l.Report(report(false, 0, start))
		Expect(ask(l, zpadmission.AuthorityFull, "r", 5, start)).To(HaveLen(coldSlots))
	})

	It("grants a warm endpoint all its slots", func() {
		l := warmLedger(start)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 20, start)).To(HaveLen(slots))
	})

	It("keeps a quarter of the slots free for urgent requests", func() {
		l := warmLedger(start)
		for i := range 20 {
			r := request(fmt.Sprintf("o%d", i))
			r.Urgent = false
			l.Enqueue(r, start)
		}
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, start))).To(HaveLen(slots * 3 / 4))
	})

	It("grants only requests whose caller is present", func() {
		l := warmLedger(start)
		l.Enqueue(request("away"), start)
		Expect(grants(l.Decide(zpadmission.AuthorityFull, func(string) bool { return false }, start))).To(BeEmpty())
		Expect(l.IsQueued("away")).To(BeTrue())
	})

	It("adds up the prefill times of granted requests as the backlog", func() {
		l := warmLedger(start)
		for _, id := range []string{"a", "b"} {
			r := request(id)
			r.Prefill = 300 * time.Millisecond
			l.Enqueue(r, start)
		}
		l.Decide(zpadmission.AuthorityFull, everyone, start)
		Expect(l.Quote(zpadmission.AuthorityFull, start).Backlog).To(Equal(600 * time.Millisecond))
		Expect(l.Quote(zpadmission.AuthorityFull, start.Add(500*time.Millisecond)).Backlog).To(Equal(100 * time.Millisecond))
		Expect(l.Quote(zpadmission.AuthorityFull, start.Add(time.Second)).Backlog).To(BeZero())
	})

	It("grants nothing else beside a request that must run alone", func() {
		l := warmLedger(start)
		r := request("alone")
		r.Exclusive = true
		l.Enqueue(r, start)
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, start))).To(Equal([]string{"alone"}))
		Expect(ask(l, zpadmission.AuthorityFull, "r", 3, start)).To(BeEmpty())
	})

	It("drains the endpoint for a request that must run alone and has waited too long", func() {
		l := warmLedger(start)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 2, start)).To(HaveLen(2))
		alone := request("alone")
		alone.Exclusive = true
		l.Enqueue(alone, start)
		later := start.Add(zpadmission.ExclusiveDrainDelay + time.Millisecond)
		l.Report(report(true, 2, later))
		Expect(ask(l, zpadmission.AuthorityFull, "late", 2, later)).To(BeEmpty())
		for _, id := range []string{"r0", "r1"} {
			l.End(zpadmission.Result{ID: id, Outcome: zpadmission.OutcomeOK, Boot: "b1", Total: time.Second}, later)
		}
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, later))).To(Equal([]string{"alone"}))
	})

	It("refuses a request at once if its estimated wait exceeds MaxWait", func() {
		l := newLedger()
		r := request("r")
		r.MaxWait = time.Millisecond
		for i := range 5 {
			l.Enqueue(request(fmt.Sprintf("q%d", i)), start)
		}
		d, queued := l.Enqueue(r, start)
		Expect(queued).To(BeFalse())
		Expect(d.Code).To(Equal(zpadmission.CodeWaitTooLong))
		Expect(d.RetryAfter).To(BeNumerically(">", 0))
	})

	It("does not refuse a quiet workspace when another one has filled the queue", func() {
		l := zpadmission.NewLedger(slots, coldSlots, 20, 1)
		queuedCount := 0
		for i := range 100 {
			r := request(fmt.Sprintf("f%d", i))
			r.Workspace, r.MaxWait = "flood", 2*time.Second
			if _, queued := l.Enqueue(r, start); queued {
				queuedCount++
			}
		}
		Expect(queuedCount).To(BeNumerically("<=", 20))
		quiet := request("quiet")
		quiet.Workspace, quiet.MaxWait = "quiet", 2*time.Second
		_, queued := l.Enqueue(quiet, start)
		Expect(queued).To(BeTrue())
		l.Report(report(true, 0, start))
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, start))).To(ContainElement("quiet"))
	})

	It("refuses a request that has waited longer than MaxWait", func() {
		l := newLedger()
		l.Enqueue(request("r"), start)
		decisions := l.Decide(zpadmission.AuthorityFull, everyone, start.Add(2*time.Minute))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Code).To(Equal(zpadmission.CodeExpired))
	})
})

var _ = Describe("Authority", func() {
	DescribeTable("limits how many requests are granted",
		func(a zpadmission.Authority, warm bool, expected int) {
			l := newLedger()
			if warm {
				l = warmLedger(start)
			} else {
				l.Report(report(false, 0, start))
			}
			Expect(ask(l, a, "r", 20, start)).To(HaveLen(expected))
		},
		Entry("none, warm", zpadmission.AuthorityNone, true, 0),
		Entry("none, cold", zpadmission.AuthorityNone, false, 0),
		Entry("counting, warm", zpadmission.AuthorityRecovering, true, slots/2),
		Entry("counting, cold", zpadmission.AuthorityRecovering, false, 0),
		Entry("full, warm", zpadmission.AuthorityFull, true, slots),
		Entry("full, cold", zpadmission.AuthorityFull, false, coldSlots),
	)

	It("counts reservations that a previous owner granted", func() {
		l := newLedger()
		l.Report(report(false, 1, start))
		l.Adopt([]zpadmission.Holding{{ID: "x", Holder: "other"}}, start)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 3, start)).To(HaveLen(coldSlots - 1))
	})

	It("counts the requests of a lost holder until a later report shows their end", func() {
		l := newLedger()
		l.Report(report(false, 0, start))
		Expect(ask(l, zpadmission.AuthorityFull, "r", coldSlots, start)).To(HaveLen(coldSlots))
		l.DropHolder("h", start.Add(time.Second))
		Expect(ask(l, zpadmission.AuthorityFull, "s", 1, start.Add(time.Second))).To(BeEmpty())
		l.Report(report(false, 0, start.Add(500*time.Millisecond)))
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, start.Add(time.Second)))).To(BeEmpty())
		l.Report(report(false, 0, start.Add(2*time.Second)))
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, start.Add(2*time.Second)))).To(HaveLen(1))
	})

	It("removes reservations that their holder does not report", func() {
		l := newLedger()
		l.Report(report(false, 0, start))
		Expect(ask(l, zpadmission.AuthorityFull, "r", coldSlots, start)).To(HaveLen(coldSlots))
		later := start.Add(10 * time.Second)
		l.Reconcile("h", []zpadmission.Holding{{ID: "r0", Holder: "h"}}, later, later)
		Expect(ask(l, zpadmission.AuthorityFull, "s", 3, later)).To(HaveLen(1))
	})
})

var _ = Describe("Endpoint state", func() {
	DescribeTable("becomes suspect, without new requests, after a failed run",
		func(o zpadmission.Outcome) {
			l := warmLedger(start)
			Expect(ask(l, zpadmission.AuthorityFull, "r", 1, start)).To(HaveLen(1))
			l.End(zpadmission.Result{ID: "r0", Outcome: o}, start)
			Expect(ask(l, zpadmission.AuthorityFull, "s", 3, start)).To(BeEmpty())
		},
		Entry("refused", zpadmission.OutcomeRefused),
		Entry("broken", zpadmission.OutcomeBroken),
		Entry("overdue", zpadmission.OutcomeOverdue),
	)

	It("becomes cold when a response has a new boot ID", func() {
		l := warmLedger(start)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 1, start)).To(HaveLen(1))
		l.End(zpadmission.Result{ID: "r0", Outcome: zpadmission.OutcomeOK, Boot: "b2"}, start)
		Expect(ask(l, zpadmission.AuthorityFull, "s", 5, start)).To(HaveLen(coldSlots))
	})

	It("ignores responses and reports of an earlier boot", func() {
		l := warmLedger(start)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 2, start)).To(HaveLen(2))
		l.End(zpadmission.Result{ID: "r0", Outcome: zpadmission.OutcomeOK, Boot: "b2"}, start)
		l.End(zpadmission.Result{ID: "r1", Outcome: zpadmission.OutcomeBroken, Boot: "b1"}, start)
		Expect(l.Phase()).To(Equal(zpadmission.PhaseCold))
		l.Report(report(true, 0, start.Add(time.Second)))
		Expect(l.Phase()).To(Equal(zpadmission.PhaseCold))
	})

	It("stays suspect after a report made before the failure", func() {
		l := warmLedger(start)
		l.End(zpadmission.Result{Outcome: zpadmission.OutcomeBroken}, start.Add(time.Second))
		l.Report(report(true, 0, start.Add(900*time.Millisecond)))
		Expect(l.Phase()).To(Equal(zpadmission.PhaseSuspect))
		l.Report(report(true, 0, start.Add(1100*time.Millisecond)))
		Expect(l.Phase()).To(Equal(zpadmission.PhaseRamp))
	})

	It("is probed with one request when no report arrives", func() {
		l := warmLedger(start)
		l.End(zpadmission.Result{Outcome: zpadmission.OutcomeBroken}, start)
		later := start.Add(zpadmission.ProbeDelay)
		Expect(ask(l, zpadmission.AuthorityFull, "p", 4, later)).To(HaveLen(1))
		l.End(zpadmission.Result{ID: "p0", Outcome: zpadmission.OutcomeOK, Boot: "b1", Total: time.Second}, later)
		Expect(l.Phase()).To(Equal(zpadmission.PhaseCold))
	})

	It("falls back to the cold limit when the last warm evidence is too old", func() {
		l := warmLedger(start)
		later := start.Add(zpadmission.WarmEvidenceTTL + time.Millisecond)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 20, later)).To(HaveLen(coldSlots))
	})

	It("becomes suspect when a warm endpoint's first token is slow", func() {
		l := warmLedger(start)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 2, start)).To(HaveLen(2))
		l.End(zpadmission.Result{ID: "r0", Outcome: zpadmission.OutcomeOK, Boot: "b1", FirstToken: 20 * time.Millisecond, Total: time.Second}, start)
		l.End(zpadmission.Result{ID: "r1", Outcome: zpadmission.OutcomeOK, Boot: "b1", FirstToken: 5 * time.Second, Total: 6 * time.Second}, start)
		Expect(l.Phase()).To(Equal(zpadmission.PhaseSuspect))
		Expect(l.SlowAlarms()).To(Equal(1))
	})

	It("raises the limit with successes only", func() {
		l := newLedger()
		l.Report(report(false, 0, start))
		l.Report(report(true, 0, start.Add(time.Second)))
		now := start.Add(time.Second)
		Expect(ask(l, zpadmission.AuthorityFull, "r", 10, now)).To(HaveLen(coldSlots))
		l.End(zpadmission.Result{ID: "r0", Outcome: zpadmission.OutcomeOK, Boot: "b1", Total: time.Second}, now)
		Expect(grants(l.Decide(zpadmission.AuthorityFull, everyone, now))).To(HaveLen(2))
	})
})
