package zpgateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
)

// firstByteTimer cancels a run whose response does not begin in time, if the
// request may be sent again.
type firstByteTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc

	// mu is held while the timer's function reads the job, so that stop returns
	// only once it no longer does.
	mu      sync.Mutex
	stopped bool
}

var errNoFirstByte = errors.New("the endpoint sent no byte of a response in time")

const (
	// serviceTimeoutPercent is the share of the objective after which a missing
	// response of a plain service counts as lost. A retry can then still meet the
	// objective.
	serviceTimeoutPercent = 60
	// streamTimeoutPercent is the share for streams. Engines may queue prompts, and
	// a cancelled prompt loses its place, so it is retried only after it has missed
	// the objective.
	streamTimeoutPercent = 150
	// expectedTimeFactor is how many times the estimated time to its first byte a
	// stream may take, if that is longer.
	expectedTimeFactor = 3
)

// startFirstByteTimer starts the timer of a run. The retry is taken from the
// budget before the run is cancelled; without budget the run continues.
func (g *Gateway) startFirstByteTimer(ctx context.Context, j *job, c choice, budget *zpretry.Budget) (context.Context, *firstByteTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &firstByteTimer{cancel: cancel}
	if !j.route.Repeatable() || j.headerSent || j.possibleRuns+1 >= j.route.MaxAttempts {
		return ctx, t
	}
	timeout := g.firstByteTimeout(j, c)
	if j.remaining(g.Clock()) < 2*timeout {
		return ctx, t
	}
	isExtended := false
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !isExtended && !t.stopped {
			// Other responses may have said since then that the endpoint is slow.
			isExtended = true
			c.candidate.Slowness = max(c.candidate.Slowness, g.Speed.Slowness(c.endpoint.ID, c.endpoint.StartedAtMS, g.Clock()))
			if more := g.firstByteTimeout(j, c) - timeout; more > 0 {
				timeout += more
				t.timer.Reset(more)
				return
			}
		}
		if !t.stopped && g.hasAlternative(j, c) && budget.Take() {
			g.Log.Emit(zplog.RequestSilent, g.logFields(j, zplog.Fields{
				"endpoint": c.endpoint.ID, "patience_ms": timeout.Milliseconds(), "expected_ms": c.cost.Milliseconds(),
			}))
			cancel(errNoFirstByte)
		}
	})
	return ctx, t
}

// hasAlternative reports whether another endpoint could serve a retry.
func (g *Gateway) hasAlternative(j *job, c choice) bool {
	now := g.Clock()
	t := &terms{demand: c.demand, regions: g.regionsOf(j), versions: g.versionsOf(j, now)}
	for _, e := range g.Registry.Serving(j.pool.Name, now) {
		if e.ID == c.endpoint.ID || g.Health.IsBackingOff(e.ID, now) {
			continue
		}
		if _, ok := g.evaluate(j, e, t, now); ok {
			return true
		}
	}
	return false
}

// firstByteTimeout returns how long a run may take to its first byte. It is longer at an
// endpoint that has said that it is slow.
func (g *Gateway) firstByteTimeout(j *job, c choice) time.Duration {
	if j.route.Kind != zpcatalog.KindStream {
		usual := j.route.TargetLatency * serviceTimeoutPercent / 100
		return max(usual, min(c.candidate.Slowed(usual), j.route.TargetLatency))
	}
	expected := c.candidate.Slowed(engineStartTime) + zpplace.PrefillLatency(c.demand, c.candidate, g.Rates)
	return max(j.route.TargetLatency*streamTimeoutPercent/100, expectedTimeFactor*expected)
}

// stop stops the timer. It does not revive a run that was already cancelled.
func (t *firstByteTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// end stops the timer and releases the context of the run.
func (t *firstByteTimer) end() {
	t.stop()
	t.cancel(nil)
}
