package zprelay

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// CachingStore reads the store and caches the objects for followers. Set the exported
// fields before use. It is safe for concurrent use.
type CachingStore struct {
	zpobject.API
	HeartbeatPrefix string // prefix whose watch returns often and serves as heartbeat of the store
	Clock           func() time.Time
	// ExpectsFollowers reports whether others are to follow this daemon, though none may
	// have called yet. It may be nil.
	ExpectsFollowers func() bool
	// WasPaused reports whether the process was paused since a time. It may be nil.
	WasPaused func(since time.Time) bool

	mu           sync.Mutex
	caches       map[string]*prefixCache
	lastFollowed time.Time // when a follower last called
}

// prefixCache caches the objects under one prefix.
type prefixCache struct {
	feed         *Feed
	watches      int       // watches in progress
	lastResponse time.Time // when the store last responded
	lastCall     time.Time // when the call began to which it responded
}

const (
	// heartbeatWait limits the wait of a watch of the heartbeat prefix while others follow.
	// They then detect the loss of the store well within the time in which a
	// configuration change must take effect.
	heartbeatWait = 800 * time.Millisecond
	// maxHeartbeatAge is the age of the last heartbeat response up to which other
	// daemons may follow: one heartbeatWait plus the time of a slow response.
	maxHeartbeatAge = 1500 * time.Millisecond
	// followedWindow is how long after a follower's call the daemon counts as
	// followed.
	followedWindow = 5 * time.Second
)

// ErrNotFollowed is returned to followers while the daemon has no fresh response
// from the store.
var ErrNotFollowed = zperror.New(zperror.KindUnavailable, "not_followed",
	"the daemon has no fresh list of the store", "read the store itself")

// List lists the store's objects under a prefix and caches them.
func (r *CachingStore) List(ctx context.Context, prefix string) (zpobject.Listing, error) {
	startedAt := r.Clock()
	l, err := r.API.List(ctx, prefix)
	if err == nil {
		r.feed(prefix).SetAll(l)
		r.recordResponse(prefix, startedAt)
	}
	return l, err
}

// Watch returns the changes under a prefix after a revision and caches them. The daemon may
// have read the objects from another one up to that revision; if others follow it then, the
// watch ends so that the objects are listed anew.
func (r *CachingStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (zpobject.Listing, error) {
	if !r.feed(prefix).IsAt(from) {
		if r.hasFollowers() {
			return zpobject.Listing{}, errRelist
		}
		r.feed(prefix).Discard()
	}
	if prefix == r.HeartbeatPrefix && r.hasFollowers() {
		wait = min(wait, heartbeatWait)
	}
	r.countWatches(prefix, 1)
	defer r.countWatches(prefix, -1)
	startedAt := r.Clock()
	l, err := r.API.Watch(ctx, prefix, from, wait)
	if err == nil {
		r.feed(prefix).Add(from, l)
		r.recordResponse(prefix, startedAt)
	}
	return l, err
}

// Follow returns the cached changes under a prefix after a revision, as Feed.Since
// does. It ends when the store has not responded for too long, as the follower would hear of
// no change meanwhile.
func (r *CachingStore) Follow(ctx context.Context, prefix string, since int64, wait time.Duration) (Update, error) {
	r.recordFollower()
	deadline := r.Clock().Add(wait)
	for {
		freshFor := r.freshFor(prefix)
		if freshFor <= 0 {
			return Update{}, ErrNotFollowed
		}
		remaining := deadline.Sub(r.Clock())
		a, ok := r.feed(prefix).Since(ctx, since, min(remaining, freshFor))
		if !ok || r.freshFor(prefix) <= 0 {
			return Update{}, ErrNotFollowed
		}
		if a.Complete || len(a.Objects) > 0 || remaining <= freshFor || ctx.Err() != nil {
			return a, nil
		}
	}
}

// cache returns the cache of a prefix; r.mu must be held.
func (r *CachingStore) cache(prefix string) *prefixCache {
	if r.caches == nil {
		r.caches = map[string]*prefixCache{}
	}
	c, ok := r.caches[prefix]
	if !ok {
		c = &prefixCache{feed: NewFeed()}
		r.caches[prefix] = c
	}
	return c
}

func (r *CachingStore) feed(prefix string) *Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cache(prefix).feed
}

func (r *CachingStore) recordResponse(prefix string, startedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cache(prefix)
	c.lastResponse, c.lastCall = r.Clock(), startedAt
}

func (r *CachingStore) countWatches(prefix string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache(prefix).watches += change
}

// freshFor returns for how long the store's last response shows that it responds, and tells
// this daemon of changes under the prefix. It is not positive if it does not show that now: a
// call that was under way during a pause of this process tells nothing.
func (r *CachingStore) freshFor(prefix string) time.Duration {
	if r.wasPaused() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock()
	remaining := func(c *prefixCache) time.Duration {
		if c.lastResponse.IsZero() {
			return 0
		}
		return maxHeartbeatAge - now.Sub(c.lastResponse)
	}
	c := r.cache(prefix)
	if c.watches == 0 && remaining(c) <= 0 {
		return 0
	}
	return remaining(r.cache(r.HeartbeatPrefix))
}

// wasPaused reports whether the process was paused since it made the last call of the heartbeat
// to which the store has responded.
func (r *CachingStore) wasPaused() bool {
	r.mu.Lock()
	since := r.cache(r.HeartbeatPrefix).lastCall
	r.mu.Unlock()
	return r.WasPaused != nil && r.WasPaused(since)
}

func (r *CachingStore) recordFollower() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFollowed = r.Clock()
}

func (r *CachingStore) hasFollowers() bool {
	if r.ExpectsFollowers != nil && r.ExpectsFollowers() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastFollowed.IsZero() && r.Clock().Sub(r.lastFollowed) <= followedWindow
}
