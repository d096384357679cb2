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
	// idleCheck is how often a daemon that does not watch looks whether it
	// should.
	idleCheck = 200 * time.Millisecond
	// failedWait is the pause after a failed watch; a random part is added.
	failedWait = 500 * time.Millisecond
)

// runWatch watches the platform while this daemon is one of its failure
// domain's watchers, or while its own proof is getting old.
func (f *Fleet) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.watches(f.Clock()) {
			pause(ctx, idleCheck)
			continue
		}
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			f.Log.Emit(zplog.WatchFailed, zplog.Fields{"error": err.Error()})
			pause(ctx, failedWait+time.Duration(f.Random.Int64N(int64(failedWait))))
		}
	}
}

// watchOnce reads everything the first time, and what has changed after that.
// The proof of freshness counts from the start of the call.
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

func (f *Fleet) watches(now time.Time) bool {
	if f.Cache.Age(now) > f.Judge.MaxAge*3/4 {
		return true
	}
	var domain []string
	for _, m := range zpassign.Live(f.Cache.Members(), zpassign.MemberServing) {
		if m.Domain == f.Self.Domain {
			domain = append(domain, m.Instance)
		}
	}
	sort.Strings(domain)
	for i, instance := range domain {
		if instance == f.Self.Instance {
			return i < f.WatchersPerDomain
		}
	}
	return true
}

// noteMode follows the freshness rule and logs its changes.
func (f *Fleet) noteMode(now time.Time) {
	mode := f.Mode(now)
	f.mu.Lock()
	before := f.mode
	f.mode = mode
	f.mu.Unlock()
	f.Metrics.ConfigAge.Set(f.Cache.Age(now).Seconds())
	if mode == before {
		return
	}
	if mode == zpconfig.ModeFresh {
		f.Log.Emit(zplog.ConfigFresh, nil)
		return
	}
	f.Log.Emit(zplog.ConfigStale, zplog.Fields{"mode": string(mode)})
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
