package zpqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpqueue"
)

var start = time.Unix(1000, 0)

func push(q *zpqueue.Queue[int], flow string, class zpqueue.Class, weight int, cost int64, n int) {
	for i := range n {
		q.Push(&zpqueue.Item[int]{
			ID: fmt.Sprintf("%s/%d/%d", flow, class, i), Flow: flow, Weight: weight, Cost: cost, Class: class, Expiry: start.Add(time.Minute),
		})
	}
}

// pop pops n items and returns their number by flow.
func pop(q *zpqueue.Queue[int], n int) map[string]int {
	out := map[string]int{}
	for range n {
		if it, ok := q.Pop(func(*zpqueue.Item[int]) bool { return true }); ok {
			out[it.Flow]++
		}
	}
	return out
}

var _ = Describe("Queue", func() {
	It("serves a quiet flow in turn with a flow that has a long backlog", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "flood", zpqueue.ClassUrgent, 1, 100, 500)
		push(q, "quiet", zpqueue.ClassUrgent, 1, 100, 10)
		Expect(pop(q, 20)["quiet"]).To(BeNumerically(">=", 9))
	})

	It("shares service by cost, not by number of items", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "long", zpqueue.ClassUrgent, 1, 1000, 50)
		push(q, "short", zpqueue.ClassUrgent, 1, 100, 50)
		out := pop(q, 33)
		Expect(out["short"]).To(BeNumerically("~", 30, 1))
	})

	It("shares service in proportion to the weights", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "heavy", zpqueue.ClassUrgent, 3, 100, 100)
		push(q, "light", zpqueue.ClassUrgent, 1, 100, 100)
		Expect(pop(q, 40)["heavy"]).To(BeNumerically("~", 30, 1))
	})

	It("prefers the urgent class without starving the other class", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "u", zpqueue.ClassUrgent, 1, 1, 100)
		push(q, "o", zpqueue.ClassOther, 1, 1, 100)
		out := pop(q, 90)
		Expect(out["o"]).To(Equal(90 / (zpqueue.MaxUrgentRun + 1)))
	})

	It("does not charge a flow for service before an idle period", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "a", zpqueue.ClassUrgent, 1, 1000, 20)
		pop(q, 20)
		push(q, "a", zpqueue.ClassUrgent, 1, 10, 5)
		push(q, "b", zpqueue.ClassUrgent, 1, 10, 5)
		Expect(pop(q, 6)["a"]).To(BeNumerically(">=", 2))
	})

	It("skips items that are not admitted and keeps them in the queue", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "a", zpqueue.ClassUrgent, 1, 1, 1)
		push(q, "b", zpqueue.ClassUrgent, 1, 1, 1)
		it, ok := q.Pop(func(it *zpqueue.Item[int]) bool { return it.Flow == "b" })
		Expect(ok).To(BeTrue())
		Expect(it.Flow).To(Equal("b"))
		Expect(q.Len(zpqueue.ClassUrgent)).To(Equal(1))
	})

	It("removes items by ID and by expiry", func() {
		q := &zpqueue.Queue[int]{}
		push(q, "a", zpqueue.ClassUrgent, 1, 1, 2)
		Expect(q.Contains("a/0/0")).To(BeTrue())
		Expect(q.Remove("a/0/0")).To(BeTrue())
		Expect(q.Remove("a/0/0")).To(BeFalse())
		Expect(q.Expire(start)).To(BeEmpty())
		Expect(q.Expire(start.Add(time.Minute))).To(HaveLen(1))
	})
})
