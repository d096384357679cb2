package zpduty_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var (
	start  = time.Unix(1000, 0)
	timing = zpduty.Timing{Validity: 800 * time.Millisecond, RenewInterval: 250 * time.Millisecond, HandoverDelay: 3300 * time.Millisecond}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newLease(self string) *zpduty.Lease { return &zpduty.Lease{Self: self, Timing: timing} }

// acquire has the lease acquire a duty whose object does not exist yet.
func acquire(l *zpduty.Lease, revision int64, now time.Time) {
	GinkgoHelper()
	l.Observe(zpduty.Record{}, 0, now)
	w, due := l.Next(true, now)
	Expect(due).To(BeTrue())
	l.Confirm(w, revision, now, now.Add(10*time.Millisecond))
}

func expectHeld(l *zpduty.Lease, now time.Time, held bool) {
	GinkgoHelper()
	_, _, ok := l.Holds(now)
	Expect(ok).To(Equal(held))
}

func expectDue(l *zpduty.Lease, now time.Time, due bool) {
	GinkgoHelper()
	_, ok := l.Next(true, now)
	Expect(ok).To(Equal(due))
}

var _ = Describe("Lease", func() {
	It("does not acquire the duty without work", func() {
		l := newLease("a")
		l.Observe(zpduty.Record{}, 0, start)
		_, due := l.Next(false, start)
		Expect(due).To(BeFalse())
	})

	It("is neither held nor acquired by a daemon that has read nothing yet", func() {
		l := newLease("a")
		expectHeld(l, start, false)
		expectDue(l, at(100_000), false)
	})

	It("is not held by a daemon that was paused, until it has written again", func() {
		l := newLease("a")
		acquire(l, 7, start)
		expectHeld(l, at(5000), false)
		l.Observe(zpduty.Record{Holder: "b", Renewal: 9}, 20, at(5001))
		expectDue(l, at(5002), false)
	})

	It("is valid for Validity from the start of the write", func() {
		l := newLease("a")
		acquire(l, 7, start)
		expectHeld(l, at(799), true)
		expectHeld(l, at(800), false)
	})

	It("keeps its fencing token while renewed and gets a higher one after it has expired", func() {
		l := newLease("a")
		acquire(l, 7, start)
		w, due := l.Next(true, at(250))
		Expect(due).To(BeTrue())
		l.Confirm(w, 9, at(250), at(260))
		fence, _, _ := l.Holds(at(300))
		Expect(fence).To(BeEquivalentTo(7))
		w, due = l.Next(true, at(2000))
		Expect(due).To(BeTrue())
		l.Confirm(w, 12, at(2000), at(2010))
		fence, _, _ = l.Holds(at(2010))
		Expect(fence).To(BeEquivalentTo(12))
	})

	It("releases the duty without work and no longer holds it", func() {
		l := newLease("a")
		acquire(l, 7, start)
		w, due := l.Next(false, at(100))
		Expect(due).To(BeTrue())
		Expect(w.Record.Released).To(BeTrue())
		l.Confirm(w, 8, at(100), at(110))
		expectHeld(l, at(120), false)
	})

	DescribeTable("acquires the duty of another holder only after",
		func(released bool, wait int) {
			l := newLease("b")
			l.Observe(zpduty.Record{Holder: "a", Renewal: 3, Released: released}, 7, start)
			expectDue(l, at(wait-1), false)
			expectDue(l, at(wait), true)
		},
		Entry("Validity and HandoverDelay if it was not released", false, 4100),
		Entry("HandoverDelay if it was released", true, 3300),
	)

	It("restarts the waiting time after each renewal of the holder", func() {
		l := newLease("b")
		l.Observe(zpduty.Record{Holder: "a", Renewal: 3}, 7, start)
		l.Observe(zpduty.Record{Holder: "a", Renewal: 4}, 8, at(3000))
		expectDue(l, at(4500), false)
		expectDue(l, at(7100), true)
	})

	It("does not hold the duty after a write whose response was lost, but may write again", func() {
		l := newLease("a")
		l.Observe(zpduty.Record{}, 0, start)
		_, due := l.Next(true, start)
		Expect(due).To(BeTrue())
		expectHeld(l, at(10), false)
		l.Observe(zpduty.Record{Holder: "a", Renewal: 1}, 7, at(400))
		w, due := l.Next(true, at(400))
		Expect(due).To(BeTrue())
		Expect(w.IfRevision).To(BeEquivalentTo(7))
	})

	It("ends when the object names another holder", func() {
		l := newLease("a")
		acquire(l, 7, start)
		l.Observe(zpduty.Record{Holder: "b", Renewal: 9}, 20, at(100))
		expectHeld(l, at(110), false)
	})

	It("never lets two daemons act within a turn despite pauses, restarts, failed reads and lost or delayed writes", func() {
		for seed := range uint64(500) {
			simulate(rand.New(rand.NewPCG(seed, 1)), false)
		}
	})

	// Guards against two holders with one fencing token, and against turns within the minimum
	// interval, when revisions are given out again.
	It("never lets two daemons act within a turn or with one token although the store comes back from older copies", func() {
		for seed := range uint64(500) {
			simulate(rand.New(rand.NewPCG(seed, 2)), true)
		}
	})

	Describe("in a store with eras", func() {
		It("ends at once when a later era is known", func() {
			l := newLease("a")
			l.SetEra(1, at(-10_000))
			acquire(l, zpobject.QualifyRevision(1, 7), start)
			expectHeld(l, at(100), true)
			l.SetEra(2, at(100))
			expectHeld(l, at(100), false)
		})

		It("is not acquired by a write that was decided in an earlier era", func() {
			l := newLease("a")
			l.SetEra(1, at(-10_000))
			l.Observe(zpduty.Record{}, 0, start)
			w, due := l.Next(true, start)
			Expect(due).To(BeTrue())
			l.SetEra(2, at(5))
			l.Confirm(w, zpobject.QualifyRevision(2, 7), start, at(10))
			expectHeld(l, at(10), false)
		})

		DescribeTable("is acquired only when a holder of an earlier era can't act any more",
			func(r zpduty.Record, revision int64, wait int) {
				l := newLease("b")
				l.SetEra(2, start)
				l.Observe(r, revision, start)
				expectDue(l, at(wait-1), false)
				expectDue(l, at(wait), true)
			},
			Entry("without a record", zpduty.Record{}, int64(0), 4100),
			Entry("with its own record of the copy", zpduty.Record{Holder: "b", Era: 1}, zpobject.QualifyRevision(2, 7), 4100),
			Entry("with a record that was released in the copy", zpduty.Record{Holder: "a", Era: 1, Released: true}, zpobject.QualifyRevision(2, 7), 4100),
			Entry("with a record of this era that was released", zpduty.Record{Holder: "a", Era: 2, Released: true}, zpobject.QualifyRevision(2, 7), 3300),
		)

		// Guards against a late write of an earlier era that replaces the record of a holder.
		It("is not acquired at once when a record of an earlier era appears long after that era", func() {
			l := newLease("b")
			l.SetEra(2, at(-60_000))
			l.Observe(zpduty.Record{Holder: "b", Era: 1}, zpobject.QualifyRevision(2, 7), start)
			expectDue(l, at(4099), false)
			expectDue(l, at(4100), true)
		})

		It("is acquired at once without a record if the era has been known for long enough", func() {
			l := newLease("b")
			l.SetEra(2, at(-4100))
			l.Observe(zpduty.Record{}, 0, start)
			expectDue(l, start, true)
		})
	})
})

const (
	daemons     = 3
	simulatedMS = 60_000
	stepMS      = 50
)

type (
	// simulation runs daemons against one object. Daemons pause, restart or fail to
	// read the object. Writes are lost, take effect late or lose their response. The store
	// may come back from older copies.
	simulation struct {
		rng           *rand.Rand
		record        zpduty.Record
		revision      int64 // as the store counts it
		era           int64
		copies        []storeCopy
		awayUntilMS   int // the store does not answer before
		lateWrites    []lateWrite
		leases        []*zpduty.Lease
		pausedUntilMS []int // by daemon
		eras          map[*zpduty.Lease]int64

		lastHolder, lastActMS int
		lastFence             int64
	}

	// storeCopy is the store's content at a moment.
	storeCopy struct {
		atMS     int
		record   zpduty.Record
		revision int64
	}

	// lateWrite is a write that takes effect at atMS.
	lateWrite struct {
		write zpduty.ConditionalWrite
		atMS  int
	}
)

// simulate runs a simulation and checks at each step that the holders' actions keep
// the minimum distance and that fencing tokens never decrease.
func simulate(rng *rand.Rand, withRestores bool) {
	GinkgoHelper()
	s := &simulation{rng: rng, pausedUntilMS: make([]int, daemons), lastHolder: -1, eras: map[*zpduty.Lease]int64{}}
	if withRestores {
		s.era = 1
	}
	for i := range daemons {
		s.leases = append(s.leases, newLease(string(rune('a'+i))))
	}
	for ms := 0; ms < simulatedMS; ms += stepMS {
		if withRestores {
			s.restore(ms)
		}
		s.applyLateWrites(ms)
		for i := range s.leases {
			if ms >= s.pausedUntilMS[i] && !s.injectFault(i, ms) {
				s.checkHolder(i, ms)
				s.writeIfDue(i, ms)
			}
		}
	}
}

// restore occasionally takes the store away and brings it back from an older copy.
func (s *simulation) restore(ms int) {
	s.copies = append(s.copies, storeCopy{ms, s.record, s.revision})
	if ms < s.awayUntilMS || s.rng.IntN(200) > 0 {
		return
	}
	c := s.copies[max(len(s.copies)-1-s.rng.IntN(100), 0)]
	s.record, s.revision, s.era = c.record, c.revision, s.era+1
	s.awayUntilMS = ms + s.rng.IntN(3000)
	for i := range s.copies {
		if s.copies[i].atMS > c.atMS {
			s.copies[i].record, s.copies[i].revision = c.record, c.revision
		}
	}
}

// learnEra lets daemon i know the store's era, as any response does.
func (s *simulation) learnEra(i, ms int) {
	if s.era > s.knownEra(i) {
		s.leases[i].SetEra(s.era, at(ms))
		s.eras[s.leases[i]] = s.era
	}
}

func (s *simulation) knownEra(i int) int64 { return s.eras[s.leases[i]] }

// injectFault occasionally pauses or restarts a daemon and reports whether it did so.
func (s *simulation) injectFault(i, ms int) bool {
	switch s.rng.IntN(200) {
	case 0:
		s.pausedUntilMS[i] = ms + s.rng.IntN(9000)
		return true
	case 1:
		s.leases[i] = newLease(s.leases[i].Self)
		return true
	}
	return false
}

// checkHolder checks the time since the last action of another holder and the fencing
// token if daemon i holds the duty. Otherwise it usually lets the daemon read the
// object.
func (s *simulation) checkHolder(i, ms int) {
	GinkgoHelper()
	fence, _, held := s.leases[i].Holds(at(ms))
	if !held {
		if ms >= s.awayUntilMS && s.rng.IntN(4) > 0 {
			s.learnEra(i, ms)
			revision := s.revision
			if revision > 0 {
				revision = zpobject.QualifyRevision(s.era, revision)
			}
			s.leases[i].Observe(s.record, revision, at(ms))
		}
		return
	}
	if s.lastHolder >= 0 && s.lastHolder != i {
		Expect(fence).To(BeNumerically(">", s.lastFence))
		Expect(ms-s.lastActMS).To(BeNumerically(">=", 3000), "time in ms between actions of daemons %d and %d at %d ms", s.lastHolder, i, ms)
	}
	Expect(fence).To(BeNumerically(">=", s.lastFence))
	s.lastHolder, s.lastActMS, s.lastFence = i, ms, fence
}

// writeIfDue sends the write that is due. Some writes are lost, take effect late or
// lose their response.
func (s *simulation) writeIfDue(i, ms int) {
	w, due := s.leases[i].Next(s.rng.IntN(20) > 0, at(ms))
	if !due || ms < s.awayUntilMS {
		return
	}
	switch s.rng.IntN(10) {
	case 0: // lost
	case 1: // takes effect late, without a response
		s.lateWrites = append(s.lateWrites, lateWrite{w, ms + s.rng.IntN(6000)})
	case 2: // takes effect, but the response is lost
		s.apply(w)
	default:
		isApplied := s.apply(w)
		isOfThisEra := w.IfRevision == 0 || zpobject.EraOf(w.IfRevision) == s.era
		s.learnEra(i, ms)
		if isApplied && isOfThisEra {
			s.leases[i].Confirm(w, zpobject.QualifyRevision(s.era, s.revision), at(ms), at(ms))
		}
	}
}

func (s *simulation) applyLateWrites(ms int) {
	var kept []lateWrite
	for _, d := range s.lateWrites {
		if d.atMS > ms || ms < s.awayUntilMS {
			kept = append(kept, d)
			continue
		}
		s.apply(d.write)
	}
	s.lateWrites = kept
}

// apply performs a conditional write and reports whether it took effect. The store compares
// revisions as it counts them, whatever their era.
func (s *simulation) apply(w zpduty.ConditionalWrite) bool {
	if zpobject.PlainRevision(w.IfRevision) != s.revision {
		return false
	}
	s.record, s.revision = w.Record, s.revision+1+s.rng.Int64N(5)
	return true
}
