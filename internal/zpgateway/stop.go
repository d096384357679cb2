package zpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// stopping ends what is open when the daemon stops. The zero value is not stopping. It is
// safe for concurrent use.
type stopping struct {
	mu      sync.Mutex
	endAt   time.Time // zero: not stopping
	ended   bool
	cancels map[*context.CancelCauseFunc]bool // of the runs in progress
}

// queueStopMargin is the time before the end of a stop at which waiting requests are
// refused: a run that begins later may not end in time, and the callers need time to be
// served elsewhere.
const queueStopMargin = 2 * time.Second

var errStopping = zperror.New(zperror.KindUnavailable, "daemon_stopping",
	"this daemon stops before an endpoint can answer the request", "send the request again; another daemon takes it")

// StopBy makes the gateway answer all open requests before endAt. It must be called at most
// once. Requests that wait for an endpoint are refused queueStopMargin earlier. Runs that
// have not ended are canceled, and their callers are told that the outcome is unknown.
func (g *Gateway) StopBy(endAt, now time.Time) {
	s := &g.stopping
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endAt = endAt
	time.AfterFunc(endAt.Sub(now), s.end)
}

func (s *stopping) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for cancel := range s.cancels {
		(*cancel)(errStopping)
	}
}

// withStop returns a context of a run that is also canceled, with errStopping, at the end of
// a stop. release must be called when the run has ended.
func (s *stopping) withStop(ctx context.Context) (stoppable context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		cancel(errStopping)
	}
	if s.cancels == nil {
		s.cancels = map[*context.CancelCauseFunc]bool{}
	}
	s.cancels[&cancel] = true
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, &cancel)
		cancel(nil)
	}
}

// mayQueue reports whether requests may still wait for an endpoint.
func (s *stopping) mayQueue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endAt.IsZero() || now.Before(s.endAt.Add(-queueStopMargin))
}

// hasEnded reports whether no further run may begin.
func (s *stopping) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}
