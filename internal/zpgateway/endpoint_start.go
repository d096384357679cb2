package zpgateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

type (
	// startTracker records when endpoints started, by their own word. An endpoint that has
	// started again has the same ID, but may have another software version than its entry
	// tells. It is safe for concurrent use.
	startTracker struct {
		mu     sync.Mutex
		starts map[string]reportedStart // by endpoint ID
		calls  singleflight.Group
	}

	reportedStart struct {
		startedAtMS int64 // zero: the endpoint does not tell
		at          time.Time
	}
)

const (
	// startTTL is how long the reported start of an endpoint counts. An engine takes longer to
	// start again.
	startTTL = time.Second
	// startTimeout bounds the wait for a report.
	startTimeout = 400 * time.Millisecond
)

// errStartUnconfirmed is returned if an endpoint may not be the run that is registered.
var errStartUnconfirmed = errors.New("the endpoint may have started again since its entry was read")

// checkStart returns an error if the endpoint for a resumable stream may have started again since its
// entry was read. It is called once there is a connection, which leads to one run only.
func (g *Gateway) checkStart(ctx context.Context, j *job, e zpregistry.Endpoint) error {
	if !j.route.Resumable || j.pool.Engine == nil || e.StartedAtMS == 0 || g.IsListCurrent() {
		return nil
	}
	startedAtMS, ok := g.starts.find(e.ID, g.Clock())
	if !ok {
		var err error
		if startedAtMS, err = g.readStart(ctx, e); err != nil {
			return fmt.Errorf("%w: %w", errStartUnconfirmed, err)
		}
	}
	if startedAtMS != 0 && startedAtMS != e.StartedAtMS {
		return errStartUnconfirmed
	}
	return nil
}

// hasStartedAgain reports whether an endpoint has said that it has started again since its
// entry was written.
func (g *Gateway) hasStartedAgain(e zpregistry.Endpoint) bool {
	g.starts.mu.Lock()
	defer g.starts.mu.Unlock()
	return e.StartedAtMS != 0 && g.starts.starts[e.ID].startedAtMS > e.StartedAtMS
}

// readStart asks an endpoint when it started. Those that ask at the same time share the answer.
func (g *Gateway) readStart(ctx context.Context, e zpregistry.Endpoint) (int64, error) {
	v, err, _ := g.starts.calls.Do(e.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
		defer cancel()
		startedAtMS, err := g.ReadStart(ctx, e)
		g.Log.Emit(zplog.StartRead, zplog.Fields{"endpoint": e.ID, "born": startedAtMS, "registered": e.StartedAtMS, "error": errorText(err)})
		if err == nil {
			g.starts.record(e.ID, startedAtMS, g.Clock())
		}
		return startedAtMS, err
	})
	return v.(int64), err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (t *startTracker) record(id string, startedAtMS int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.starts == nil {
		t.starts = map[string]reportedStart{}
	}
	t.starts[id] = reportedStart{startedAtMS, now}
}

func (t *startTracker) find(id string, now time.Time) (startedAtMS int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.starts[id]
	return s.startedAtMS, ok && now.Sub(s.at) < startTTL
}

func (t *startTracker) forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.starts, id)
}
