// Package zpmirror keeps a copy of one kind of objects of the store: it lists
// them, follows their changes, and starts again after each interruption.
package zpmirror

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Mirror follows the objects under one prefix. Set the exported fields before
	// Run; the callbacks run one at a time.
	Mirror struct {
		API      zpobject.API
		Prefix   string
		Wait     time.Duration // of one watch
		Pause    time.Duration // after changes, so that the next watch returns several at once
		OnList   func(objects []zpobject.Object)
		OnChange func(o zpobject.Object)
		OnAway   func(err error) // the store stopped answering
		OnBack   func()          // it answers again; called before OnList

		mu     sync.Mutex
		cancel context.CancelFunc // of the present watch
	}
)

const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
)

// Run follows the objects until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	away := false
	pause := firstRetry
	for ctx.Err() == nil {
		listing, err := m.API.List(ctx, m.Prefix)
		if err != nil {
			if !away && ctx.Err() == nil {
				away = true
				m.away(err)
			}
			sleep(ctx, pause)
			pause = min(2*pause, lastRetry)
			continue
		}
		pause = firstRetry
		if away {
			away = false
			m.back()
		}
		m.OnList(listing.Objects)
		// A watch may be cut while the store is well, so only a list that fails
		// means that the store is away.
		m.follow(ctx, listing.Revision)
	}
}

// Restart ends the present watch, so that the objects are listed anew.
func (m *Mirror) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
}

// follow hands over changes until the watch breaks.
func (m *Mirror) follow(ctx context.Context, revision int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.cancel = cancel
	m.mu.Unlock()
	for {
		listing, err := m.API.Watch(ctx, m.Prefix, revision, m.Wait)
		if err != nil {
			return
		}
		for _, o := range listing.Objects {
			m.OnChange(o)
		}
		revision = max(revision, listing.Revision)
		if len(listing.Objects) > 0 {
			sleep(ctx, m.Pause)
		}
	}
}

func (m *Mirror) away(err error) {
	if m.OnAway != nil {
		m.OnAway(err)
	}
}

func (m *Mirror) back() {
	if m.OnBack != nil {
		m.OnBack()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
