package zpupgrade_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var _ = Describe("Tracker", func() {
	var t *zpupgrade.Tracker
	var now time.Time
	holder := zpupgrade.Role{IsJudge: true, IsLeading: true, IsHolder: true}
	both := map[string]int{"v1": 2, "v2": 2}

	order := func(to string, revision int64, status zpupgrade.Status) zpupgrade.Order {
		return zpupgrade.Order{Pool: pool, To: to, Within: 10 * time.Second, Created: 5, Revision: revision, Status: status}
	}
	allows := func(version string) bool { return t.View(pool, "r", now).Allows(version) }
	// send sends requests as the view allows, and returns how many went to a version.
	send := func(n int, version string) int {
		count := 0
		for range n {
			v := t.View(pool, "r", now)
			to := "v1"
			if v.Allows(version) {
				to, count = version, count+1
			}
			use := t.Begin(pool, to, "r")
			Expect(use.MaySend(now)).To(BeTrue())
			use.End(zpupgrade.OutcomeGood, now)
		}
		return count
	}

	BeforeEach(func() {
		now = startedAt
		t = zpupgrade.NewTracker("d", limits, func() (int, int) { return 0, 1 })
		t.Replace(nil, nil, now)
		t.SetVersions(pool, map[string]int{"v1": 2}, now)
	})

	It("allows all versions without a tracker", func() {
		t = nil
		Expect(allows("v1")).To(BeTrue())
		Expect(t.HasSynced()).To(BeTrue())
		t.Begin(pool, "v1", "r").End(zpupgrade.OutcomeGood, now)
	})

	It("has synced once the orders were read", func() {
		Expect(zpupgrade.NewTracker("d", limits, nil).HasSynced()).To(BeFalse())
		Expect(t.HasSynced()).To(BeTrue())
	})

	It("allows only the versions that served before, until an order names another", func() {
		t.SetVersions(pool, both, now)
		Expect(allows("v1")).To(BeTrue())
		Expect(allows("v2")).To(BeFalse())
		t.Put(order("v2", 6, zpupgrade.Status{}), now)
		Expect(allows("v2")).To(BeTrue())
	})

	It("allows a version without an order after a while, as an ordinary release", func() {
		t.SetVersions(pool, both, now)
		now = now.Add(5 * time.Second)
		t.SetVersions(pool, both, now)
		Expect(allows("v2")).To(BeTrue())
	})

	It("allows a version at once that replaces all endpoints", func() {
		t.SetVersions(pool, map[string]int{"v2": 2}, now)
		Expect(allows("v2")).To(BeTrue())
	})

	It("gives the new version no more than the slack and its share", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{}), now)
		Expect(send(1000, "v2")).To(BeNumerically("<=", 30+10))
	})

	It("gives the new version no slack if the order is older than the daemon", func() {
		t = zpupgrade.NewTracker("d", limits, func() (int, int) { return 0, 1 })
		t.SetVersions(pool, both, now)
		t.Replace([]zpupgrade.Order{order("v2", 6, zpupgrade.Status{})}, nil, now)
		Expect(send(1000, "v2")).To(BeNumerically("<=", 10))
	})

	It("gives back what was not sent", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{}), now)
		for range 1000 {
			use := t.Begin(pool, "v2", "r")
			use.End(zpupgrade.OutcomeIgnored, now)
			use.End(zpupgrade.OutcomeGood, now)
		}
		Expect(t.Reports(now)[0].SentNew).To(BeZero())
		Expect(allows("v2")).To(BeTrue())
	})

	It("does not let a chosen request be sent once the order has ended", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{}), now)
		before, after := t.Begin(pool, "v1", "r"), t.Begin(pool, "v2", "r")
		Expect(after.MaySend(now)).To(BeTrue())
		t.Put(order("v2", 7, zpupgrade.Status{State: zpupgrade.StateRolledBack, To: "v2"}), now)
		Expect(after.MaySend(now)).To(BeFalse())
		Expect(before.MaySend(now)).To(BeTrue())
	})

	DescribeTable("knows what versions are left after a change of the entry", func(change func(), old, first, second bool) {
		t.SetVersions(pool, map[string]int{"v1": 2, "v2": 2, "v3": 2}, now)
		t.Put(order("v2", 6, zpupgrade.Status{}), now)
		change()
		now = now.Add(5 * time.Second)
		t.SetContact(now)
		t.SetVersions(pool, map[string]int{"v1": 2, "v2": 2, "v3": 2}, now)
		Expect([]bool{allows("v1"), allows("v2"), allows("v3")}).To(Equal([]bool{old, first, second}))
	},
		Entry("rolled back", func() { t.Put(order("v2", 7, zpupgrade.Status{State: zpupgrade.StateRolledBack, To: "v2"}), now) }, true, false, true),
		Entry("completed", func() { t.Put(order("v2", 7, zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v2"}), now) }, false, true, false),
		Entry("removed midway", func() { t.Remove(pool) }, true, false, true),
		Entry("missing from a list", func() { t.Replace(nil, nil, now) }, true, false, true),
		Entry("unreadable in a list", func() { t.Replace(nil, []string{pool}, now) }, true, true, true),
		Entry("replaced by another version", func() { t.Put(order("v3", 7, zpupgrade.Status{State: zpupgrade.StateRunning, To: "v2"}), now) }, true, false, true),
		Entry("replaced after it was rolled back", func() {
			t.Put(order("v2", 7, zpupgrade.Status{State: zpupgrade.StateRolledBack, To: "v2"}), now)
			t.Put(order("v3", 8, zpupgrade.Status{State: zpupgrade.StateRolledBack, To: "v2"}), now)
		}, true, false, true),
		Entry("an older state that arrives late", func() { t.Put(order("v3", 5, zpupgrade.Status{}), now) }, true, true, true),
	)

	It("allows the new version at once when it is completed", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v2"}), now)
		Expect(allows("v2")).To(BeTrue())
		t.SetVersions(pool, map[string]int{"v2": 2}, now)
		Expect(allows("v2")).To(BeTrue())
	})

	It("writes a status that the store does not have, and never replaces a final one", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v1"}), now)
		Expect(t.Unwritten()).To(ConsistOf(HaveField("Status", zpupgrade.Status{State: zpupgrade.StateRunning, To: "v2"})))
		t.Put(order("v2", 7, zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v2"}), now)
		Expect(t.HasRunning()).To(BeFalse())
		now = now.Add(time.Minute)
		t.Step(holder, nil, now)
		Expect(t.Unwritten()).To(BeEmpty())
	})

	// Guards against a status that goes back where an entry is told late, or the store comes back from an older copy.
	It("does not take a final status back", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{State: zpupgrade.StateRunning, To: "v2"}), now)
		t.Put(order("v2", 7, zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v2"}), now)
		t.Put(order("v2", 6, zpupgrade.Status{State: zpupgrade.StateRunning, To: "v2"}), now)
		Expect(t.Unwritten()).To(BeEmpty())
		restored := order("v2", zpobject.QualifyRevision(1, 6), zpupgrade.Status{State: zpupgrade.StateRunning, To: "v2"})
		t.Put(restored, now)
		Expect(t.Unwritten()).To(ConsistOf(HaveField("Status.State", zpupgrade.StateCompleted)))
		Expect(allows("v2")).To(BeTrue())
	})

	DescribeTable("rolls an order back that cannot be followed", func(within time.Duration, versions map[string]int) {
		t.SetVersions(pool, versions, now)
		o := order("v2", 6, zpupgrade.Status{})
		o.Within = within
		t.Put(o, now)
		send(200, "v2")
		now = now.Add(within)
		t.Step(holder, nil, now)
		Expect(t.Unwritten()).To(ConsistOf(HaveField("Status.State", zpupgrade.StateRolledBack)))
	},
		Entry("a deadline in the past", time.Duration(0), both),
		Entry("a version without endpoints", 10*time.Second, map[string]int{"v1": 2}),
	)

	It("completes an order at once if no other version serves", func() {
		t.Put(order("v1", 6, zpupgrade.Status{}), now)
		Expect(send(100, "v1")).To(Equal(100))
		t.Step(holder, nil, now)
		Expect(t.Unwritten()).To(ConsistOf(HaveField("Status.State", zpupgrade.StateCompleted)))
	})

	It("adds the reports of a daemon once, however often and late they arrive", func() {
		t.SetVersions(pool, both, now)
		t.Put(order("v2", 6, zpupgrade.Status{}), now)
		id := t.Reports(now)[0].Order
		report := func(answers, bad int64, age time.Duration) zpupgrade.Report {
			return zpupgrade.Report{Instance: "other", Pool: pool, Order: id, Age: age, Sent: 200, SentNew: answers, Routes: []zpupgrade.RouteTally{
				{Route: "r", Old: zpupgrade.Tally{Answers: 100}, New: zpupgrade.Tally{Answers: answers, Bad: bad}},
			}}
		}
		for range 50 {
			t.Answer([]zpupgrade.Report{report(3, 2, time.Second)}, now)
			t.Answer([]zpupgrade.Report{report(2, 1, time.Millisecond)}, now)
		}
		Expect(t.Step(holder, nil, now)).To(BeEmpty())
		t.Answer([]zpupgrade.Report{report(20, 15, 2*time.Second)}, now)
		Expect(t.Step(holder, nil, now)).To(ConsistOf(HaveField("State", zpupgrade.StateRolledBack)))
	})

	It("splits the slack among daemons without a rest", func() {
		for _, n := range []int{1, 9, 40, 85, 300} {
			total := 0
			for rank := range n {
				t = zpupgrade.NewTracker(fmt.Sprint(rank), limits, func() (int, int) { return rank, n })
				t.Replace(nil, nil, now)
				t.SetVersions(pool, map[string]int{"v1": 2}, now)
				t.Put(order("v2", 6, zpupgrade.Status{}), now)
				total += send(3, "v2")
			}
			Expect(total).To(BeNumerically("<=", 30), fmt.Sprint(n))
		}
	})
})
