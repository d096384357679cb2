package zpquarantine_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
)

var _ = Describe("Tracker", func() {
	const workspace, unlimited = "w", math.MaxInt
	start := time.Unix(1000, 0)
	deadly, library := zpquarantine.PartFingerprint("deadly"), zpquarantine.PartFingerprint("library")
	var t *zpquarantine.Tracker
	var now time.Time
	crashes := 0

	BeforeEach(func() { t, now = zpquarantine.NewTracker(time.Hour), start })

	// crashIn records a crash with one request of a workspace, a second after the crash before.
	crashIn := func(workspace string, fingerprints ...string) {
		now = now.Add(time.Second)
		crashes++
		t.RecordCrash(zpquarantine.Report{
			Crash: fmt.Sprint(crashes), CrashedAt: now, SentAt: now.Add(-300 * time.Millisecond), Workspace: workspace, Fingerprints: fingerprints,
		}, now)
	}
	crash := func(fingerprints ...string) { crashIn(workspace, fingerprints...) }
	expectStatus := func(expected zpquarantine.Status, fingerprints ...string) {
		GinkgoHelper()
		Expect(t.Check(workspace, fingerprints, now).Status).To(Equal(expected))
	}

	It("bans a part that was in different requests at three crashes", func() {
		for i := range 3 {
			expectStatus([]zpquarantine.Status{zpquarantine.StatusClear, zpquarantine.StatusSuspect, zpquarantine.StatusSuspect}[i], deadly)
			crash(fmt.Sprint("request", i), deadly)
		}
		expectStatus(zpquarantine.StatusBanned, "another request", deadly)
		Expect(t.Check(workspace, []string{"r", deadly}, now)).To(Equal(zpquarantine.Finding{Status: zpquarantine.StatusBanned, Fingerprint: deadly, Crashes: 3}))
	})

	It("bans a request as a whole after two crashes, and no other request", func() {
		crash("request", library)
		expectStatus(zpquarantine.StatusSuspect, "request")
		crash("request", library)
		expectStatus(zpquarantine.StatusBanned, "request", library)
		expectStatus(zpquarantine.StatusSuspect, "another", library)
	})

	It("clears the parts of requests that ran beside the one that crashed", func() {
		crash("a", deadly)
		crash("b", deadly, library)
		expectStatus(zpquarantine.StatusClear, "c", library)
		expectStatus(zpquarantine.StatusSuspect, "c", deadly)
	})

	It("does not refuse a request that ran beside a deadly part at two crashes", func() {
		beside := func() {
			crash("deadly request", deadly)
			t.RecordCrash(zpquarantine.Report{
				Crash: fmt.Sprint(crashes), CrashedAt: now, SentAt: now.Add(-200 * time.Millisecond), Workspace: workspace, Fingerprints: []string{"sound request", library},
			}, now)
		}
		crash("first", deadly)
		beside()
		beside()
		expectStatus(zpquarantine.StatusBanned, "another", deadly)
		expectStatus(zpquarantine.StatusClear, "sound request", library)
	})

	It("bans a request as a whole although one of its parts was at more crashes", func() {
		crash("another", library)
		now = now.Add(-time.Second)
		crash("request", library)
		crash("request", library)
		Expect(t.Check(workspace, []string{"request", library}, now)).To(Equal(zpquarantine.Finding{Status: zpquarantine.StatusBanned, Fingerprint: "request", Crashes: 2}))
	})

	Describe("a request that ran beside others that crashed", func() {
		// crashBeside records a crash with a deadly part, beside a request of another workspace.
		crashBeside := func(deadly string) {
			crash(fmt.Sprint("request", crashes), deadly)
			t.RecordCrash(zpquarantine.Report{
				Crash: fmt.Sprint(crashes), CrashedAt: now, SentAt: now.Add(-100 * time.Millisecond), Workspace: "other", Fingerprints: []string{"sound"},
			}, now)
		}
		expectNotBanned := func() {
			GinkgoHelper()
			Expect(t.Check("other", []string{"sound", library}, now).Status).NotTo(Equal(zpquarantine.StatusBanned))
		}

		It("is not banned although a deadly part crashed it twice", func() {
			crashBeside(deadly)
			crashBeside(deadly)
			expectNotBanned()
			crash("another", deadly)
			expectNotBanned()
			expectStatus(zpquarantine.StatusBanned, "c", deadly)
		})

		It("is not banned although each of two deadly parts crashed it", func() {
			second := zpquarantine.PartFingerprint("second")
			for _, part := range []string{deadly, second} {
				crash(part)
				crash(part)
				crashBeside(part)
			}
			expectNotBanned()
			expectStatus(zpquarantine.StatusBanned, "c", deadly)
			expectStatus(zpquarantine.StatusBanned, "c", second)
		})

		It("is banned after three crashes although another request was at all of them", func() {
			for range 3 {
				crashBeside(deadly)
			}
			Expect(t.Check("other", []string{"sound"}, now).Status).To(Equal(zpquarantine.StatusBanned))
		})
	})

	It("bans only requests with all parts that cannot be told apart, until one is harmless", func() {
		for range 3 {
			crash(deadly, library)
		}
		expectStatus(zpquarantine.StatusBanned, deadly, library)
		expectStatus(zpquarantine.StatusSuspect, library)
		expectStatus(zpquarantine.StatusSuspect, deadly)
		Expect(t.RecordHarmless([]string{library}, now)).To(ConsistOf(library))
		expectStatus(zpquarantine.StatusClear, library)
		expectStatus(zpquarantine.StatusBanned, deadly)
	})

	It("bans a part alone once it was at more crashes than its companions", func() {
		for range 3 {
			crash(deadly, library)
		}
		crash(deadly)
		expectStatus(zpquarantine.StatusBanned, deadly)
		expectStatus(zpquarantine.StatusClear, library)
	})

	It("ignores crashes of parts with which a response has begun", func() {
		t.RecordHarmless([]string{library}, now)
		for range 5 {
			crash(library)
		}
		expectStatus(zpquarantine.StatusClear, library)
		now = now.Add(2 * time.Hour)
		crash(library)
		expectStatus(zpquarantine.StatusSuspect, library)
	})

	It("ignores crashes of a completed request, as many callers may send it", func() {
		crash("request")
		Expect(t.RecordHarmless([]string{"request"}, now)).To(ConsistOf("request"))
		expectStatus(zpquarantine.StatusClear, "request")
		for i := range 2 {
			now = now.Add(time.Second)
			Expect(t.RecordCrash(zpquarantine.Report{
				Crash: fmt.Sprint("later", i), CrashedAt: now, SentAt: now, Workspace: workspace, Fingerprints: []string{"request"},
			}, now)).To(BeEmpty())
		}
		expectStatus(zpquarantine.StatusClear, "request")
	})

	It("reports the crashes within the retention", func() {
		crash("suspect")
		crash("banned")
		crash("banned")
		Expect(t.Reports(unlimited, now)).To(ConsistOf(
			HaveField("Fingerprints", ConsistOf("suspect")), HaveField("Fingerprints", ConsistOf("banned")), HaveField("Fingerprints", ConsistOf("banned")),
		))
		Expect(t.Reports(unlimited, now.Add(2*time.Hour))).To(BeEmpty())
	})

	It("counts endpoints that fail together once", func() {
		for i := range 5 {
			t.RecordCrash(zpquarantine.Report{
				Crash: fmt.Sprint("e", i), CrashedAt: now.Add(time.Duration(i) * 100 * time.Millisecond), SentAt: now.Add(-time.Second), Workspace: workspace, Fingerprints: []string{library},
			}, now)
		}
		expectStatus(zpquarantine.StatusSuspect, library)
	})

	It("remembers harmless parts however many different requests are harmless", func() {
		t.RecordHarmless([]string{library}, now)
		for i := range 20_000 {
			t.RecordHarmless([]string{fmt.Sprint("request", i)}, now)
		}
		crash(library)
		expectStatus(zpquarantine.StatusClear, library)
	})

	It("bans a part in time although its requests run for long before they crash", func() {
		const interval, run, limit, maxLateSends = 250 * time.Millisecond, 3 * time.Second, 4 * time.Second, 3
		fifthCrash := start.Add(4*interval + run)
		lateSends := 0
		for sent := 0; sent < 100; sent++ {
			now = start.Add(time.Duration(sent) * interval)
			if at := now.Add(-run); !at.Before(start) {
				t.RecordCrash(zpquarantine.Report{
					Crash: fmt.Sprint("e", sent), CrashedAt: now, SentAt: at, Workspace: workspace, Fingerprints: []string{fmt.Sprint("request", sent), deadly},
				}, now)
			}
			if t.Check(workspace, []string{"r", deadly}, now).Status != zpquarantine.StatusBanned && now.Sub(fifthCrash) > limit {
				lateSends++
			}
		}
		Expect(lateSends).To(BeNumerically("<=", maxLateSends))
	})

	It("counts endpoints that fail together once, although reports arrive late", func() {
		for i := range 4 {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			for _, delay := range []time.Duration{0, 4 * time.Second} {
				t.RecordCrash(zpquarantine.Report{
					Crash: fmt.Sprint("e", i), CrashedAt: at.Add(delay), SentAt: at.Add(delay - time.Second), Workspace: workspace, Fingerprints: []string{library},
				}, now.Add(5*time.Second))
			}
		}
		expectStatus(zpquarantine.StatusSuspect, library)
	})

	It("counts a crash once, whoever reports it", func() {
		for i := range 4 {
			t.RecordCrash(zpquarantine.Report{
				Crash: "one", CrashedAt: now.Add(time.Duration(i) * time.Second), SentAt: now.Add(time.Duration(i) * time.Second), Workspace: workspace, Fingerprints: []string{deadly},
			}, now.Add(5*time.Second))
		}
		expectStatus(zpquarantine.StatusSuspect, deadly)
	})

	Describe("crashes of one workspace", func() {
		It("do not have a part of another workspace refused", func() {
			for range 5 {
				crashIn("hostile", library)
			}
			expectStatus(zpquarantine.StatusClear, library)
			Expect(t.Check("hostile", []string{library}, now).Status).To(Equal(zpquarantine.StatusBanned))
		})

		It("count for all once another workspace has a crash with the part", func() {
			crashIn("a", deadly)
			crashIn("a", deadly)
			crashIn("b", deadly)
			expectStatus(zpquarantine.StatusBanned, deadly)
		})
	})

	It("forgets crashes after the retention", func() {
		for range 3 {
			crash(deadly)
		}
		now = now.Add(time.Hour)
		expectStatus(zpquarantine.StatusSuspect, deadly)
		now = now.Add(time.Minute)
		expectStatus(zpquarantine.StatusClear, deadly)
	})

	It("is equal at a daemon that gets its reports", func() {
		for range 3 {
			crash(deadly, library)
		}
		t.RecordHarmless([]string{library}, now)
		crashIn("other", "request")
		reports := t.Reports(unlimited, now)
		t = zpquarantine.NewTracker(time.Hour)
		for _, r := range reports {
			t.RecordCrash(r, now)
		}
		expectStatus(zpquarantine.StatusBanned, deadly)
		expectStatus(zpquarantine.StatusClear, library)
		Expect(t.Check("other", []string{"request"}, now).Status).To(Equal(zpquarantine.StatusSuspect))
	})

	It("reports few of the requests that were at a single crash, but all that is banned", func() {
		for range 3 {
			crash(deadly)
		}
		for i := range 100 {
			once := make([]string, 100)
			for k := range once {
				once[k] = fmt.Sprint("once", i, "-", k)
			}
			crash(once...)
		}
		reports, entries := t.Reports(1000, now), 0
		t = zpquarantine.NewTracker(time.Hour)
		for _, r := range reports {
			entries += len(r.Fingerprints)
			t.RecordCrash(r, now)
		}
		Expect(entries).To(BeNumerically("<=", 1000))
		expectStatus(zpquarantine.StatusBanned, deadly)
		expectStatus(zpquarantine.StatusSuspect, "once99-0")
	})

	It("is equal at a daemon that gets only what was new", func() {
		other := zpquarantine.NewTracker(time.Hour)
		for i, sender := range []string{"a", "a", "b"} {
			now = now.Add(time.Second)
			for _, workspace := range []string{"a", sender} {
				r := zpquarantine.Report{
					Crash: fmt.Sprint("e", i), CrashedAt: now, SentAt: now.Add(-300 * time.Millisecond), Workspace: workspace, Fingerprints: []string{deadly},
				}
				if r.Fingerprints = t.RecordCrash(r, now); len(r.Fingerprints) > 0 {
					other.RecordCrash(r, now)
				}
			}
		}
		expectStatus(zpquarantine.StatusBanned, deadly)
		Expect(other.Check(workspace, []string{deadly}, now)).To(Equal(t.Check(workspace, []string{deadly}, now)))
	})

	It("tells a daemon that missed it which suspects were found harmless", func() {
		late := zpquarantine.NewTracker(time.Hour)
		for i := range 3 {
			now = now.Add(time.Second)
			r := zpquarantine.Report{Crash: fmt.Sprint("e", i), CrashedAt: now, SentAt: now.Add(-300 * time.Millisecond), Workspace: workspace, Fingerprints: []string{library}}
			t.RecordCrash(r, now)
			late.RecordCrash(r, now)
		}
		t.RecordHarmless([]string{library, "unsuspected"}, now)
		for _, r := range t.Reports(unlimited, now) {
			late.RecordCrash(r, now)
		}
		late.RecordHarmless(t.Cleared(now), now)
		Expect(late.Check(workspace, []string{library}, now).Status).To(Equal(zpquarantine.StatusClear))
		Expect(t.Cleared(now)).To(ConsistOf(library))
		Expect(t.Cleared(now.Add(2 * time.Hour))).To(BeEmpty())
	})

	It("tells a daemon of harmless parts that others reported", func() {
		t.RecordHarmless([]string{library}, now)
		crash(library)
		Expect(t.Cleared(now)).To(ConsistOf(library))
	})

	It("bans a part as long as other crashes break many requests that are sent once", func() {
		for range 3 {
			crash(deadly)
		}
		for i := range 20_000 {
			if i%100 == 0 {
				now = now.Add(time.Millisecond)
			}
			t.RecordCrash(zpquarantine.Report{
				Crash: fmt.Sprint("zone", i/100), CrashedAt: now, SentAt: now.Add(-time.Second), Workspace: workspace, Fingerprints: []string{fmt.Sprint("once", i)},
			}, now)
		}
		expectStatus(zpquarantine.StatusBanned, deadly)
	})

	It("bounds its memory under a flood of parts, and keeps the newest crashes", func() {
		for i := range 200 {
			flood := make([]string, 256)
			for k := range flood {
				flood[k] = zpquarantine.PartFingerprint(fmt.Sprint(i, "-", k))
			}
			crash(flood...)
		}
		for range 3 {
			crash(deadly)
		}
		expectStatus(zpquarantine.StatusBanned, deadly)
		entries := 0
		for _, r := range t.Reports(unlimited, now) {
			entries += len(r.Fingerprints)
		}
		Expect(entries).To(BeNumerically("<=", 16384))
	})
})
