package zpstandin

import (
	"context"
	"sync"
)

// slotQueue is a semaphore. A released slot goes to the longest waiting urgent
// request or, if there is none, to the longest waiting other request.
type slotQueue struct {
	mu     sync.Mutex
	free   int
	urgent []chan struct{}
	other  []chan struct{}
}

func newSlotQueue(n int) *slotQueue { return &slotQueue{free: n} }

// acquire waits for a slot. It returns an error, without a slot, if ctx ends first.
func (q *slotQueue) acquire(ctx context.Context, urgent bool) error {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	if urgent {
		q.urgent = append(q.urgent, granted)
	} else {
		q.other = append(q.other, granted)
	}
	q.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		q.abandon(granted)
		return ctx.Err()
	}
}

// release returns a slot and hands it to the next waiting request.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiters := range []*[]chan struct{}{&q.urgent, &q.other} {
		if len(*waiters) > 0 {
			close((*waiters)[0])
			*waiters = (*waiters)[1:]
			return
		}
	}
	q.free++
}

// abandon removes a waiting request whose context ended.
func (q *slotQueue) abandon(granted chan struct{}) {
	q.mu.Lock()
	for _, waiters := range []*[]chan struct{}{&q.urgent, &q.other} {
		for i, w := range *waiters {
			if w == granted {
				*waiters = append((*waiters)[:i], (*waiters)[i+1:]...)
				q.mu.Unlock()
				return
			}
		}
	}
	q.mu.Unlock()
	q.release() // the slot was granted at the same time
}
