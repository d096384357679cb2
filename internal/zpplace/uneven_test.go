package zpplace_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

func shortPrompts(perSecond float64) *promptKind {
	aim := 500 * time.Millisecond
	return &promptKind{
		name: "short", request: zpplace.Request{PromptTokens: 2_400, OutputTokens: 3, MaxBacklog: aim}, uncached: 500, aim: aim, perSecond: perSecond,
	}
}

func longPrompts(perSecond float64) *promptKind {
	aim := time.Second
	return &promptKind{
		name: "long", request: zpplace.Request{PromptTokens: 12_000, OutputTokens: 55, MaxBacklog: aim * 55 / 100}, uncached: 3_000, aim: aim, perSecond: perSecond,
	}
}

// beliefs is what daemons use for placing.
type beliefs struct {
	speed bool // what engines say of their speed
	age   bool // the age of other daemons' loads, and a preference of each daemon
}

// result is what became of all prompts of a play.
type result struct {
	missed  float64 // share that missed the aim
	longest time.Duration
	busiest float64 // work of the busiest engine, as a multiple of the mean
}

var _ = Describe("Placing on uneven engines", func() {
	// played plays a load on 24 engines, each of which is slow by 2.5 one seventh of the time.
	played := func(b beliefs, change func(p *play)) result {
		var out result
		asked, missed := 0, 0
		for seed := range uint64(2) {
			p := newPlay(24, 24, seed, shortPrompts(495), longPrompts(144))
			p.usesSpeed, p.weighsAge = b.speed, b.age
			p.makeUneven()
			change(p)
			p.run(12 * time.Second)
			for _, k := range p.kinds {
				asked, missed, out.longest = asked+k.asked, missed+k.asked-k.inAim, max(out.longest, k.longest)
			}
			out.busiest = max(out.busiest, p.busiest())
		}
		out.missed = float64(missed) / float64(asked)
		return out
	}
	compare := func(b, a beliefs, change func(p *play)) (before, after result) {
		before, after = played(b, change), played(a, change)
		AddReportEntry("before and after", fmt.Sprintf("%+v %+v", before, after))
		return before, after
	}
	loadsEach := func(interval time.Duration) func(p *play) {
		return func(p *play) {
			for _, d := range p.daemons {
				d.interval = interval
			}
		}
	}
	halfOld := func(p *play) {
		for i, d := range p.daemons {
			d.interval = []time.Duration{300 * time.Millisecond, time.Second}[i%2]
		}
	}
	oneDark := func(p *play) {
		loadsEach(500 * time.Millisecond)(p)
		p.engines[0].isDark = true
	}

	// Guards against daemons that all choose the engine that had the least load.
	DescribeTable("serves more prompts in time if loads of other daemons are weighed by their age",
		func(maxMissed float64, change func(p *play)) {
			before, after := compare(beliefs{}, beliefs{age: true}, change)
			Expect(after.missed).To(And(BeNumerically("<", before.missed), BeNumerically("<", maxMissed)))
		},
		Entry("with loads that are half a second old", 0.01, loadsEach(500*time.Millisecond)),
		Entry("with loads that are a second old", 0.01, loadsEach(time.Second)),
		Entry("with half of the daemons having loads that are a second old", 0.01, halfOld),
		Entry("with an engine that answers nothing", 0.01, oneDark),
	)

	DescribeTable("serves more prompts in time with what engines say of their speed",
		func(left float64, change func(p *play)) {
			before, after := compare(beliefs{age: true}, beliefs{age: true, speed: true}, change)
			Expect(after.missed).To(BeNumerically("<", left*before.missed))
			// A fast belief must not gather the work of all daemons.
			Expect(after.busiest).To(BeNumerically("<", before.busiest+0.1))
		},
		Entry("with fresh loads", 0.8, loadsEach(200*time.Millisecond)),
		Entry("with loads that are half a second old", 0.8, loadsEach(500*time.Millisecond)),
		Entry("with half of the daemons having loads that are a second old", 0.8, halfOld),
		Entry("with half of the daemons knowing nothing of speeds", 1.0, func(p *play) {
			for i, d := range p.daemons {
				d.isDeaf = i%2 == 0
			}
		}),
		Entry("with an engine that answers nothing", 0.8, oneDark),
	)

	It("is as before where engines do not tell their speed", func() {
		even := func(p *play) {
			for _, e := range p.engines {
				e.changesAt = start.Add(time.Hour)
			}
		}
		before, after := compare(beliefs{age: true}, beliefs{age: true, speed: true}, even)
		Expect(after).To(Equal(before))
	})
})
