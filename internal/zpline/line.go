// Package zpline orders requests that wait for room at an endpoint.
//
// Under overload a queue in order of arrival makes every request late. Here the
// requests that can still be answered within their objective go first, the
// nearest to missing it before the others; those that have missed it are served
// with what is left, until their deadline.
package zpline

import (
	"slices"
	"time"
)

type (
	// Entry is one waiting request.
	Entry[T any] struct {
		Rank      int // 0 is the most urgent
		Since     time.Time
		Objective time.Duration // from Since, for the first byte of the answer
		Service   time.Duration // from its start to the first byte of the answer
		Deadline  time.Time     // for the first byte of the answer
		Value     T
	}

	// Line holds waiting requests. It is not safe for concurrent use.
	Line[T any] struct {
		entries []*Entry[T]
	}
)

// Add puts a request in line.
func (l *Line[T]) Add(e *Entry[T]) { l.entries = append(l.entries, e) }

// Remove takes a request out of the line and reports whether it was there.
func (l *Line[T]) Remove(e *Entry[T]) bool {
	i := slices.Index(l.entries, e)
	if i < 0 {
		return false
	}
	l.entries = slices.Delete(l.entries, i, i+1)
	return true
}

// Len returns how many requests wait.
func (l *Line[T]) Len() int { return len(l.entries) }

// Ordered returns the waiting requests, the one whose turn it is first.
func (l *Line[T]) Ordered(now time.Time) []*Entry[T] {
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

// Expired takes the requests out of the line that can no longer be answered
// before their deadline.
func (l *Line[T]) Expired(now time.Time) []*Entry[T] {
	var out []*Entry[T]
	l.entries = slices.DeleteFunc(l.entries, func(e *Entry[T]) bool {
		if now.Add(e.Service).Before(e.Deadline) {
			return false
		}
		out = append(out, e)
		return true
	})
	return out
}

// First reports whether a request that is not in line would have its turn before
// all that are.
func (l *Line[T]) First(e *Entry[T], now time.Time) bool {
	return !slices.ContainsFunc(l.entries, func(x *Entry[T]) bool { return !e.before(x, now) })
}

// OnTime reports whether a request that starts now can be answered within its
// objective.
func (e *Entry[T]) OnTime(now time.Time) bool {
	return !now.Add(e.Service).After(e.Since.Add(e.Objective))
}

func (e *Entry[T]) before(x *Entry[T], now time.Time) bool {
	if a, b := e.OnTime(now), x.OnTime(now); a != b {
		return a
	}
	if e.Rank != x.Rank {
		return e.Rank < x.Rank
	}
	if a, b := e.Since.Add(e.Objective), x.Since.Add(x.Objective); !a.Equal(b) {
		return a.Before(b)
	}
	return e.Since.Before(x.Since)
}
