package zprelay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Follower reads store objects through a daemon of the same failure domain that
// watches the store, or from the store itself. Set the exported fields before use.
// It is safe for concurrent use.
type Follower struct {
	zpobject.API    // the store
	Self            zpassign.Member
	HeartbeatPrefix string                   // prefix whose watch serves as heartbeat of the store
	Daemons         func() []zpassign.Member // reachable daemons, including this one
	IsAnswering     func() bool              // whether the store answers this daemon; otherwise a watcher follows others
	AnswersSince    func() time.Time         // when the store answered again after a failure; zero if it never failed
	Call            func(ctx context.Context, address, prefix string, since int64, wait time.Duration) (Update, error)
	Log             *zplog.Logger
	Clock           func() time.Time

	mu              sync.Mutex
	avoidedUntil    map[string]time.Time // by address; not followed before this time
	newestRevisions map[string]int64     // by prefix
	readAt          map[string]time.Time // when a prefix was last read or confirmed
	watchedFrom     map[string]int64     // by prefix; see AppliedRevision
}

const (
	// maxWatchWait limits the wait of one call to a watcher, and thereby how long a
	// frozen watcher goes undetected.
	maxWatchWait          = time.Second
	maxHeartbeatWatchWait = 400 * time.Millisecond // for the heartbeat prefix
	// avoidDuration is how long a failed watcher is not followed, staleAvoidDuration how
	// long one that answers but knows too little at the moment, and startAvoidDuration how
	// long before this daemon has read anything: the watcher may just be starting, too.
	avoidDuration      = 3 * time.Second
	staleAvoidDuration = 500 * time.Millisecond
	startAvoidDuration = 300 * time.Millisecond
	// maxFailures is the number of watchers that may fail in one call before the store is
	// read. The first of them may not be avoided any more when the last one times out.
	maxFailures = maxWatchersPerGroup + maxForeignWatchers
	// watcherPatience is the time after an outage of the store in which the watchers should
	// have read it. Only then does a daemon that follows others read the store itself.
	watcherPatience = time.Second
	// awaitInterval is the interval between the attempts of AwaitWatcher.
	awaitInterval = 50 * time.Millisecond
)

// errAwaitsWatchers is returned after an outage until the watchers have read the store.
var errAwaitsWatchers = zperror.New(zperror.KindUnavailable, zpobject.CodeUnavailable,
	"the store answers again, and the daemons that are followed have not read it yet", "try again")

// errRelist ends a watch that cannot continue from its revision.
var errRelist = zperror.New(zperror.KindUnavailable, "watch_ended",
	"the daemon that is followed cannot go on from this revision", "list the objects anew")

// List lists the objects under a prefix. It reads the store if all watchers fail or
// return a list older than one read before.
func (f *Follower) List(ctx context.Context, prefix string) (zpobject.Listing, error) {
	for range maxFailures {
		address, ok := f.chooseWatcher()
		if !ok {
			break
		}
		a, err := f.Call(ctx, address, prefix, 0, 0)
		if err == nil && a.Complete && f.isCurrent(prefix, a.Revision) {
			f.recordRevision(prefix, a.Revision)
			return a.Listing, nil
		}
		f.avoid(address, prefix, err)
	}
	if f.awaitsWatchers() {
		return zpobject.Listing{}, errAwaitsWatchers
	}
	l, err := f.API.List(ctx, prefix)
	if err == nil {
		f.recordRevision(prefix, l.Revision)
	}
	return l, err
}

// Watch returns the changes under a prefix after a revision. If the watcher fails,
// it continues with another one or with the store.
func (f *Follower) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (zpobject.Listing, error) {
	f.recordApplied(prefix, from)
	deadline := f.Clock().Add(wait)
	maxWatchWait := maxWatchWait
	if prefix == f.HeartbeatPrefix {
		maxWatchWait = maxHeartbeatWatchWait
	}
	isTurnedAway := !f.IsAnswering()
	for failures := 0; ; {
		if isTurnedAway && f.IsAnswering() && f.IsWatcher() {
			return zpobject.Listing{}, errRelist // the others follow this daemon again
		}
		remaining := deadline.Sub(f.Clock())
		address, ok := f.chooseWatcher()
		if !ok || failures >= maxFailures {
			return f.watchStore(ctx, prefix, from, max(remaining, 0))
		}
		a, err := f.Call(ctx, address, prefix, from, min(maxWatchWait, max(remaining, 0)))
		switch {
		case ctx.Err() != nil:
			return zpobject.Listing{}, ctx.Err()
		case err != nil || a.Complete && !f.isCurrent(prefix, a.Revision):
			f.avoid(address, prefix, err)
			failures++
		case a.Complete:
			return zpobject.Listing{}, errRelist
		case len(a.Objects) > 0 || remaining <= maxWatchWait:
			f.recordRevision(prefix, a.Revision)
			return a.Listing, nil
		default:
			from = max(from, a.Revision)
		}
	}
}

// watchStore watches the store itself, unless the watchers may still be reading it after an
// outage.
func (f *Follower) watchStore(ctx context.Context, prefix string, from int64, wait time.Duration) (zpobject.Listing, error) {
	if f.awaitsWatchers() {
		return zpobject.Listing{}, errAwaitsWatchers
	}
	l, err := f.API.Watch(ctx, prefix, from, wait)
	if err == nil {
		f.recordRevision(prefix, l.Revision)
	}
	return l, err
}

// AwaitWatcher waits until a watcher can be followed, this daemon is one itself, or ctx ends.
func (f *Follower) AwaitWatcher(ctx context.Context) {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for {
		watchers := ownWatchers(f.Self, f.Daemons())
		if len(watchers) == 0 || slices.ContainsFunc(watchers, f.isSelf) {
			return
		}
		for _, d := range watchers {
			if _, err := f.Call(ctx, d.PeerAddress, f.HeartbeatPrefix, 0, 0); err == nil {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// CanFollow reports whether enough daemons near this one are known for some of them to
// watch the store for the others.
func (f *Follower) CanFollow() bool { return len(groupOf(f.Self, f.Daemons())) > 0 }

// IsWatcher reports whether this daemon watches the store itself.
func (f *Follower) IsWatcher() bool {
	_, ok := f.chooseWatcher()
	return !ok
}

// awaitsWatchers reports whether this daemon follows others and these may still be reading
// the store after an outage.
func (f *Follower) awaitsWatchers() bool {
	own := ownWatchers(f.Self, f.Daemons())
	isWatcher := len(own) == 0 || slices.ContainsFunc(own, f.isSelf)
	return !isWatcher && f.Clock().Sub(f.AnswersSince()) < watcherPatience
}

// chooseWatcher returns the address of the daemon to follow; ok is false if this
// daemon should watch the store itself.
func (f *Follower) chooseWatcher() (address string, ok bool) {
	daemons := f.Daemons()
	own := ownWatchers(f.Self, daemons)
	isWatcher := len(own) == 0 || slices.ContainsFunc(own, f.isSelf)
	if isWatcher && f.IsAnswering() {
		return "", false
	}
	if address, ok = f.firstUsable(own); ok {
		return address, true
	}
	return f.firstUsable(foreignWatchers(f.Self, daemons))
}

func (f *Follower) isSelf(d zpassign.Member) bool { return d.Name == f.Self.Name }

// firstUsable returns the address of the first other daemon that is not avoided.
func (f *Follower) firstUsable(daemons []zpassign.Member) (address string, ok bool) {
	now := f.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range daemons {
		if !f.isSelf(d) && !now.Before(f.avoidedUntil[d.PeerAddress]) {
			return d.PeerAddress, true
		}
	}
	return "", false
}

func (f *Follower) avoid(address, prefix string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	avoidDuration := avoidDuration
	switch {
	case f.readAt[f.HeartbeatPrefix].IsZero():
		avoidDuration = startAvoidDuration
	case err == nil, errors.Is(err, ErrNotFollowed):
		avoidDuration = staleAvoidDuration
	}
	fields := zplog.Fields{"address": address, "prefix": prefix, "revision": f.newestRevisions[prefix], "avoided_ms": avoidDuration.Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
	}
	f.Log.Emit(zplog.WatcherAvoided, fields)
	if f.avoidedUntil == nil {
		f.avoidedUntil = map[string]time.Time{}
	}
	f.avoidedUntil[address] = f.Clock().Add(avoidDuration)
}

// isCurrent reports whether revision is not older than the newest one read under
// prefix.
func (f *Follower) isCurrent(prefix string, revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return revision >= f.newestRevisions[prefix]
}

func (f *Follower) recordRevision(prefix string, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newestRevisions == nil {
		f.newestRevisions, f.readAt = map[string]int64{}, map[string]time.Time{}
	}
	f.newestRevisions[prefix] = max(f.newestRevisions[prefix], revision)
	f.readAt[prefix] = f.Clock()
}

// ReadAt returns when the heartbeat prefix was last read or confirmed, or the zero
// time if it never was.
func (f *Follower) ReadAt() time.Time { return f.PrefixReadAt(f.HeartbeatPrefix) }

// PrefixReadAt is ReadAt for any prefix.
func (f *Follower) PrefixReadAt(prefix string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt[prefix]
}

// AppliedRevision returns the revision up to which the caller of Watch had all changes under a
// prefix when it last called, or zero before its first call. What was read since may not be
// in use yet.
func (f *Follower) AppliedRevision(prefix string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchedFrom[prefix]
}

func (f *Follower) recordApplied(prefix string, from int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watchedFrom == nil {
		f.watchedFrom = map[string]int64{}
	}
	f.watchedFrom[prefix] = from
}
