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

// firstByteWatch cancels a run whose answer does not begin in time, if the
// request may be repeated.
type firstByteWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc

	// mu is held while the watch looks at the job, so that stop returns only when
	// it looks no more.
	mu      sync.Mutex
	stopped bool
}

var errSilent = errors.New("the endpoint sent no byte in time")

const (
	// patienceShare is the part of the objective, in hundredths, after which a
	// missing answer of a plain service is taken for lost. A repeat can still be on
	// time then.
	patienceShare = 60
	// streamPatienceShare is that for prompts. Engines may let them wait, and one
	// that is cancelled loses its place, so the repeat comes when it is late anyway.
	streamPatienceShare = 150
	// patienceFactor is by how much an answer may take longer than expected.
	patienceFactor = 3
)

// watchFirstByte watches over a run. The repeat is taken from the budget before
// the run is cancelled; without budget the run goes on.
func (g *Gateway) watchFirstByte(ctx context.Context, j *job, c choice, budget *zpretry.Budget) (context.Context, *firstByteWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &firstByteWatch{cancel: cancel}
	if !j.route.Repeatable() || j.begun || j.runs+1 >= j.route.MaxAttempts {
		return ctx, w
	}
	patience := g.patience(j, c)
	if j.left(g.Clock()) < 2*patience {
		return ctx, w
	}
	w.timer = time.AfterFunc(patience, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopped && g.hasOther(j, c) && budget.Take() {
			g.Log.Emit(zplog.RequestSilent, g.fields(j, zplog.Fields{
				"endpoint": c.endpoint.ID, "patience_ms": patience.Milliseconds(), "expected_ms": c.cost.Milliseconds(),
			}))
			cancel(errSilent)
		}
	})
	return ctx, w
}

// hasOther reports whether another endpoint could take a repeat of the run.
func (g *Gateway) hasOther(j *job, c choice) bool {
	now := g.Clock()
	for _, e := range g.Registry.Serving(j.pool.Name, now) {
		if e.ID == c.endpoint.ID || g.Suspects.Shut(e.ID, now) {
			continue
		}
		if _, ok := g.consider(j, e, c.ask, now); ok {
			return true
		}
	}
	return false
}

// patience returns how long a run may take until its first byte.
func (g *Gateway) patience(j *job, c choice) time.Duration {
	if j.route.Kind != zpcatalog.KindStream {
		return j.route.Objective * patienceShare / 100
	}
	expected := startTime + zpplace.ReadTime(c.ask, c.candidate, g.Rates)
	return max(j.route.Objective*streamPatienceShare/100, patienceFactor*expected)
}

// stop ends the watch. A run that was cancelled stays so.
func (w *firstByteWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// end releases the context of the run.
func (w *firstByteWatch) end() {
	w.stop()
	w.cancel(nil)
}
