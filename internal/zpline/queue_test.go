package zpline_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpline"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// request returns a request with an objective of 1 s and a service time of 200 ms.
func request(name string, since int) *zpline.Entry[string] {
	return &zpline.Entry[string]{
		Rank: 1, ArrivedAt: at(since), Objective: time.Second, ServiceTime: 200 * time.Millisecond, Deadline: at(since + 15_000), Value: name,
	}
}

func names(l *zpline.Queue[string], now time.Time) []string {
	var out []string
	for _, e := range l.Ordered(now) {
		out = append(out, e.Value)
	}
	return out
}

var _ = Describe("Queue", func() {
	var l *zpline.Queue[string]

	BeforeEach(func() { l = &zpline.Queue[string]{} })

	It("serves the request closest to missing its objective first", func() {
		l.Add(request("new", 300))
		l.Add(request("old", 0))
		Expect(names(l, at(400))).To(Equal([]string{"old", "new"}))
	})

	It("serves requests that missed their objective last, in order of arrival", func() {
		l.Add(request("late", 0))
		l.Add(request("later", 50))
		l.Add(request("new", 900))
		Expect(names(l, at(1000))).To(Equal([]string{"new", "late", "later"}))
	})

	It("serves urgent requests first, but late ones only after those that can meet their objective", func() {
		urgent := request("urgent", 300)
		urgent.Rank = 0
		lateUrgent := request("late urgent", -900)
		lateUrgent.Rank = 0
		l.Add(lateUrgent)
		l.Add(request("old", 0))
		l.Add(urgent)
		Expect(names(l, at(400))).To(Equal([]string{"urgent", "old", "late urgent"}))
	})

	It("serves a workspace that asks for more than its share after others of the same rank", func() {
		over := request("over", 0)
		over.IsOver = true
		urgentOver := request("urgent over", 250)
		urgentOver.Rank, urgentOver.IsOver = 0, true
		l.Add(over)
		l.Add(urgentOver)
		l.Add(request("new", 300))
		l.Add(request("late", -900))
		Expect(names(l, at(400))).To(Equal([]string{"urgent over", "new", "over", "late"}))
	})

	It("counts what waits at the endpoints for the objective, but not for the deadline", func() {
		slow := request("slow", 0)
		slow.Lead = 500 * time.Millisecond
		l.Add(slow)
		l.Add(request("new", 100))
		Expect(names(l, at(301))).To(Equal([]string{"new", "slow"}))
		Expect(l.RemoveExpired(at(14_799))).To(BeEmpty())
	})

	It("sums what is served before a request", func() {
		l.Add(request("old", 0))
		l.Add(request("new", 300))
		Expect(l.SumAhead(request("middle", 100), at(400), func(string) float64 { return 2 })).To(Equal(2.0))
	})

	It("removes requests that cannot be answered before their deadline", func() {
		l.Add(request("a", 0))
		Expect(l.RemoveExpired(at(14_799))).To(BeEmpty())
		Expect(l.RemoveExpired(at(14_800))).To(HaveLen(1))
		Expect(l.Len()).To(BeZero())
	})

	It("reports whether a new request would be served first", func() {
		l.Add(request("a", 0))
		urgent := request("urgent", 100)
		urgent.Rank = 0
		Expect(l.WouldBeFirst(urgent, at(200))).To(BeTrue())
		Expect(l.WouldBeFirst(request("b", 100), at(200))).To(BeFalse())
	})

	It("meets most objectives in an overload in which a FIFO queue meets less than half as many", func() {
		onTime, served := simulateOverload(func(l *zpline.Queue[string], now time.Time) *zpline.Entry[string] { return l.Ordered(now)[0] })
		byArrival, _ := simulateOverload(func(l *zpline.Queue[string], now time.Time) *zpline.Entry[string] {
			list := l.Ordered(now)
			first := list[0]
			for _, e := range list {
				if e.ArrivedAt.Before(first.ArrivedAt) {
					first = e
				}
			}
			return first
		})
		// At 1.3 times the capacity, about three quarters of the requests can meet
		// their objective.
		Expect(onTime).To(BeNumerically(">", 0.65))
		Expect(byArrival).To(BeNumerically("<", 0.5*onTime))
		Expect(served).To(BeNumerically(">", 0.99))
	})
})

// simulateOverload simulates a server that takes 50 ms per request. The load is
// 1.3 times its capacity for ten seconds and half its capacity afterwards. It
// returns the fractions of the requests from the overload that met their
// objective and that were answered at all.
func simulateOverload(next func(l *zpline.Queue[string], now time.Time) *zpline.Entry[string]) (onTime, served float64) {
	const service, overload, end = 50, 10_000, 40_000
	random := rand.New(rand.NewPCG(1, 2))
	l := &zpline.Queue[string]{}
	var sent, metObjective, answered int
	freeAt := 0
	for ms := 0; ms < end; ms++ {
		rate := 0.5
		if ms < overload {
			rate = 1.3
		}
		if random.Float64() < rate/service {
			e := request("", ms)
			e.ServiceTime = service * time.Millisecond
			l.Add(e)
			if ms < overload {
				sent++
			}
		}
		l.RemoveExpired(at(ms))
		if ms < freeAt || l.Len() == 0 {
			continue
		}
		e := next(l, at(ms))
		l.Remove(e)
		freeAt = ms + service
		if e.ArrivedAt.Before(at(overload)) {
			answered++
			if !at(freeAt).After(e.ArrivedAt.Add(e.Objective)) {
				metObjective++
			}
		}
	}
	return float64(metObjective) / float64(sent), float64(answered) / float64(sent)
}
