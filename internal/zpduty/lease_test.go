package zpduty_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
)

var (
	start  = time.Unix(1000, 0)
	timing = zpduty.Timing{Validity: 800 * time.Millisecond, Renew: 250 * time.Millisecond, Turn: 3300 * time.Millisecond}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newLease(self string) *zpduty.Lease { return &zpduty.Lease{Self: self, Timing: timing} }

// take has the lease take a duty that no one holds.
func take(l *zpduty.Lease, revision int64, now time.Time) {
	GinkgoHelper()
	l.Saw(zpduty.Record{}, 0, now)
	w, due := l.Next(true, now)
	Expect(due).To(BeTrue())
	l.Wrote(w, revision, now, now.Add(10*time.Millisecond))
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
	It("takes nothing without work", func() {
		l := newLease("a")
		l.Saw(zpduty.Record{}, 0, start)
		_, due := l.Next(false, start)
		Expect(due).To(BeFalse())
	})

	It("is valid from the start of the write", func() {
		l := newLease("a")
		take(l, 7, start)
		expectHeld(l, at(799), true)
		expectHeld(l, at(800), false)
	})

	It("keeps its fence while it is renewed, and gets a higher one afterwards", func() {
		l := newLease("a")
		take(l, 7, start)
		w, due := l.Next(true, at(250))
		Expect(due).To(BeTrue())
		l.Wrote(w, 9, at(250), at(260))
		fence, _, _ := l.Holds(at(300))
		Expect(fence).To(BeEquivalentTo(7))
		w, due = l.Next(true, at(2000))
		Expect(due).To(BeTrue())
		l.Wrote(w, 12, at(2000), at(2010))
		fence, _, _ = l.Holds(at(2010))
		Expect(fence).To(BeEquivalentTo(12))
	})

	It("releases without work", func() {
		l := newLease("a")
		take(l, 7, start)
		w, due := l.Next(false, at(100))
		Expect(due).To(BeTrue())
		Expect(w.Record.Released).To(BeTrue())
		l.Wrote(w, 8, at(100), at(110))
		expectHeld(l, at(120), false)
	})

	DescribeTable("waits for the other holder and a turn",
		func(released bool, wait int) {
			l := newLease("b")
			l.Saw(zpduty.Record{Holder: "a", Renewal: 3, Released: released}, 7, start)
			expectDue(l, at(wait-1), false)
			expectDue(l, at(wait), true)
		},
		Entry("held", false, 4100),
		Entry("released", true, 3300),
	)

	It("waits anew after each renewal of the holder", func() {
		l := newLease("b")
		l.Saw(zpduty.Record{Holder: "a", Renewal: 3}, 7, start)
		l.Saw(zpduty.Record{Holder: "a", Renewal: 4}, 8, at(3000))
		expectDue(l, at(4500), false)
		expectDue(l, at(7100), true)
	})

	It("does not act on a write whose answer was lost, and recovers by another", func() {
		l := newLease("a")
		l.Saw(zpduty.Record{}, 0, start)
		_, due := l.Next(true, start)
		Expect(due).To(BeTrue())
		expectHeld(l, at(10), false)
		l.Saw(zpduty.Record{Holder: "a", Renewal: 1}, 7, at(400))
		w, due := l.Next(true, at(400))
		Expect(due).To(BeTrue())
		Expect(w.IfRevision).To(BeEquivalentTo(7))
	})

	It("ends when another daemon is seen to hold the duty", func() {
		l := newLease("a")
		take(l, 7, start)
		l.Saw(zpduty.Record{Holder: "b", Renewal: 9}, 20, at(100))
		expectHeld(l, at(110), false)
	})

	It("never lets two daemons act within a turn, over pauses, cuts and lost answers", func() {
		for seed := range uint64(500) {
			playDuty(rand.New(rand.NewPCG(seed, 1)))
		}
	})
})

const (
	daemons  = 3
	playedMS = 60_000
	stepMS   = 50
)

type (
	// dutyPlay runs daemons against one object, with daemons that pause, are cut
	// off and start anew, and writes that take effect without an answer or late.
	dutyPlay struct {
		random   *rand.Rand
		record   zpduty.Record
		revision int64
		late     []lateWrite
		leases   []*zpduty.Lease
		asleep   []int // until when, in ms

		lastActor, lastAct int
		lastFence          int64
	}

	lateWrite struct {
		write zpduty.Write
		at    int
	}
)

func playDuty(random *rand.Rand) {
	GinkgoHelper()
	p := &dutyPlay{random: random, asleep: make([]int, daemons), lastActor: -1}
	for i := range daemons {
		p.leases = append(p.leases, newLease(string(rune('a'+i))))
	}
	for ms := 0; ms < playedMS; ms += stepMS {
		p.applyLate(ms)
		for i := range p.leases {
			if ms >= p.asleep[i] && !p.disturb(i, ms) {
				p.act(i, ms)
				p.keep(i, ms)
			}
		}
	}
}

// disturb lets a daemon pause or start anew now and then.
func (p *dutyPlay) disturb(i, ms int) bool {
	switch p.random.IntN(200) {
	case 0:
		p.asleep[i] = ms + p.random.IntN(9000)
		return true
	case 1:
		p.leases[i] = newLease(p.leases[i].Self)
		return true
	}
	return false
}

// act checks the turn of a daemon that holds the duty.
func (p *dutyPlay) act(i, ms int) {
	GinkgoHelper()
	fence, _, held := p.leases[i].Holds(at(ms))
	if !held {
		if p.random.IntN(4) > 0 {
			p.leases[i].Saw(p.record, p.revision, at(ms))
		}
		return
	}
	if p.lastActor >= 0 && p.lastActor != i {
		Expect(ms-p.lastAct).To(BeNumerically(">=", 3000), "turn of daemons %d and %d at %d", p.lastActor, i, ms)
	}
	Expect(fence).To(BeNumerically(">=", p.lastFence))
	p.lastActor, p.lastAct, p.lastFence = i, ms, fence
}

// keep makes the write that is due, and lets its answer or itself be lost.
func (p *dutyPlay) keep(i, ms int) {
	w, due := p.leases[i].Next(p.random.IntN(20) > 0, at(ms))
	if !due {
		return
	}
	switch p.random.IntN(10) {
	case 0: // not done
	case 1: // done late, without an answer
		p.late = append(p.late, lateWrite{w, ms + p.random.IntN(6000)})
	case 2: // done, without an answer
		p.apply(w)
	default:
		if p.apply(w) {
			p.leases[i].Wrote(w, p.revision, at(ms), at(ms))
		}
	}
}

func (p *dutyPlay) applyLate(ms int) {
	var kept []lateWrite
	for _, d := range p.late {
		if d.at > ms {
			kept = append(kept, d)
			continue
		}
		p.apply(d.write)
	}
	p.late = kept
}

func (p *dutyPlay) apply(w zpduty.Write) bool {
	if w.IfRevision != p.revision {
		return false
	}
	p.record, p.revision = w.Record, p.revision+1+p.random.Int64N(5)
	return true
}
