// Package zpqueue is a weighted fair queue with two classes. Within a class,
// flows share by cost over weight (start-time fair queueing); between classes,
// the urgent one goes first, but every few turns the other has its own.
package zpqueue

import (
	"container/heap"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Class separates requests that must be quick from those that may wait.
	Class int

	// Item is one waiting entry.
	Item[T any] struct {
		ID     string
		Flow   string
		Weight int
		Cost   int64
		Class  Class
		Expiry time.Time
		Value  T

		start float64
		order uint64
	}

	// Queue is a fair queue. It is not safe for concurrent use.
	Queue[T any] struct {
		lanes  [classes]lane[T]
		order  uint64
		passed int // urgent turns since the other class had one
	}

	lane[T any] struct {
		items   itemHeap[T]
		virtual float64
		finish  map[string]float64
		counts  map[string]int // waiting items by flow
	}

	itemHeap[T any] []*Item[T]
)

// Classes.
const (
	ClassUrgent Class = iota
	ClassOther

	classes = 2
)

// UrgentTurnsPerOther is how many urgent items go ahead of a waiting item of
// the other class.
const UrgentTurnsPerOther = 8

// Push adds an item.
func (q *Queue[T]) Push(it *Item[T]) {
	l := &q.lanes[it.Class]
	if l.finish == nil {
		l.finish = map[string]float64{}
	}
	weight := max(it.Weight, 1)
	it.start = max(l.virtual, l.finish[it.Flow])
	if zpmutant.Active(zpmutant.FairQueue) {
		it.start = 0
	}
	l.finish[it.Flow] = it.start + float64(max(it.Cost, 1))/float64(weight)
	q.order++
	it.order = q.order
	l.add(it)
}

// Pop takes the item whose turn it is among those that admit accepts. Expired
// items must be removed with Expire first.
func (q *Queue[T]) Pop(admit func(*Item[T]) bool) (*Item[T], bool) {
	first, second := ClassUrgent, ClassOther
	if q.passed >= UrgentTurnsPerOther {
		first, second = ClassOther, ClassUrgent
	}
	for _, class := range []Class{first, second} {
		it, ok := q.lanes[class].pop(admit)
		if !ok {
			continue
		}
		q.count(class)
		return it, true
	}
	return nil, false
}

// Has reports whether an item with the given id waits.
func (q *Queue[T]) Has(id string) bool {
	for c := range q.lanes {
		for _, it := range q.lanes[c].items {
			if it.ID == id {
				return true
			}
		}
	}
	return false
}

// Remove drops the item with the given id.
func (q *Queue[T]) Remove(id string) bool {
	for c := range q.lanes {
		for i, it := range q.lanes[c].items {
			if it.ID == id {
				q.lanes[c].remove(i)
				return true
			}
		}
	}
	return false
}

// Expire removes and returns the items whose time is over at now.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var out []*Item[T]
	for c := range q.lanes {
		for i := 0; i < len(q.lanes[c].items); {
			if now.Before(q.lanes[c].items[i].Expiry) {
				i++
				continue
			}
			out = append(out, q.lanes[c].items[i])
			q.lanes[c].remove(i)
		}
	}
	return out
}

// Drain removes and returns everything.
func (q *Queue[T]) Drain() []*Item[T] {
	var out []*Item[T]
	for c := range q.lanes {
		out = append(out, q.lanes[c].items...)
		q.lanes[c] = lane[T]{}
	}
	return out
}

// Len returns how many items of a class wait.
func (q *Queue[T]) Len(c Class) int { return len(q.lanes[c].items) }

// Ahead returns how many items of a class a new item of the flow would wait
// for: of each flow no more than the new item's own flow has, as they take turns.
func (q *Queue[T]) Ahead(flow string, c Class) int {
	l := &q.lanes[c]
	own := l.counts[flow] + 1
	ahead := 0
	for f, n := range l.counts {
		if f == flow {
			ahead += n
		} else {
			ahead += min(n, own)
		}
	}
	return ahead
}

// FlowLen returns how many items of a flow wait, in all classes.
func (q *Queue[T]) FlowLen(flow string) int {
	n := 0
	for c := range q.lanes {
		n += q.lanes[c].counts[flow]
	}
	return n
}

// Flows returns how many flows have waiting items.
func (q *Queue[T]) Flows() int {
	seen := map[string]bool{}
	for c := range q.lanes {
		for f := range q.lanes[c].counts {
			seen[f] = true
		}
	}
	return len(seen)
}

func (q *Queue[T]) count(c Class) {
	if c == ClassOther {
		q.passed = 0
		return
	}
	if q.lanes[ClassOther].items.Len() > 0 {
		q.passed++
	}
}

func (l *lane[T]) pop(admit func(*Item[T]) bool) (*Item[T], bool) {
	var kept []*Item[T]
	var found *Item[T]
	for l.items.Len() > 0 && found == nil {
		it := l.remove(0)
		if admit(it) {
			found = it
		} else {
			kept = append(kept, it)
		}
	}
	for _, it := range kept {
		l.add(it)
	}
	if found == nil {
		return nil, false
	}
	l.virtual = max(l.virtual, found.start)
	l.forget()
	return found, true
}

func (l *lane[T]) add(it *Item[T]) {
	if l.counts == nil {
		l.counts = map[string]int{}
	}
	l.counts[it.Flow]++
	heap.Push(&l.items, it)
}

func (l *lane[T]) remove(i int) *Item[T] {
	it := heap.Remove(&l.items, i).(*Item[T])
	l.counts[it.Flow]--
	if l.counts[it.Flow] == 0 {
		delete(l.counts, it.Flow)
	}
	return it
}

// forget ends a busy period: with nothing waiting, all flows have caught up, and
// what they used before counts no more.
func (l *lane[T]) forget() {
	if l.items.Len() > 0 {
		return
	}
	for _, finish := range l.finish {
		l.virtual = max(l.virtual, finish)
	}
	clear(l.finish)
}

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) { *h = append(*h, x.(*Item[T])) }

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
