// Package zpline implements a priority queue of requests that wait for capacity
// at an endpoint.
//
// Under overload, a FIFO queue makes every request miss its latency objective.
// This queue first serves the requests that can still meet their objective. Among
// requests of the same rank, those closest to missing it come first. Requests
// that can no longer meet it are served with the remaining capacity until their
// deadline.
package zpline

import (
	"slices"
	"time"
)

type (
	// Entry is one waiting request.
	Entry[T any] struct {
		Rank        int  // 0 is the highest priority
		IsOver      bool // its workspace asks for more than its share; goes after others of its rank
		ArrivedAt   time.Time
		Objective   time.Duration // from ArrivedAt, for the first byte of the answer
		ServiceTime time.Duration // estimated time from the start to the first byte of the answer
		Lead        time.Duration // estimated time added to ServiceTime by what waits at the endpoints; may change while queued
		Deadline    time.Time     // for the first byte of the answer
		Value       T
	}

	// Queue is a queue of waiting requests. It is not safe for concurrent use.
	Queue[T any] struct {
		entries []*Entry[T]
	}
)

// Add adds a request to the queue.
func (l *Queue[T]) Add(e *Entry[T]) { l.entries = append(l.entries, e) }

// Remove removes a request from the queue and reports whether it was queued.
func (l *Queue[T]) Remove(e *Entry[T]) bool {
	i := slices.Index(l.entries, e)
	if i < 0 {
		return false
	}
	l.entries = slices.Delete(l.entries, i, i+1)
	return true
}

// Len returns the number of waiting requests.
func (l *Queue[T]) Len() int { return len(l.entries) }

// Ordered returns the waiting requests in the order in which they are served.
func (l *Queue[T]) Ordered(now time.Time) []*Entry[T] {
	out := slices.Clone(l.entries)
	slices.SortStableFunc(out, func(a, b *Entry[T]) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		default:
			return 0
		}
	})
	return out
}

// SumAhead returns the sum of a quantity over the waiting requests that are served before e.
func (l *Queue[T]) SumAhead(e *Entry[T], now time.Time, quantity func(T) float64) float64 {
	sum := 0.0
	for _, x := range l.entries {
		if x != e && !e.before(x, now) {
			sum += quantity(x.Value)
		}
	}
	return sum
}

// RemoveExpired removes and returns the requests that can no longer be answered before
// their deadline.
func (l *Queue[T]) RemoveExpired(now time.Time) []*Entry[T] {
	var out []*Entry[T]
	l.entries = slices.DeleteFunc(l.entries, func(e *Entry[T]) bool {
		if now.Add(e.ServiceTime).Before(e.Deadline) {
			return false
		}
		out = append(out, e)
		return true
	})
	return out
}

// WouldBeFirst reports whether a request that is not queued would be served before all
// queued requests.
func (l *Queue[T]) WouldBeFirst(e *Entry[T], now time.Time) bool {
	return !slices.ContainsFunc(l.entries, func(x *Entry[T]) bool { return !e.before(x, now) })
}

// CanMeetObjective reports whether a request that starts now can be answered
// within its objective.
func (e *Entry[T]) CanMeetObjective(now time.Time) bool {
	return !now.Add(e.ServiceTime + e.Lead).After(e.ArrivedAt.Add(e.Objective))
}

func (e *Entry[T]) before(x *Entry[T], now time.Time) bool {
	if a, b := e.CanMeetObjective(now), x.CanMeetObjective(now); a != b {
		return a
	}
	if e.Rank != x.Rank {
		return e.Rank < x.Rank
	}
	if e.IsOver != x.IsOver {
		return x.IsOver
	}
	if a, b := e.ArrivedAt.Add(e.Objective), x.ArrivedAt.Add(x.Objective); !a.Equal(b) {
		return a.Before(b)
	}
	return e.ArrivedAt.Before(x.ArrivedAt)
}
