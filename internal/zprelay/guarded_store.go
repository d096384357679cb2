package zprelay

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// GuardedStore reads the store for all purposes of a daemon. After a failed read, the others
// fail without a call until a probe has been answered. Writes are passed on, as their
// callers know how urgent they are. Set the exported fields before use. It is safe for
// concurrent use.
type GuardedStore struct {
	zpobject.API
	Breaker *Breaker
	Probe   func(ctx context.Context) error                                 // a cheap call that tells whether the store answers
	Stale   func(ctx context.Context, name string) (zpobject.Object, error) // reads an object as it was some time ago
	// WasPaused reports whether the process was paused since a time. A call that was under way
	// then has timed out on its own. nil: it never is.
	WasPaused func(since time.Time) bool
	Log       *zplog.Logger
	Clock     func() time.Time
}

// errProbing is returned while the store is probed only.
var errProbing = zperror.New(zperror.KindUnavailable, zpobject.CodeUnavailable,
	"the store did not answer this daemon and is probed", "see docs/operators/platform_outage.md")

// IsAnswering reports whether the store answered this daemon's last call or probe.
func (s *GuardedStore) IsAnswering() bool { return !s.Breaker.IsTripped() }

// AnswersSince returns when the store answered this daemon again after a failure, or the
// zero time if it has never failed.
func (s *GuardedStore) AnswersSince() time.Time { return s.Breaker.ResetAt() }

// Get returns one object.
func (s *GuardedStore) Get(ctx context.Context, name string) (o zpobject.Object, err error) {
	err = s.read(ctx, func() error {
		o, err = s.API.Get(ctx, name)
		return err
	})
	return o, err
}

// GetStale returns one object as it was some time ago. It tells nothing of whether other
// reads are answered.
func (s *GuardedStore) GetStale(ctx context.Context, name string) (zpobject.Object, error) {
	if !s.Breaker.Allow() {
		return zpobject.Object{}, errProbing
	}
	return s.Stale(ctx, name)
}

// List lists the objects under a prefix.
func (s *GuardedStore) List(ctx context.Context, prefix string) (l zpobject.Listing, err error) {
	err = s.read(ctx, func() error {
		l, err = s.API.List(ctx, prefix)
		return err
	})
	return l, err
}

// Watch returns the changes under a prefix after a revision.
func (s *GuardedStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (l zpobject.Listing, err error) {
	err = s.read(ctx, func() error {
		l, err = s.API.Watch(ctx, prefix, from, wait)
		return err
	})
	return l, err
}

// read makes a call unless the breaker is tripped, and records its outcome.
func (s *GuardedStore) read(ctx context.Context, call func() error) error {
	if !s.Breaker.Allow() {
		return errProbing
	}
	startedAt := s.Clock()
	err := call()
	switch {
	case err == nil || zpobject.IsNotFound(err):
		s.logReset(s.Breaker.RecordSuccess(startedAt, s.Clock()))
	case s.WasPaused != nil && s.WasPaused(startedAt):
	case ctx.Err() == nil && s.Breaker.RecordFailure(startedAt, s.Clock()):
		s.Log.Emit(zplog.StoreProbed, zplog.Fields{"error": err.Error()})
		go s.probe()
	}
	return err
}

// probe probes the store until the breaker is reset. It does not end with the call that
// failed, since the others are rejected as well.
func (s *GuardedStore) probe() {
	for {
		at, ok := s.Breaker.NextProbe()
		if !ok {
			return
		}
		time.Sleep(at.Sub(s.Clock()))
		if !s.Breaker.IsTripped() {
			return
		}
		err := s.Probe(context.Background())
		s.logReset(s.Breaker.RecordProbe(err == nil || zpobject.IsNotFound(err), s.Clock()))
	}
}

func (s *GuardedStore) logReset(reset bool, trippedFor time.Duration, rejections int) {
	if reset {
		s.Log.Emit(zplog.StoreAnswers, zplog.Fields{"probed_ms": trippedFor.Milliseconds(), "calls_saved": rejections})
	}
}
