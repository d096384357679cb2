// Package zprelay relays the contents of the object store within a failure domain.
// A few daemons of each domain watch the store and the others follow one of them,
// so that the number of store calls does not grow with the fleet. A daemon that
// cannot follow, or whose watcher has lost contact with the store, watches the
// store itself.
package zprelay

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Feed caches the objects under one prefix of the store and their most recent
	// changes. It is safe for concurrent use.
	Feed struct {
		mu       sync.Mutex
		listed   bool
		objects  map[string]zpobject.Object
		revision int64
		batches  []zpobject.Listing // most recent changes, oldest first
		base     int64              // revision before the first batch
		changed  chan struct{}      // closed on the next change
	}

	// Update is the response to a follower.
	Update struct {
		zpobject.Listing
		Complete bool // Objects is the full list, not only the changes
	}
)

// maxBatches limits the batches of changes that a feed keeps. A follower that is
// further behind gets the full list.
const maxBatches = 128

// NewFeed returns a feed without a list.
func NewFeed() *Feed { return &Feed{changed: make(chan struct{})} }

// SetAll replaces the contents with a full list and discards older changes.
func (f *Feed) SetAll(l zpobject.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects = map[string]zpobject.Object{}
	for _, o := range l.Objects {
		f.objects[o.Name] = o
	}
	f.listed, f.revision, f.base, f.batches = true, l.Revision, l.Revision, nil
	f.notifyWaiters()
}

// Add applies the changes after revision from. Changes that do not start at the
// current revision are ignored, because a new list follows them.
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
	if len(f.batches) > maxBatches {
		f.base = f.batches[0].Revision
		f.batches = f.batches[1:]
	}
	f.notifyWaiters()
}

// IsAt reports whether the feed contains the changes up to a revision, and no others.
func (f *Feed) IsAt(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.revision == revision
}

// Discard removes the contents: the feed has no list until the next SetAll.
func (f *Feed) Discard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.objects, f.batches = false, nil, nil
	f.notifyWaiters()
}

// Since waits for changes after a revision; zero requests the full list. It reports
// false if the feed has no list yet.
func (f *Feed) Since(ctx context.Context, since int64, wait time.Duration) (Update, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		a, ready, listed, changed := f.answerNow(since)
		f.mu.Unlock()
		if !listed || ready {
			return a, listed
		}
		select {
		case <-changed:
		case <-timer.C:
			return a, true
		case <-ctx.Done():
			return a, true
		}
	}
}

// answerNow returns the answer without waiting. ready is false if nothing has
// changed since the revision; changed is then closed on the next change.
func (f *Feed) answerNow(since int64) (a Update, ready, listed bool, changed chan struct{}) {
	if !f.listed {
		return Update{}, false, false, nil
	}
	if since == f.revision {
		return Update{Listing: zpobject.Listing{Revision: since}}, false, true, f.changed
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
		// The revision lies within a batch or is unknown. Sending a partial batch could
		// revert changes that the follower already has.
		return f.fullAnswer(), true, true, nil
	}
	a.Revision = f.revision
	for _, b := range f.batches[next:] {
		a.Objects = append(a.Objects, b.Objects...)
	}
	return a, true, true, nil
}

func (f *Feed) fullAnswer() Update {
	a := Update{Complete: true, Listing: zpobject.Listing{Revision: f.revision}}
	for _, o := range f.objects {
		a.Objects = append(a.Objects, o)
	}
	return a
}

func (f *Feed) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}
