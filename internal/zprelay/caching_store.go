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

	mu           sync.Mutex
	feeds        map[string]*Feed
	lastResponse time.Time // when the store last responded for the heartbeat prefix
	lastFollowed time.Time // when a follower last called
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
	l, err := r.API.List(ctx, prefix)
	if err == nil {
		r.feed(prefix).SetAll(l)
		r.recordResponse(prefix)
	}
	return l, err
}

// Watch returns the changes under a prefix after a revision and caches them.
func (r *CachingStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (zpobject.Listing, error) {
	if prefix == r.HeartbeatPrefix && r.hasFollowers() {
		wait = min(wait, heartbeatWait)
	}
	l, err := r.API.Watch(ctx, prefix, from, wait)
	if err == nil {
		r.feed(prefix).Add(from, l)
		r.recordResponse(prefix)
	}
	return l, err
}

// Follow returns the cached changes under a prefix after a revision, as Feed.Since
// does.
func (r *CachingStore) Follow(ctx context.Context, prefix string, since int64, wait time.Duration) (Update, error) {
	r.recordFollower()
	if !r.isFresh() {
		return Update{}, ErrNotFollowed
	}
	a, ok := r.feed(prefix).Since(ctx, since, wait)
	if !ok || !r.isFresh() {
		return Update{}, ErrNotFollowed
	}
	return a, nil
}

func (r *CachingStore) feed(prefix string) *Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.feeds == nil {
		r.feeds = map[string]*Feed{}
	}
	f, ok := r.feeds[prefix]
	if !ok {
		f = NewFeed()
		r.feeds[prefix] = f
	}
	return f
}

func (r *CachingStore) recordResponse(prefix string) {
	if prefix != r.HeartbeatPrefix {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponse = r.Clock()
}

func (r *CachingStore) isFresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastResponse.IsZero() && r.Clock().Sub(r.lastResponse) <= maxHeartbeatAge
}

func (r *CachingStore) recordFollower() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFollowed = r.Clock()
}

func (r *CachingStore) hasFollowers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastFollowed.IsZero() && r.Clock().Sub(r.lastFollowed) <= followedWindow
}
