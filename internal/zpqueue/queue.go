// Package zpqueue implements a weighted fair queue with two priority classes.
// Within a class, start-time fair queueing shares service among flows by cost
// and weight. The urgent class has priority, with a bound on how many urgent
// items are served in a row while the other class is waiting.
package zpqueue

import (
	"container/heap"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Class is the priority class of an item.
	Class int

	// Item is a queue entry. Flow names the party that the item is charged to,
	// and Weight is the share of that flow.
	Item[T any] struct {
		ID     string
		Flow   string
		Weight int
		Cost   int64
		Class  Class
		Expiry time.Time
		Value  T

		startTag float64 // virtual time at which service may start
		sequence uint64  // insertion order, which breaks ties of startTag
	}

	// Queue is a weighted fair queue. It is not safe for concurrent use.
	Queue[T any] struct {
		byClass      [classCount]classQueue[T]
		lastSequence uint64
		urgentRun    int // urgent items popped in a row while other items were waiting
	}

	classQueue[T any] struct {
		items       itemHeap[T]
		virtualTime float64
		finishTags  map[string]float64 // finish tag of the last item pushed, by flow
		waiting     map[string]int     // number of waiting items, by flow
	}

	itemHeap[T any] []*Item[T]
)

// Priority classes, highest first.
const (
	ClassUrgent Class = iota
	ClassOther

	classCount = 2
)

// MaxUrgentRun is the maximum number of urgent items that are popped in a row
// while an item of the other class is waiting.
const MaxUrgentRun = 8

// Push adds an item and assigns its start tag.
func (q *Queue[T]) Push(it *Item[T]) {
	cq := &q.byClass[it.Class]
	if cq.finishTags == nil {
		cq.finishTags = map[string]float64{}
	}
	weight := max(it.Weight, 1)
	it.startTag = max(cq.virtualTime, cq.finishTags[it.Flow])
	if zpmutant.Active(zpmutant.FairQueue) {
		it.startTag = 0
	}
	cq.finishTags[it.Flow] = it.startTag + float64(max(it.Cost, 1))/float64(weight)
	q.lastSequence++
	it.sequence = q.lastSequence
	cq.add(it)
}

// Pop removes and returns the next item for which admit returns true. Items
// that are not admitted stay in the queue. The caller must remove expired items
// with Expire first.
func (q *Queue[T]) Pop(admit func(*Item[T]) bool) (*Item[T], bool) {
	first, second := ClassUrgent, ClassOther
	if q.urgentRun >= MaxUrgentRun {
		first, second = ClassOther, ClassUrgent
	}
	for _, class := range []Class{first, second} {
		it, ok := q.byClass[class].pop(admit)
		if !ok {
			continue
		}
		q.recordPop(class)
		return it, true
	}
	return nil, false
}

// Contains reports whether the item with the given ID is in the queue.
func (q *Queue[T]) Contains(id string) bool {
	for c := range q.byClass {
		for _, it := range q.byClass[c].items {
			if it.ID == id {
				return true
			}
		}
	}
	return false
}

// Remove removes the item with the given ID and reports whether it was found.
func (q *Queue[T]) Remove(id string) bool {
	for c := range q.byClass {
		for i, it := range q.byClass[c].items {
			if it.ID == id {
				q.byClass[c].remove(i)
				return true
			}
		}
	}
	return false
}

// Expire removes and returns the items whose Expiry is not after now.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var out []*Item[T]
	for c := range q.byClass {
		for i := 0; i < len(q.byClass[c].items); {
			if now.Before(q.byClass[c].items[i].Expiry) {
				i++
				continue
			}
			out = append(out, q.byClass[c].items[i])
			q.byClass[c].remove(i)
		}
	}
	return out
}

// Drain removes and returns all items and forgets the flows' earlier service.
func (q *Queue[T]) Drain() []*Item[T] {
	var out []*Item[T]
	for c := range q.byClass {
		out = append(out, q.byClass[c].items...)
		q.byClass[c] = classQueue[T]{}
	}
	return out
}

// Len returns the number of waiting items of a class.
func (q *Queue[T]) Len(c Class) int { return len(q.byClass[c].items) }

// Ahead estimates how many items of a class would be served before a new item
// of the flow. Flows are served in turn, so another flow counts with at most as
// many items as the given flow would then have.
func (q *Queue[T]) Ahead(flow string, c Class) int {
	cq := &q.byClass[c]
	own := cq.waiting[flow] + 1
	ahead := 0
	for f, n := range cq.waiting {
		if f == flow {
			ahead += n
		} else {
			ahead += min(n, own)
		}
	}
	return ahead
}

// FlowLen returns the number of waiting items of a flow in all classes.
func (q *Queue[T]) FlowLen(flow string) int {
	n := 0
	for c := range q.byClass {
		n += q.byClass[c].waiting[flow]
	}
	return n
}

// FlowCount returns the number of flows with waiting items.
func (q *Queue[T]) FlowCount() int {
	seen := map[string]bool{}
	for c := range q.byClass {
		for f := range q.byClass[c].waiting {
			seen[f] = true
		}
	}
	return len(seen)
}

// recordPop updates urgentRun after an item of class c was popped.
func (q *Queue[T]) recordPop(c Class) {
	if c == ClassOther {
		q.urgentRun = 0
		return
	}
	if q.byClass[ClassOther].items.Len() > 0 {
		q.urgentRun++
	}
}

func (cq *classQueue[T]) pop(admit func(*Item[T]) bool) (*Item[T], bool) {
	var skipped []*Item[T]
	var found *Item[T]
	for cq.items.Len() > 0 && found == nil {
		it := cq.remove(0)
		if admit(it) {
			found = it
		} else {
			skipped = append(skipped, it)
		}
	}
	for _, it := range skipped {
		cq.add(it)
	}
	if found == nil {
		return nil, false
	}
	cq.virtualTime = max(cq.virtualTime, found.startTag)
	cq.endBusyPeriod()
	return found, true
}

func (cq *classQueue[T]) add(it *Item[T]) {
	if cq.waiting == nil {
		cq.waiting = map[string]int{}
	}
	cq.waiting[it.Flow]++
	heap.Push(&cq.items, it)
}

func (cq *classQueue[T]) remove(i int) *Item[T] {
	it := heap.Remove(&cq.items, i).(*Item[T])
	cq.waiting[it.Flow]--
	if cq.waiting[it.Flow] == 0 {
		delete(cq.waiting, it.Flow)
	}
	return it
}

// endBusyPeriod advances the virtual time past all finish tags and drops them
// once the class is empty, so that a flow is not charged for service that it
// received in an earlier busy period.
func (cq *classQueue[T]) endBusyPeriod() {
	if cq.items.Len() > 0 {
		return
	}
	for _, tag := range cq.finishTags {
		cq.virtualTime = max(cq.virtualTime, tag)
	}
	clear(cq.finishTags)
}

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
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
