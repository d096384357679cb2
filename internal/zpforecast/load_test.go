package zpforecast_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpforecast"
	"github.com/zinniapaddle/zinniapaddle/internal/zpline"
)

type (
	// load is a load that one daemon puts on one endpoint, which reads a prompt in 50 ms and
	// takes prompts for up to backlogMS.
	load struct {
		overload, after float64 // load during the first ten seconds and later, against what the endpoint can do
		darkFrom, dark  int     // the endpoint does nothing from darkFrom for dark ms
		forecasts       bool    // leads and refusals at once
	}

	// caller is one request of the overload.
	caller struct {
		at, first, refused int // ms; -1: not
		isBack             bool
	}

	// outcome counts callers of the overload.
	outcome struct {
		callers, onTime, served int
		refusedEarly            int // at once or while they waited
		endedUnsent             int // their deadline passed in the queue
		backServed, back        int // those that came back after a refusal
		waitedInVain            int // seconds, of all that were not served, until they knew
	}
)

const (
	workMS, backlogMS, objectiveMS, deadlineMS = 50, 300, 500, 3000
	overloadMS, endMS                          = 10_000, 20_000
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// player plays a load ms by ms.
type player struct {
	load
	random  *rand.Rand
	queue   zpline.Queue[*caller]
	pace    zpforecast.Pace
	lead    zpforecast.Lead
	returns zpforecast.Returns
	freeAt  int // when the endpoint has read what it was sent
	started float64
	sent    map[int][]*zpline.Entry[*caller] // by the ms of their first event
	comeAt  map[int][]*caller
	vainMS  int
	out     outcome
}

func (l load) play() outcome {
	p := &player{load: l, random: rand.New(rand.NewPCG(1, 2)), sent: map[int][]*zpline.Entry[*caller]{}, comeAt: map[int][]*caller{}}
	for ms := range endMS + deadlineMS {
		p.step(ms)
	}
	p.out.waitedInVain = p.vainMS / 1000
	return p.out
}

func (p *player) step(ms int) {
	rate := p.after
	if ms < overloadMS {
		rate = p.overload
	}
	if ms < endMS && p.random.Float64() < rate/workMS {
		if ms < overloadMS {
			p.out.callers++
		}
		p.add(&caller{at: ms, first: -1, refused: -1}, ms)
	}
	for _, c := range p.comeAt[ms] {
		p.out.back++
		p.add(c, ms)
	}
	if ms == p.darkFrom && p.dark > 0 {
		p.freeAt = max(p.freeAt, ms) + p.dark
	}
	for _, e := range p.sent[ms] {
		p.lead.Record(milliseconds(ms-e.Value.first), milliseconds(workMS), at(ms))
		e.Value.first = ms
		p.count(e.Value)
	}
	for _, e := range p.queue.RemoveExpired(at(ms)) {
		if e.Value.at < overloadMS {
			p.out.endedUnsent++
		}
		p.vainMS += ms - e.Value.at
	}
	isDark := p.dark > 0 && ms >= p.darkFrom && ms < p.darkFrom+p.dark
	for p.queue.Len() > 0 && p.freeAt-ms <= backlogMS && !isDark {
		e := p.queue.Ordered(at(ms))[0]
		p.queue.Remove(e)
		p.started++
		p.freeAt = max(p.freeAt, ms) + workMS
		e.Value.first = ms // when it was sent, until its first event
		p.sent[p.freeAt] = append(p.sent[p.freeAt], e)
	}
	if p.forecasts && ms%50 == 0 && p.queue.Len() > 0 {
		p.forecast(ms)
	}
}

func (p *player) add(c *caller, ms int) {
	e := &zpline.Entry[*caller]{
		ArrivedAt: at(ms), Objective: milliseconds(objectiveMS), ServiceTime: milliseconds(workMS), Deadline: at(c.at + deadlineMS), Value: c,
	}
	p.queue.Add(e)
}

func (p *player) forecast(ms int) {
	p.pace.Record(p.started, at(ms))
	p.started = 0
	ahead := 0.0
	for _, e := range p.queue.Ordered(at(ms)) {
		e.Lead = min(p.lead.Excess(at(ms)), e.Objective/2)
		left := e.Deadline.Sub(at(ms))
		v := zpforecast.Decide(zpforecast.Wait{Ahead: ahead, Service: e.ServiceTime, Left: left, HasReturned: e.Value.isBack, IsQueued: e.Value.at < ms-50}, &p.pace, at(ms))
		if v.Reason == zpforecast.ReasonNone {
			ahead++
			continue
		}
		p.queue.Remove(e)
		p.out.refusedEarly++
		c := e.Value
		if c.isBack {
			p.vainMS += ms - c.at
			continue
		}
		after := p.returns.Plan(zpforecast.Return{Work: 1, Room: v.Start, PerSecond: v.PerSecond, Left: left, Random: p.random.Float64()}, at(ms))
		back := ms + int(after.Milliseconds())
		p.comeAt[back] = append(p.comeAt[back], &caller{at: c.at, first: -1, refused: ms, isBack: true})
	}
}

func (p *player) count(c *caller) {
	if c.isBack {
		p.out.backServed++
	}
	if c.at >= overloadMS {
		return
	}
	p.out.served++
	if c.first-c.at <= objectiveMS {
		p.out.onTime++
	}
}

var _ = Describe("A load", func() {
	It("that has room is played the same with forecasts and without", func() {
		l := load{overload: 0.6, after: 0.6}
		without := l.play()
		l.forecasts = true
		Expect(l.play()).To(Equal(without))
		Expect(without.served).To(Equal(without.callers))
	})

	It("of 1.3 times the room is served on time far more often if the wait at the endpoint counts", func() {
		l := load{overload: 1.3, after: 0.5}
		without := l.play()
		l.forecasts = true
		with := l.play()
		GinkgoWriter.Println(without, with)
		Expect(with.onTime).To(BeNumerically(">", 2*without.onTime))
		Expect(with.served).To(BeNumerically(">=", without.served*98/100))
	})

	It("of twice the room lets fewer callers wait until their deadline, and serves as many", func() {
		l := load{overload: 2, after: 0.5}
		without := l.play()
		l.forecasts = true
		with := l.play()
		GinkgoWriter.Println(without, with)
		Expect(with.served).To(BeNumerically(">=", without.served*98/100))
		Expect(with.endedUnsent).To(BeNumerically("<", without.endedUnsent/2))
		Expect(with.waitedInVain).To(BeNumerically("<", without.waitedInVain))
	})

	It("whose endpoint is dark for a second is not refused for it", func() {
		l := load{overload: 0.6, after: 0.6, darkFrom: 3000, dark: 1000, forecasts: true}
		with := l.play()
		GinkgoWriter.Println(with)
		Expect(with.served).To(Equal(with.callers))
		Expect(with.refusedEarly).To(BeZero())
	})

	It("whose endpoint is dark for some deadlines loses no caller that would have been served", func() {
		l := load{overload: 0.6, after: 0.6, darkFrom: 3000, dark: 6000}
		without := l.play()
		l.forecasts = true
		with := l.play()
		GinkgoWriter.Println(without, with)
		Expect(with.served).To(BeNumerically(">=", without.served*98/100))
	})

	It("whose endpoint is dark for long is refused after a while, not at its deadline", func() {
		l := load{overload: 0.6, after: 0.6, darkFrom: 1000, dark: 12_000}
		without := l.play()
		l.forecasts = true
		with := l.play()
		GinkgoWriter.Println(without, with)
		Expect(with.served).To(BeNumerically(">=", without.served))
		Expect(with.waitedInVain).To(BeNumerically("<", without.waitedInVain))
	})
})
