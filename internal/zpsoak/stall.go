package zpsoak

import (
	"context"
	"sync"
	"time"
)

type (
	// stallWatch records when the soak's own process stood still. Clients, links and endpoints run
	// in it, so that they forward and record late meanwhile. It is safe for concurrent use.
	stallWatch struct {
		mu     sync.Mutex
		last   time.Time
		stalls []stall // oldest first
	}

	// stall is a period in which a timer of the process ran out and was not served.
	stall struct{ From, To time.Time }
)

const (
	stallTick = 10 * time.Millisecond
	// minStall is the shortest delay of a tick that is recorded.
	minStall = 50 * time.Millisecond
)

// run watches until ctx ends.
func (w *stallWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.observe(time.Now())
		sleep(ctx, stallTick)
	}
}

// observe records a tick.
func (w *stallWatch) observe(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if due := w.last.Add(stallTick); !w.last.IsZero() && now.Sub(due) >= minStall {
		w.stalls = append(w.stalls, stall{due, now})
	}
	w.last = now
}

// between returns for how long the process stood still between from and to.
func (w *stallWatch) between(from, to time.Time) (total time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stalls {
		begin, end := s.From, s.To
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		total += max(end.Sub(begin), 0)
	}
	return total
}
