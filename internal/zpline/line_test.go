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

// draft is a request with an objective of 1 s whose prompt takes 200 ms.
func draft(name string, since int) *zpline.Entry[string] {
	return &zpline.Entry[string]{
		Rank: 1, Since: at(since), Objective: time.Second, Service: 200 * time.Millisecond, Deadline: at(since + 15_000), Value: name,
	}
}

func names(l *zpline.Line[string], now time.Time) []string {
	var out []string
	for _, e := range l.Ordered(now) {
		out = append(out, e.Value)
	}
	return out
}

var _ = Describe("Line", func() {
	var l *zpline.Line[string]

	BeforeEach(func() { l = &zpline.Line[string]{} })

	It("serves the request first that is nearest to missing its objective", func() {
		l.Add(draft("new", 300))
		l.Add(draft("old", 0))
		Expect(names(l, at(400))).To(Equal([]string{"old", "new"}))
	})

	It("serves those that have missed it last, the oldest first", func() {
		l.Add(draft("late", 0))
		l.Add(draft("later", 50))
		l.Add(draft("new", 900))
		Expect(names(l, at(1000))).To(Equal([]string{"new", "late", "later"}))
	})

	It("serves urgent requests first, but not late ones before those on time", func() {
		urgent := draft("urgent", 300)
		urgent.Rank = 0
		lateUrgent := draft("late urgent", -900)
		lateUrgent.Rank = 0
		l.Add(lateUrgent)
		l.Add(draft("old", 0))
		l.Add(urgent)
		Expect(names(l, at(400))).To(Equal([]string{"urgent", "old", "late urgent"}))
	})

	It("gives up requests that cannot be answered before their deadline", func() {
		l.Add(draft("a", 0))
		Expect(l.Expired(at(14_799))).To(BeEmpty())
		Expect(l.Expired(at(14_800))).To(HaveLen(1))
		Expect(l.Len()).To(BeZero())
	})

	It("lets a request pass that would have its turn first", func() {
		l.Add(draft("a", 0))
		urgent := draft("urgent", 100)
		urgent.Rank = 0
		Expect(l.First(urgent, at(200))).To(BeTrue())
		Expect(l.First(draft("b", 100), at(200))).To(BeFalse())
	})

	It("keeps most requests on time in an overload in which order of arrival keeps none", func() {
		onTime, served := playOverload(func(l *zpline.Line[string], now time.Time) *zpline.Entry[string] { return l.Ordered(now)[0] })
		byArrival, _ := playOverload(func(l *zpline.Line[string], now time.Time) *zpline.Entry[string] {
			list := l.Ordered(now)
			first := list[0]
			for _, e := range list {
				if e.Since.Before(first.Since) {
					first = e
				}
			}
			return first
		})
		// 1.3 times the load for ten seconds: three quarters can be on time.
		Expect(onTime).To(BeNumerically(">", 0.65))
		Expect(byArrival).To(BeNumerically("<", 0.5*onTime))
		Expect(served).To(BeNumerically(">", 0.99))
	})
})

// playOverload plays a server that takes 50 ms a request, with 1.3 times the
// load that it bears for ten seconds and half of it afterwards. It returns the
// shares of the requests of the overload that were on time and that were
// answered at all.
func playOverload(next func(l *zpline.Line[string], now time.Time) *zpline.Entry[string]) (onTime, served float64) {
	const service, overload, end = 50, 10_000, 40_000
	random := rand.New(rand.NewPCG(1, 2))
	l := &zpline.Line[string]{}
	var sent, good, done int
	freeAt := 0
	for ms := 0; ms < end; ms++ {
		rate := 0.5
		if ms < overload {
			rate = 1.3
		}
		if random.Float64() < rate/service {
			e := draft("", ms)
			e.Service = service * time.Millisecond
			l.Add(e)
			if ms < overload {
				sent++
			}
		}
		l.Expired(at(ms))
		if ms < freeAt || l.Len() == 0 {
			continue
		}
		e := next(l, at(ms))
		l.Remove(e)
		freeAt = ms + service
		if e.Since.Before(at(overload)) {
			done++
			if !at(freeAt).After(e.Since.Add(e.Objective)) {
				good++
			}
		}
	}
	return float64(good) / float64(sent), float64(done) / float64(sent)
}
