package zprelay

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Follower reads the store's lists through a daemon of the same failure domain
// that watches the store, or from the store itself. Set the exported fields
// before use. It is safe for concurrent use.
type Follower struct {
	zpobject.API // the store
	Self         zpassign.Member
	Pulse        string                   // prefix whose watch tells whether the store answers
	Daemons      func() []zpassign.Member // that answer, this one too
	Call         func(ctx context.Context, address, prefix string, since int64, wait time.Duration) (Answer, error)
	Log          *zplog.Logger
	Clock        func() time.Time

	mu      sync.Mutex
	avoided map[string]time.Time // address to the time until which it is not followed
	seen    map[string]int64     // newest revision by prefix
	readAt  time.Time            // when Pulse was read or confirmed last
}

const (
	// watchers is how many daemons of a failure domain watch the store, so that
	// the loss of one leaves another to follow.
	watchers = 2
	// followFrom is the size of a failure domain from which daemons follow. In a
	// smaller one the calls saved do not pay for the way through another daemon.
	followFrom = 5
	// step bounds one question to a watcher, and so how long a watcher that has
	// frozen goes unnoticed.
	step      = time.Second
	pulseStep = 400 * time.Millisecond // under the prefix that tells whether the store answers
	// avoidFor is how long a watcher that has failed is not followed.
	avoidFor = 3 * time.Second
)

// errListAnew ends a watch that cannot go on from its revision.
var errListAnew = zperror.New(zperror.KindUnavailable, "watch_ended",
	"the daemon that is followed cannot go on from this revision", "list the objects anew")

// List lists the objects under a prefix.
func (f *Follower) List(ctx context.Context, prefix string) (zpobject.Listing, error) {
	if address, ok := f.watcher(); ok {
		a, err := f.Call(ctx, address, prefix, 0, 0)
		if err == nil && a.Whole && f.isNew(prefix, a.Revision) {
			f.saw(prefix, a.Revision)
			return a.Listing, nil
		}
		f.avoid(address, prefix, err)
	}
	l, err := f.API.List(ctx, prefix)
	if err == nil {
		f.saw(prefix, l.Revision)
	}
	return l, err
}

// Watch returns the changes under a prefix after a revision.
func (f *Follower) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (zpobject.Listing, error) {
	until := f.Clock().Add(wait)
	step := step
	if prefix == f.Pulse {
		step = pulseStep
	}
	for {
		left := until.Sub(f.Clock())
		address, ok := f.watcher()
		if !ok {
			l, err := f.API.Watch(ctx, prefix, from, max(left, 0))
			if err == nil {
				f.saw(prefix, l.Revision)
			}
			return l, err
		}
		a, err := f.Call(ctx, address, prefix, from, min(step, max(left, 0)))
		switch {
		case ctx.Err() != nil:
			return zpobject.Listing{}, ctx.Err()
		case err != nil || a.Whole && !f.isNew(prefix, a.Revision):
			f.avoid(address, prefix, err)
		case a.Whole:
			return zpobject.Listing{}, errListAnew
		case len(a.Objects) > 0 || left <= step:
			f.saw(prefix, a.Revision)
			return a.Listing, nil
		default:
			from = max(from, a.Revision)
		}
	}
}

// watcher returns the daemon to follow; ok is false if this one should watch the
// store itself.
func (f *Follower) watcher() (address string, ok bool) {
	now := f.Clock()
	var near []zpassign.Member
	for _, d := range f.Daemons() {
		if d.Domain == f.Self.Domain {
			near = append(near, d)
		}
	}
	if len(near) < followFrom {
		return "", false
	}
	chosen := zplookup.Strongest(near, watchers)
	for _, d := range chosen {
		if d.Name == f.Self.Name {
			return "", false
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range chosen {
		if !now.Before(f.avoided[d.Address]) {
			return d.Address, true
		}
	}
	return "", false
}

func (f *Follower) avoid(address, prefix string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fields := zplog.Fields{"address": address, "prefix": prefix, "revision": f.seen[prefix], "avoided_ms": avoidFor.Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	f.Log.Emit(zplog.WatcherAvoided, fields)
	if f.avoided == nil {
		f.avoided = map[string]time.Time{}
	}
	f.avoided[address] = f.Clock().Add(avoidFor)
}

// isNew reports whether a list is not older than what was read before.
func (f *Follower) isNew(prefix string, revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revision >= f.seen[prefix]
}

func (f *Follower) saw(prefix string, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = map[string]int64{}
	}
	f.seen[prefix] = max(f.seen[prefix], revision)
	if prefix == f.Pulse {
		f.readAt = f.Clock()
	}
}

// ReadAt returns when the objects under Pulse were read or confirmed last; zero:
// never.
func (f *Follower) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}
