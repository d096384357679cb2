package zpsoak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var _ = Describe("A run that goes on for a client that has disconnected", func() {
	const source = "127.0.0.1:40000"

	// violations returns those of a client that disconnected at 10,100 ms.
	violations := func(endedMS int, arrange func(*run)) []string {
		r := newTestRun(1)
		r.requestLog.add(request{ID: "x", Kind: "stream", SentAt: at(10_000), DoneAt: at(10_100), CanceledAt: at(10_100), Interrupted: true})
		x := zpoutside.Run{Request: "x", Endpoint: "i-0-1", Domain: "a", At: at(10_050), Source: source}
		if endedMS > 0 {
			x.Ended = at(endedMS)
		}
		r.cluster.log.RecordStart(x)
		arrange(r)
		return r.withRecovery().evaluate().Violations
	}

	It("is described by where it ended", func() {
		Expect(violations(11_400, func(r *run) {
			r.cluster.ends.record(source, connectionEnd{1, at(9_000)})
			r.cluster.ends.record(source, connectionEnd{2, at(10_130)})
			r.cluster.ends.record("127.0.0.1:40001", connectionEnd{3, at(10_110)})
			r.stalls.observe(at(10_200))
			r.stalls.observe(at(10_610))
		})).To(ContainElement(HaveSuffix("disconnected at Jan  1 00:16:50.100, ended at the link of daemon 2 after 30ms and at the endpoint after 1.3s, the soak stood still for 400ms meanwhile")))
	})

	DescribeTable("is judged without the time that the soak stood still after the daemon had ended it",
		func(linkMS, endedMS int, isViolation bool, ticksMS ...int) {
			list := violations(endedMS, func(r *run) {
				if linkMS > 0 {
					r.cluster.ends.record(source, connectionEnd{0, at(linkMS)})
				}
				for _, t := range ticksMS {
					r.stalls.observe(at(t))
				}
			})
			if isViolation {
				Expect(list).To(ContainElement(HavePrefix("departed:")))
			} else {
				Expect(list).To(BeEmpty())
			}
		},
		Entry("allows a stall of that length", 10_130, 11_400, false, 10_200, 11_000),
		Entry("reports the same time without a stall", 10_130, 11_400, true),
		Entry("reports the same time with a shorter stall", 10_130, 11_400, true, 10_200, 10_600),
		Entry("reports it with a stall before the daemon's end", 11_350, 11_400, true, 10_200, 11_300),
		Entry("reports it with a stall after the run", 10_130, 11_400, true, 11_400, 13_000),
		Entry("reports it where the daemon did not end it", 0, 11_400, true, 10_200, 11_000),
		Entry("reports a run that goes on", 10_130, 0, true, 10_200, 59_000),
	)

	// lateViolations returns those of a client that disconnected at 10,100 ms, with a run that was held
	// on the link until 17,000 ms.
	lateViolations := func(startedMS, endedMS int, faults ...faultWindow) []string {
		r := newTestRun(1)
		r.faults.faultWindows = faults
		r.requestLog.add(request{ID: "x", Kind: "stream", SentAt: at(10_000), DoneAt: at(10_100), CanceledAt: at(10_100), Interrupted: true})
		x := zpoutside.Run{Request: "x", Endpoint: "i-0-1", Domain: "a", At: at(startedMS), Source: source}
		if endedMS > 0 {
			x.Ended = at(endedMS)
		}
		r.cluster.log.RecordStart(x)
		return r.withRecovery().evaluate().Violations
	}
	held := []faultWindow{
		{Kind: EndpointCut, From: at(9_000), To: at(12_000)}, {Kind: StrandedHang, Stranded: Stranded{Daemons: []int{0}}, From: at(11_500), To: at(17_000)},
	}

	It("is judged from its start if its late start is excused", func() {
		Expect(lateViolations(17_050, 17_060, held...)).To(BeEmpty())
	})

	It("is reported if it goes on after a late start that is excused", func() {
		Expect(lateViolations(17_050, 17_900, held...)).To(ConsistOf(HavePrefix("departed: x of daemon 0 still ran")))
		Expect(lateViolations(17_050, 0, held...)).To(ConsistOf(HavePrefix("departed: x of daemon 0 still ran")))
	})

	It("is reported for a late start that is not excused, however short it is", func() {
		Expect(lateViolations(17_050, 17_060)).To(ConsistOf(HavePrefix("departed: x of daemon 0 started"), HavePrefix("departed: x of daemon 0 still ran")))
	})

	It("is described as one that did not end", func() {
		Expect(violations(0, func(*run) {})).To(ContainElement(HaveSuffix("ended at no link and not at the endpoint, the soak stood still for 0s meanwhile")))
	})
})

var _ = Describe("stallWatch", func() {
	// stalled returns for how long the process stood still from 1,000 to 2,000 ms.
	stalled := func(ticksMS ...int) time.Duration {
		w := &stallWatch{}
		for _, t := range ticksMS {
			w.observe(at(t))
		}
		return w.between(at(1_000), at(2_000))
	}

	It("finds none where ticks come in time", func() { Expect(stalled(1_000, 1_010, 1_025, 1_080)).To(BeZero()) })
	It("counts a tick's delay", func() { Expect(stalled(1_000, 1_400)).To(Equal(390 * time.Millisecond)) })
	It("adds up delays", func() { Expect(stalled(1_000, 1_110, 1_120, 1_330)).To(Equal(300 * time.Millisecond)) })
	It("counts the part of a delay within the period", func() { Expect(stalled(790, 1_200, 1_900, 2_500)).To(Equal(980 * time.Millisecond)) })
	It("counts no delay outside the period", func() { Expect(stalled(100, 900, 990)).To(BeZero()) })
})
