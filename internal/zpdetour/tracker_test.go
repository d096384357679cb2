package zpdetour_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("Tracker", func() {
	var t *zpdetour.Tracker

	BeforeEach(func() { t = &zpdetour.Tracker{} })

	It("blocks an address to which only a detour led", func() {
		Expect(t.IsBlocked("a", at(0))).To(BeFalse())
		Expect(t.RecordDetour("a", at(0))).To(BeFalse())
		Expect(t.IsBlocked("a", at(10))).To(BeTrue())
		Expect(t.IsBlocked("b", at(10))).To(BeFalse())
		Expect(t.IsCut(at(10))).To(BeFalse())
	})

	It("takes two blocked addresses for a cut from all", func() {
		t.RecordDetour("a", at(0))
		Expect(t.RecordDetour("b", at(100))).To(BeTrue())
		Expect(t.IsBlocked("c", at(110))).To(BeTrue())
		Expect(t.Reach(at(110))).To(Equal(zpdetour.Reach{IsCut: true, Since: at(100), Blocked: []string{"a", "b"}}))
	})

	// Guards against taking the loss of some endpoints' links for that of all.
	It("does not take them for a cut if a connect has succeeded in between", func() {
		t.RecordDetour("a", at(0))
		t.RecordConnect("c", at(50))
		Expect(t.RecordDetour("b", at(100))).To(BeFalse())
		Expect(t.IsBlocked("c", at(110))).To(BeFalse())
		Expect(t.Reach(at(110)).Blocked).To(Equal([]string{"a", "b"}))
	})

	// Guards against detours for a service whose endpoints are all down.
	It("does not count endpoints that nobody reaches", func() {
		for _, address := range []string{"a", "b", "c"} {
			t.RecordDead(address, at(0))
			Expect(t.MayDetour(address, at(500))).To(BeFalse())
			Expect(t.MayDetour(address, at(1100))).To(BeTrue())
		}
		Expect(t.Reach(at(10))).To(Equal(zpdetour.Reach{}))
	})

	It("ends a cut with the first connect, and has the other blocked addresses probed", func() {
		t.RecordDetour("a", at(0))
		t.RecordDetour("b", at(1))
		t.RecordDetour("c", at(2)) // assumed to be blocked
		probe, wasCut := t.RecordConnect("a", at(5_000))
		Expect(wasCut).To(BeTrue())
		Expect(probe).To(Equal([]string{"b"}))
		Expect(t.IsBlocked("c", at(5_001))).To(BeFalse())
		Expect(t.IsBlocked("b", at(5_001))).To(BeTrue())
	})

	It("probes each blocked address in turn, one every 250 ms", func() {
		t.RecordDetour("a", at(0))
		t.RecordDetour("b", at(0))
		t.RecordDetour("c", at(0))
		seen := map[string]bool{}
		for i := range 3 {
			address, ok := t.NextProbe(at(1_000 + 250*i))
			Expect(ok).To(BeTrue())
			seen[address] = true
			_, ok = t.NextProbe(at(1_100 + 250*i))
			Expect(ok).To(BeFalse())
		}
		Expect(seen).To(HaveLen(3))
	})

	// Guards against probes of endpoints that are gone for good.
	It("forgets addresses that no request needs", func() {
		t.RecordDetour("a", at(0))
		t.RecordDetour("b", at(0))
		Expect(t.Reach(at(31_000))).To(Equal(zpdetour.Reach{}))
	})

	// Guards against the word of a daemon that is cut off without knowing it.
	It("may be cut off once connects to two addresses have failed, until one succeeds", func() {
		t.RecordFailure("a", at(0))
		t.RecordFailure("a", at(1))
		Expect(t.MayBeCut(at(1))).To(BeFalse())
		t.RecordFailure("b", at(2))
		Expect(t.MayBeCut(at(2))).To(BeTrue())
		t.RecordConnect("c", at(3))
		Expect(t.MayBeCut(at(3))).To(BeFalse())
	})

	// Guards against a daemon without new connections that calls itself cut off after two endpoints have crashed.
	It("is not taken for cut off by failures of seconds ago", func() {
		t.RecordFailure("a", at(0))
		t.RecordFailure("b", at(1_500))
		Expect(t.MayBeCut(at(1_600))).To(BeTrue())
		Expect(t.MayBeCut(at(2_100))).To(BeFalse())
	})

	It("probes nothing while nothing is blocked", func() {
		_, ok := t.NextProbe(at(0))
		Expect(ok).To(BeFalse())
	})
})
