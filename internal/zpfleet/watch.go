package zpfleet

import (
	"context"
	"sort"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

const (
	// watchCheckInterval is the interval at which a daemon that does not watch
	// the platform checks whether it should.
	watchCheckInterval = 200 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch. A random duration of up
	// to the same length is added.
	watchRetryDelay = 500 * time.Millisecond
)

// runWatch watches the platform while this daemon is one of the watchers of its
// failure domain, or while its copy of the configuration is becoming stale.
func (f *Fleet) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.shouldWatch(f.Clock()) {
			sleep(ctx, watchCheckInterval)
			continue
		}
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			f.Log.Emit(zplog.WatchFailed, zplog.Fields{"error": err.Error()})
			sleep(ctx, watchRetryDelay+time.Duration(f.Random.Int64N(int64(watchRetryDelay))))
		}
	}
}

// watchOnce reads the changes since the cached revision. It lists all objects if
// there is no such revision or the platform no longer has its changes. The age of
// the copy counts from the start of the call; the answer is at least that new.
func (f *Fleet) watchOnce(ctx context.Context) error {
	start := f.Clock()
	revision := f.Cache.Revision()
	if revision > 0 {
		l, err := f.API.Watch(ctx, zpconfig.RelayPrefix, revision, f.WatchWait)
		if err == nil {
			f.Cache.Apply(l.Objects, l.Revision, start)
			return nil
		}
		if !zpobject.IsNotFound(err) {
			return err
		}
	}
	l, err := f.API.List(ctx, zpconfig.RelayPrefix)
	if err != nil {
		return err
	}
	f.Cache.Replace(l.Objects, l.Revision, start)
	return nil
}

// shouldWatch reports whether this daemon should watch the platform. The watchers
// of a failure domain are the first WatchersPerDomain of its serving members in
// the order of their instances. A daemon whose copy is older than three quarters
// of MaxAge watches as well, and so does one that the cache does not list as
// serving.
func (f *Fleet) shouldWatch(now time.Time) bool {
	if f.Cache.Age(now) > f.Freshness.MaxAge*3/4 {
		return true
	}
	var domainInstances []string
	for _, m := range zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberServing) {
		if m.Domain == f.Self.Domain {
			domainInstances = append(domainInstances, m.Instance)
		}
	}
	sort.Strings(domainInstances)
	for i, instance := range domainInstances {
		if instance == f.Self.Instance {
			return i < f.WatchersPerDomain
		}
	}
	return true
}

// updateMode records the current mode and logs its changes.
func (f *Fleet) updateMode(now time.Time) {
	mode := f.Mode(now)
	f.mu.Lock()
	previous := f.mode
	f.mode = mode
	f.mu.Unlock()
	f.Metrics.ConfigAge.Set(f.Cache.Age(now).Seconds())
	if mode == previous {
		return
	}
	if mode == zpconfig.ModeFresh {
		f.Log.Emit(zplog.ConfigFresh, nil)
		return
	}
	f.Log.Emit(zplog.ConfigStale, zplog.Fields{"mode": string(mode)})
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
