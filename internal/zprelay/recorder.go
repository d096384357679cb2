package zprelay

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Recorder reads the store and keeps what it reads for followers. Set the
// exported fields before use. It is safe for concurrent use.
type Recorder struct {
	zpobject.API
	Pulse string // prefix whose watch returns often, and so tells that the store answers
	Clock func() time.Time

	mu       sync.Mutex
	feeds    map[string]*Feed
	answered time.Time // when the store answered last under Pulse
	followed time.Time // when another daemon asked last
}

const (
	// pulse is the longest wait of a watch under Pulse while others follow, so that
	// they hear of a lost store well within the time in which a change must be in
	// force.
	pulse = 800 * time.Millisecond
	// pulseAge is the age of the last answer under Pulse up to which others may
	// follow: one wait and the time of a slow answer.
	pulseAge = 1500 * time.Millisecond
	// followedFor is how long after a question others count as following.
	followedFor = 5 * time.Second
)

// ErrNotFollowed is the error of a call to a daemon that others should not
// follow now.
var ErrNotFollowed = zperror.New(zperror.KindUnavailable, "not_followed",
	"the daemon has no fresh list of the store", "read the store itself")

// List lists the store's objects under a prefix.
func (r *Recorder) List(ctx context.Context, prefix string) (zpobject.Listing, error) {
	l, err := r.API.List(ctx, prefix)
	if err == nil {
		r.feed(prefix).SetAll(l)
		r.note(prefix)
	}
	return l, err
}

// Watch returns the changes under a prefix after a revision.
func (r *Recorder) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (zpobject.Listing, error) {
	if prefix == r.Pulse && r.isFollowed() {
		wait = min(wait, pulse)
	}
	l, err := r.API.Watch(ctx, prefix, from, wait)
	if err == nil {
		r.feed(prefix).Add(from, l)
		r.note(prefix)
	}
	return l, err
}

// Follow answers a follower.
func (r *Recorder) Follow(ctx context.Context, prefix string, since int64, wait time.Duration) (Answer, error) {
	r.noteFollowed()
	if !r.isFresh() {
		return Answer{}, ErrNotFollowed
	}
	a, ok := r.feed(prefix).Since(ctx, since, wait)
	if !ok || !r.isFresh() {
		return Answer{}, ErrNotFollowed
	}
	return a, nil
}

func (r *Recorder) feed(prefix string) *Feed {
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

func (r *Recorder) note(prefix string) {
	if prefix != r.Pulse {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = r.Clock()
}

func (r *Recorder) isFresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.answered.IsZero() && r.Clock().Sub(r.answered) <= pulseAge
}

func (r *Recorder) noteFollowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followed = r.Clock()
}

func (r *Recorder) isFollowed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.followed.IsZero() && r.Clock().Sub(r.followed) <= followedFor
}
