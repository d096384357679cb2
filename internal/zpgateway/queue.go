package zpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpline"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// waitQueue holds requests until an endpoint has capacity for them.
	waitQueue struct {
		mu          sync.Mutex
		waiters     zpline.Queue[*waiter]
		dispatching bool                 // the dispatcher goroutine is running
		forecasts   map[string]*forecast // by line; see lineOf
		forecastAt  time.Time

		// Buffers that choose reuses.
		choices    []choice
		candidates []zpplace.Candidate

		preferences preferences
	}

	waiter struct {
		job        *job
		enqueuedAt time.Time
		result     chan placement
		isLate     bool // counted as one that misses its objective
		// waits and waitsOf count the request for all daemons while it is queued, by priority and by
		// workspace.
		waits, waitsOf *zpusage.RunningRequest
	}

	// placement is the result for a queued request.
	placement struct {
		choice choice
		err    error
	}

	queueEntry = zpline.Entry[*waiter]
)

const (
	// dispatchInterval is the pause between two passes over the queue.
	dispatchInterval = 10 * time.Millisecond
	// maxTriesPerPass bounds the requests of a pool that may find no capacity in one
	// pass, and maxCandidatesPerPass the endpoints compared for them. Otherwise,
	// with a large pool, a daemon with a small share of a core would have no time
	// left to serve requests.
	maxTriesPerPass      = 8
	maxCandidatesPerPass = 400
	// maxQueuedRequests bounds the queue of a daemon, and so its memory.
	maxQueuedRequests = 512
	// noEndpointWaitDivisor divides a request's objective, or its time to the
	// deadline if that is shorter, into the longest wait while no endpoint may
	// serve it.
	noEndpointWaitDivisor = 4
	// engineStartTime is the usual time to an engine's first output token, without
	// the time to read the prompt.
	engineStartTime = 50 * time.Millisecond
)

// place chooses an endpoint. If none has capacity, it queues the request and
// waits until one has.
func (g *Gateway) place(ctx context.Context, j *job) (choice, error) {
	now := g.Clock()
	if j.remaining(now) < minRunTime {
		return choice{}, errDeadlinePassed
	}
	j.line = g.lineOf(j)
	w := &waiter{job: j, enqueuedAt: now, result: make(chan placement, 1)}
	g.queue.mu.Lock()
	g.queue.forecast(j).shares.Record(j.workspaceName(), workOf(j), now)
	e := g.newEntry(w)
	if g.queue.waiters.WouldBeFirst(e, now) {
		if c, v := g.choose(j, now); v == choiceMade {
			g.queue.forecast(j).started += workOf(j)
			g.queue.mu.Unlock()
			return c, nil
		}
	}
	if !g.stopping.mayQueue(now) {
		g.queue.mu.Unlock()
		return choice{}, errStopping
	}
	if err := g.refuseQuiet(j, now); err != nil {
		g.queue.mu.Unlock()
		return choice{}, err
	}
	if err := g.refuseHopeless(e, now); err != nil {
		g.queue.mu.Unlock()
		return choice{}, err
	}
	g.enqueue(e)
	waiting, isOver := g.queue.waiters.Len(), e.IsOver
	if !g.queue.dispatching {
		g.queue.dispatching = true
		go g.runDispatcher()
	}
	g.queue.mu.Unlock()
	g.Log.Emit(zplog.RequestWaits, g.logFields(j, zplog.Fields{"waiting": waiting, "over_share": isOver}))
	return g.await(ctx, e)
}

func (g *Gateway) await(ctx context.Context, e *queueEntry) (choice, error) {
	w := e.Value
	select {
	case p := <-w.result:
		return p.choice, p.err
	case <-ctx.Done():
	}
	g.queue.mu.Lock()
	removed := g.dequeue(e)
	g.queue.mu.Unlock()
	if !removed {
		// The dispatcher chose an endpoint just before the caller disconnected.
		if p := <-w.result; p.err == nil {
			p.choice.use.End()
			p.choice.upgrade.End(zpupgrade.OutcomeIgnored, g.Clock())
		}
	}
	return choice{}, errCallerGone.WithState(w.job.runState)
}

// runDispatcher dispatches queued requests until the queue is empty.
func (g *Gateway) runDispatcher() {
	for {
		time.Sleep(dispatchInterval)
		g.queue.mu.Lock()
		g.dispatch(g.Clock())
		if g.queue.waiters.Len() == 0 {
			g.queue.dispatching = false
			g.queue.mu.Unlock()
			return
		}
		g.queue.mu.Unlock()
	}
}

// dispatch makes one pass over the queue. It removes the requests that can be
// placed, those whose deadline cannot be met, those that have waited too long while no
// endpoint may serve them, and all when the daemon is about to end.
func (g *Gateway) dispatch(now time.Time) {
	for _, e := range g.queue.waiters.RemoveExpired(now) {
		e.Value.endWait()
		e.Value.result <- placement{err: g.refuseExpired(e, now)}
	}
	if !g.stopping.mayQueue(now) {
		for _, e := range g.queue.waiters.Ordered(now) {
			g.dequeue(e)
			e.Value.result <- placement{err: errStopping}
		}
		return
	}
	failedTries := map[string]int{} // tries that found no capacity, by pool
	for _, e := range g.queue.waiters.Ordered(now) {
		w := e.Value
		if failedTries[w.job.pool.Name] >= g.triesPerPass(w.job.pool.Name, now) {
			continue
		}
		c, v := g.choose(w.job, now)
		switch {
		case v == choiceMade:
			g.queue.forecast(w.job).started += workOf(w.job)
			g.dequeue(e)
			w.result <- placement{choice: c}
		case v == choiceNoCapacity:
			failedTries[w.job.pool.Name]++
			if err := g.refuseQuiet(w.job, now); err != nil {
				g.dequeue(e)
				w.result <- placement{err: err}
			}
		case now.Sub(w.enqueuedAt) >= min(w.job.route.TargetLatency, w.job.remaining(w.enqueuedAt))/noEndpointWaitDivisor:
			g.dequeue(e)
			w.result <- placement{err: errNoEndpoint.WithRetryAfter(retryAfterUnavailable)}
		}
	}
	g.forecastQueue(now)
}

// QueuedRequests returns the number of queued requests.
func (g *Gateway) QueuedRequests() int {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	return g.queue.waiters.Len()
}

// triesPerPass returns how many requests may fail to get an endpoint of a pool in
// one pass.
func (g *Gateway) triesPerPass(pool string, now time.Time) int {
	n := len(g.Registry.Serving(pool, now))
	return max(1, min(maxTriesPerPass, maxCandidatesPerPass/max(n, 1)))
}

func (g *Gateway) newEntry(w *waiter) *queueEntry {
	j := w.job
	service := time.Duration(0)
	if p := j.request.Prompt; p != nil {
		// Usually half of a prompt is already cached.
		service = engineStartTime + time.Duration(p.Tokens/2)*time.Millisecond/time.Duration(max(g.Rates.PrefillPerMS, 1))
	}
	return &queueEntry{
		Rank: j.priority(), ArrivedAt: j.request.ReceivedAt, Objective: j.route.TargetLatency, ServiceTime: service, Lead: g.queue.leadOf(j, w.enqueuedAt),
		IsOver: g.isOver(j), Deadline: j.firstEventBy(), Value: w,
	}
}
