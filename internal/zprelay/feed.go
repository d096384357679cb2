// Package zprelay passes the store's lists on inside a failure domain. A few
// daemons of each domain watch the store; the others follow one of them, so that
// calls to the store do not grow with the fleet. Whoever cannot follow, or hears
// that the one it follows has lost the store, watches the store itself.
package zprelay

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Feed is what a daemon has read of one prefix of the store. It is safe for
	// concurrent use.
	Feed struct {
		mu       sync.Mutex
		listed   bool
		objects  map[string]zpobject.Object
		revision int64
		batches  []zpobject.Listing // the newest changes, oldest first
		base     int64              // revision before the first batch
		news     chan struct{}      // closed at the next change
	}

	// Answer is what a follower is told.
	Answer struct {
		zpobject.Listing
		Whole bool // the objects are all that there are
	}
)

// batchLimit bounds the batches that a feed keeps. A follower that is further
// behind gets the whole list.
const batchLimit = 128

// NewFeed returns a feed that has read nothing.
func NewFeed() *Feed { return &Feed{news: make(chan struct{})} }

// SetAll takes over a complete list.
func (f *Feed) SetAll(l zpobject.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects = map[string]zpobject.Object{}
	for _, o := range l.Objects {
		f.objects[o.Name] = o
	}
	f.listed, f.revision, f.base, f.batches = true, l.Revision, l.Revision, nil
	f.wake()
}

// Add takes over the changes after revision from. Changes that do not follow
// what is known are left out; a new list comes after them.
func (f *Feed) Add(from int64, l zpobject.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || from != f.revision || l.Revision <= from {
		return
	}
	for _, o := range l.Objects {
		if o.Deleted {
			delete(f.objects, o.Name)
		} else {
			f.objects[o.Name] = o
		}
	}
	f.revision = l.Revision
	f.batches = append(f.batches, l)
	if len(f.batches) > batchLimit {
		f.base = f.batches[0].Revision
		f.batches = f.batches[1:]
	}
	f.wake()
}

// Since waits for changes after a revision; zero asks for the whole list. It
// reports false if nothing has been listed.
func (f *Feed) Since(ctx context.Context, since int64, wait time.Duration) (Answer, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		a, ready, listed, news := f.answer(since)
		f.mu.Unlock()
		if !listed || ready {
			return a, listed
		}
		select {
		case <-news:
		case <-timer.C:
			return a, true
		case <-ctx.Done():
			return a, true
		}
	}
}

// answer returns what can be said now, and whether it is worth saying.
func (f *Feed) answer(since int64) (a Answer, ready, listed bool, news chan struct{}) {
	if !f.listed {
		return Answer{}, false, false, nil
	}
	if since == f.revision {
		return Answer{Listing: zpobject.Listing{Revision: since}}, false, true, f.news
	}
	next := -1
	if since == f.base {
		next = 0
	}
	for i, b := range f.batches {
		if b.Revision == since {
			next = i + 1
		}
	}
	if next < 0 {
		// The revision stands between batches, or is not known: a part of a batch
		// could undo what the follower has seen.
		return f.whole(), true, true, nil
	}
	a.Revision = f.revision
	for _, b := range f.batches[next:] {
		a.Objects = append(a.Objects, b.Objects...)
	}
	return a, true, true, nil
}

func (f *Feed) whole() Answer {
	a := Answer{Whole: true, Listing: zpobject.Listing{Revision: f.revision}}
	for _, o := range f.objects {
		a.Objects = append(a.Objects, o)
	}
	return a
}

func (f *Feed) wake() {
	close(f.news)
	f.news = make(chan struct{})
}
