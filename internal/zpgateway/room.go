package zpgateway

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpline"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

type (
	// room is where requests wait until an endpoint can take them.
	room struct {
		mu     sync.Mutex
		line   zpline.Line[*waiter]
		served bool // a goroutine serves the line

		// Buffers of a choice.
		list       []choice
		candidates []zpplace.Candidate
	}

	waiter struct {
		job   *job
		since time.Time
		out   chan placed
	}

	// placed is the end of a wait.
	placed struct {
		choice choice
		err    error
	}

	entry = zpline.Entry[*waiter]
)

const (
	// roomInterval is the pause between two looks for room.
	roomInterval = 10 * time.Millisecond
	// roomTries bounds the requests that are tried in one look, and roomLooks the
	// endpoints that are weighed for them, so that a daemon with a small share of a
	// core and a large pool has time left to serve.
	roomTries = 8
	roomLooks = 400
	// roomLimit bounds the waiting requests of a daemon, and so their memory.
	roomLimit = 512
	// usableShare is the part of a request's objective for which it waits while no
	// endpoint at all may take it.
	usableShare = 4
	// startTime is the usual time from a request's start at an engine to its first
	// piece, beside reading the prompt.
	startTime = 50 * time.Millisecond
)

// place chooses an endpoint, or waits in line until one can take the request.
func (g *Gateway) place(ctx context.Context, j *job) (choice, error) {
	now := g.Clock()
	if j.left(now) < minimalRun {
		return choice{}, errTooLate
	}
	w := &waiter{job: j, since: now, out: make(chan placed, 1)}
	e := g.entryOf(w)
	g.room.mu.Lock()
	if g.room.line.First(e, now) {
		if c, v := g.choose(j, now); v == verdictChosen {
			g.room.mu.Unlock()
			return c, nil
		}
	}
	if g.room.line.Len() >= roomLimit {
		g.room.mu.Unlock()
		return choice{}, errBusy.WithRetryAfter(retryAfterBusy)
	}
	g.room.line.Add(e)
	waiting := g.room.line.Len()
	if !g.room.served {
		g.room.served = true
		go g.serveRoom()
	}
	g.room.mu.Unlock()
	g.Log.Emit(zplog.RequestWaits, g.fields(j, zplog.Fields{"waiting": waiting}))
	return g.await(ctx, e)
}

func (g *Gateway) await(ctx context.Context, e *entry) (choice, error) {
	w := e.Value
	select {
	case p := <-w.out:
		return p.choice, p.err
	case <-ctx.Done():
	}
	g.room.mu.Lock()
	removed := g.room.line.Remove(e)
	g.room.mu.Unlock()
	if !removed {
		// The choice was made just before the caller left.
		if p := <-w.out; p.err == nil {
			p.choice.use.End()
		}
	}
	return choice{}, errCallerGone.WithState(w.job.runState)
}

// serveRoom looks for room until no one waits.
func (g *Gateway) serveRoom() {
	for {
		time.Sleep(roomInterval)
		g.room.mu.Lock()
		g.lookForRoom(g.Clock())
		if g.room.line.Len() == 0 {
			g.room.served = false
			g.room.mu.Unlock()
			return
		}
		g.room.mu.Unlock()
	}
}

// lookForRoom ends the wait of requests that can be placed, and of those that
// have no more time.
func (g *Gateway) lookForRoom(now time.Time) {
	for _, e := range g.room.line.Expired(now) {
		e.Value.out <- placed{err: errTooLate}
	}
	full := map[string]int{} // tries without room, by pool
	for _, e := range g.room.line.Ordered(now) {
		w := e.Value
		if full[w.job.pool.Name] >= g.triesOf(w.job.pool.Name, now) {
			continue
		}
		c, v := g.choose(w.job, now)
		switch {
		case v == verdictChosen:
			g.room.line.Remove(e)
			w.out <- placed{choice: c}
		case v == verdictFull:
			full[w.job.pool.Name]++
		case now.Sub(w.since) >= min(w.job.route.Objective, w.job.left(w.since))/usableShare:
			g.room.line.Remove(e)
			w.out <- placed{err: errNoEndpoint.WithRetryAfter(retryAfterUnknown)}
		}
	}
}

// Waiting returns how many requests are in line.
func (g *Gateway) Waiting() int {
	g.room.mu.Lock()
	defer g.room.mu.Unlock()
	return g.room.line.Len()
}

// triesOf returns how many requests for a pool are tried in one look.
func (g *Gateway) triesOf(pool string, now time.Time) int {
	n := len(g.Registry.Serving(pool, now))
	return max(1, min(roomTries, roomLooks/max(n, 1)))
}

func (g *Gateway) entryOf(w *waiter) *entry {
	j := w.job
	service := time.Duration(0)
	if p := j.request.Prompt; p != nil {
		// Half of a usual prompt is found in a cache.
		service = startTime + time.Duration(p.Tokens/2)*time.Millisecond/time.Duration(max(g.Rates.PrefillPerMS, 1))
	}
	return &entry{
		Rank: j.priority(), Since: j.request.ReceivedAt, Objective: j.route.Objective, Service: service, Deadline: j.deadline, Value: w,
	}
}
