package zpstandin

import (
	"context"
	"sync"
)

// slotQueue admits a limited number at once; urgent ones go first.
type slotQueue struct {
	mu     sync.Mutex
	free   int
	urgent []chan struct{}
	other  []chan struct{}
}

func newSlotQueue(n int) *slotQueue { return &slotQueue{free: n} }

// enter waits for a slot.
func (q *slotQueue) enter(ctx context.Context, urgent bool) error {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	if urgent {
		q.urgent = append(q.urgent, turn)
	} else {
		q.other = append(q.other, turn)
	}
	q.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		q.abandon(turn)
		return ctx.Err()
	}
}

// leave gives a slot back.
func (q *slotQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, lane := range []*[]chan struct{}{&q.urgent, &q.other} {
		if len(*lane) > 0 {
			close((*lane)[0])
			*lane = (*lane)[1:]
			return
		}
	}
	q.free++
}

func (q *slotQueue) abandon(turn chan struct{}) {
	q.mu.Lock()
	for _, lane := range []*[]chan struct{}{&q.urgent, &q.other} {
		for i, t := range *lane {
			if t == turn {
				*lane = append((*lane)[:i], (*lane)[i+1:]...)
				q.mu.Unlock()
				return
			}
		}
	}
	q.mu.Unlock()
	q.leave() // the turn came at the same moment
}
