// Package zpmirror reports the objects under a prefix of the store and their changes:
// it lists the objects, watches them, and lists them again whenever the watch ends.
package zpmirror

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Mirror lists and watches the objects under one prefix. Set the exported fields
	// before Run. The callbacks are called one at a time.
	Mirror struct {
		API           zpobject.API
		Prefix        string
		WatchWait     time.Duration // time that one watch call waits for changes
		ChangeDelay   time.Duration // delay after changes, so that the next watch call returns several at once
		OnList        func(objects []zpobject.Object)
		OnChange      func(o zpobject.Object)
		OnUnavailable func(err error) // called at the first failed list of an outage; may be nil
		OnAvailable   func()          // called at the first list after an outage, before OnList; may be nil
		// OnWatchFailed is called when a watch call fails, with the time since the store
		// last told of the objects. Changes in that time were missed and follow with the
		// next list. It may be nil.
		OnWatchFailed func(prefix string, unheardFor time.Duration, err error)

		mu          sync.Mutex
		cancelWatch context.CancelFunc // ends the current watch
	}
)

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Run lists and watches the objects until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	unavailable := false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		listing, err := m.API.List(ctx, m.Prefix)
		if err != nil {
			if !unavailable && ctx.Err() == nil {
				unavailable = true
				m.notifyUnavailable(err)
			}
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		if unavailable {
			unavailable = false
			m.notifyAvailable()
		}
		m.OnList(listing.Objects)
		// A watch may break while the store is available, so only a failed list is
		// reported as an outage.
		if m.watch(ctx, listing.Revision) {
			retryDelay = minRetryDelay
			continue
		}
		sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// Restart ends the current watch, so that the objects are listed again.
func (m *Mirror) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// watch passes changes to OnChange until a watch call fails or Restart is called. It
// reports whether any call has succeeded.
func (m *Mirror) watch(ctx context.Context, revision int64) (succeeded bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.cancelWatch = cancel
	m.mu.Unlock()
	for {
		startedAt := zpclock.Now()
		listing, err := m.API.Watch(ctx, m.Prefix, revision, m.WatchWait)
		if err != nil {
			if ctx.Err() == nil && m.OnWatchFailed != nil {
				m.OnWatchFailed(m.Prefix, zpclock.Now().Sub(startedAt), err)
			}
			return succeeded
		}
		succeeded = true
		for _, o := range listing.Objects {
			m.OnChange(o)
		}
		revision = max(revision, listing.Revision)
		if len(listing.Objects) > 0 {
			sleep(ctx, m.ChangeDelay)
		}
	}
}

func (m *Mirror) notifyUnavailable(err error) {
	if m.OnUnavailable != nil {
		m.OnUnavailable(err)
	}
}

func (m *Mirror) notifyAvailable() {
	if m.OnAvailable != nil {
		m.OnAvailable()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
