package zprollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

type (
	// Report is what an engine says of its weights and orders.
	Report struct {
		Weights  map[string]int64 // by model
		Busy     bool             // an order is being carried out
		Sequence int64            // orders accepted since its start
	}

	// Order tells an engine to load weights.
	Order struct {
		Model    string
		Version  int64
		Holder   string
		Fence    int64
		Sequence int64     // the engine refuses the order if it has accepted others meanwhile
		Deadline time.Time // for the first byte
	}

	// Orderer talks to engines.
	Orderer interface {
		Report(ctx context.Context, e zpregistry.Endpoint) (Report, error)
		Order(ctx context.Context, e zpregistry.Endpoint, o Order) (Verdict, error)
	}

	// Verdict is an engine's answer to an order.
	Verdict int

	// Rollout brings engines to the named weights while it holds the duty. Set the
	// exported fields before Run.
	Rollout struct {
		Self    string // holder as engines see it
		Keeper  *zpduty.Keeper
		Board   *Board
		Engines func(now time.Time) []zpregistry.Endpoint
		Models  func(pool string) []string
		Load    func(endpoint string, now time.Time) int
		Seen    func(endpoint, model string, version int64)
		Tell    func(endpoint string, left time.Duration) // that an engine is changing; zero: no longer
		Orderer Orderer
		Rank    func() int // place of this daemon among those that could take the duty
		Timing  Timing
		Log     *zplog.Logger
		Clock   func() time.Time

		changes   map[string]*Change
		workSince time.Time
	}
)

// Verdicts.
const (
	VerdictAccepted Verdict = iota
	VerdictHolds            // the engine has the weights already
	VerdictConflict         // another order is being carried out, or came before
	VerdictFenced           // a newer holder has given orders
	VerdictRefused          // the order is not possible now
	VerdictGone             // another endpoint has the address
)

const (
	idleStep   = 100 * time.Millisecond
	activeStep = 50 * time.Millisecond
	// rankDelay is the pause after which the next daemon tries to take the duty.
	rankDelay = 300 * time.Millisecond
	// lookPause is the pause between looks of the first candidates at a duty that
	// another daemon holds; the others look less often.
	lookPause  = 200 * time.Millisecond
	candidates = 3
	// changeLimit is how long an engine is spared requests for one change.
	changeLimit = 4 * time.Second
)

// Run works until ctx ends. The duty is kept by a loop of its own, so that an
// engine that does not answer cannot delay a renewal.
func (r *Rollout) Run(ctx context.Context) {
	r.changes = map[string]*Change{}
	var keeping sync.WaitGroup
	keeping.Go(func() { r.every(ctx, r.keep) })
	r.every(ctx, r.act)
	keeping.Wait()
}

// every repeats a step, which returns the pause until the next one.
func (r *Rollout) every(ctx context.Context, step func(ctx context.Context) time.Duration) {
	for ctx.Err() == nil {
		pause := step(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// keep takes the duty while there is work, and gives it up afterwards.
func (r *Rollout) keep(ctx context.Context) time.Duration {
	now := r.Clock()
	work := Behind(r.describe(r.Engines(now), now), r.Board.Targets())
	_, _, held := r.Keeper.Holds()
	switch {
	case !work && !held:
		r.workSince = time.Time{}
		return idleStep
	case r.workSince.IsZero():
		r.workSince = now
	}
	rank := r.Rank()
	if !held && now.Sub(r.workSince) < time.Duration(rank)*rankDelay {
		return idleStep
	}
	r.Keeper.Step(ctx, work)
	if _, _, held = r.Keeper.Holds(); held {
		return activeStep
	}
	return lookPause * time.Duration(1+rank/candidates*candidates)
}

// act takes changes further while the duty is held.
func (r *Rollout) act(ctx context.Context) time.Duration {
	if _, _, held := r.Keeper.Holds(); !held {
		clear(r.changes)
		return activeStep
	}
	now := r.Clock()
	endpoints := r.Engines(now)
	r.advance(ctx, endpoints, r.describe(endpoints, now), r.Board.Targets())
	return activeStep
}

func (r *Rollout) describe(endpoints []zpregistry.Endpoint, now time.Time) []Engine {
	var out []Engine
	for _, e := range endpoints {
		for _, model := range r.Models(e.Pool) {
			out = append(out, Engine{
				ID: e.ID, Model: model, Weights: e.Weights[model], Load: r.Load(e.ID, now),
				Domain: e.Domain, Expired: r.Board.Expired(model, e.Weights[model], now),
			})
		}
	}
	return out
}

// advance begins changes and takes each one further.
func (r *Rollout) advance(ctx context.Context, endpoints []zpregistry.Endpoint, engines []Engine, targets map[string]int64) {
	byID := map[string]zpregistry.Endpoint{}
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	models := map[string]string{}
	for _, e := range engines {
		models[e.ID] = e.Model
		if c, ok := r.changes[e.ID]; ok && e.Weights >= targets[e.Model] {
			r.Log.Emit(zplog.WeightsLoaded, zplog.Fields{"endpoint": e.ID, "version": e.Weights, "accepted": c.Accepted})
			delete(r.changes, e.ID)
			r.Board.SetChanging(e.ID, time.Time{})
			r.Tell(e.ID, 0)
		}
	}
	for id := range r.changes {
		if _, ok := byID[id]; !ok {
			delete(r.changes, id)
		}
	}
	now := r.Clock()
	for _, e := range Pick(engines, targets, r.changes) {
		r.changes[e.ID] = &Change{Target: targets[e.Model], NextAt: now.Add(announceLead)}
		r.Board.SetChanging(e.ID, now.Add(changeLimit))
		r.Tell(e.ID, changeLimit)
	}
	var due sync.WaitGroup
	for id, c := range r.changes {
		if now.Before(c.NextAt) {
			continue
		}
		due.Go(func() { r.push(ctx, byID[id], models[id], targets[models[id]], c) })
	}
	due.Wait()
}

// announceLead is the time for the other daemons to learn that an engine takes
// no requests before its order arrives.
const announceLead = 80 * time.Millisecond

// push looks at one engine and orders it to load the weights, unless it is
// doing so.
func (r *Rollout) push(ctx context.Context, e zpregistry.Endpoint, model string, target int64, c *Change) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := r.Orderer.Report(ctx, e)
	now := r.Clock()
	c.NextAt = now.Add(r.Timing.Poll)
	if err != nil {
		r.Log.Emit(zplog.OrderFailed, zplog.Fields{"endpoint": e.ID, "call": "report", "error": err.Error()})
		return
	}
	if v := report.Weights[model]; v > e.Weights[model] {
		r.Seen(e.ID, model, v)
	}
	waiting := c.Target == target && c.Accepted && now.Sub(c.OrderedAt) < r.Timing.Again
	if report.Weights[model] >= target || report.Busy || waiting {
		return
	}
	r.order(ctx, e, Order{Model: model, Version: target, Holder: r.Self, Sequence: report.Sequence}, c)
}

// orderTimeout bounds one look and one order.
const orderTimeout = 700 * time.Millisecond

func (r *Rollout) order(ctx context.Context, e zpregistry.Endpoint, o Order, c *Change) {
	fence, until, held := r.Keeper.Holds()
	if !held {
		return
	}
	o.Fence, o.Deadline = fence, until
	verdict, err := r.Orderer.Order(ctx, e, o)
	c.Target, c.OrderedAt, c.Accepted = o.Version, r.Clock(), err == nil && verdict == VerdictAccepted
	fields := zplog.Fields{
		"endpoint": e.ID, "model": o.Model, "version": o.Version, "fence": o.Fence, "sequence": o.Sequence, "verdict": verdict.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
		r.Log.Emit(zplog.OrderFailed, fields)
		return
	}
	r.Log.Emit(zplog.OrderGiven, fields)
	switch verdict {
	case VerdictAccepted:
		// An engine that takes a second order in a row stays without requests.
		r.Board.SetChanging(e.ID, r.Clock().Add(changeLimit))
		r.Tell(e.ID, changeLimit)
	case VerdictHolds:
		r.Seen(e.ID, o.Model, o.Version)
	case VerdictFenced:
		r.Keeper.Drop()
	}
}

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "refused", "gone"}[v]
}

// ErrGone is the error of a call that reached another endpoint.
var ErrGone = errors.New("another endpoint has the address")
