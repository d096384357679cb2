package zprollout

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

type (
	// Report is the state of an engine's weights and orders as it reports them.
	Report struct {
		Weights  map[string]int64 // loaded version by model
		Busy     bool             // an order is being executed
		Sequence int64            // number of orders accepted since the engine started
	}

	// Order is an order to an engine to load weights.
	Order struct {
		Model    string
		Version  int64
		Holder   string
		Fence    int64
		Sequence int64     // from the report; the engine rejects the order if it has accepted others since
		Deadline time.Time // by which the first byte must be sent
	}

	// Orderer is the client for reports and orders of engines.
	Orderer interface {
		Report(ctx context.Context, e zpregistry.Endpoint) (Report, error)
		Order(ctx context.Context, e zpregistry.Endpoint, o Order) (Verdict, error)
	}

	// Verdict is an engine's answer to an order.
	Verdict int

	// Rollout orders engines to load the target weights while it holds the duty. Set
	// the exported fields before Run.
	Rollout struct {
		Self           string // name of this holder in orders
		Keeper         *zpduty.Keeper
		WeightVersions *WeightVersions
		Engines        func(now time.Time) []zpregistry.Endpoint
		Models         func(pool string) []string
		Load           func(endpoint string, now time.Time) int
		SetWeights     func(endpoint, model string, version int64)
		Announce       func(endpoint string, left time.Duration) // announces that an engine is changing; 0 means no longer
		Orderer        Orderer
		Rank           func() int // position of this daemon among the candidates for the duty
		// Reaches reports whether this daemon can connect to an address by itself. Engines that it
		// cannot reach are left to the next holder of the duty.
		Reaches func(address string, now time.Time) bool
		Timing  Timing
		Log     *zplog.Logger
		Clock   func() time.Time

		changes       map[string]*Change
		outdatedSince time.Time
	}
)

// Possible answers of an engine to an order.
const (
	VerdictAccepted Verdict = iota
	VerdictLoaded           // the engine already has the weights
	VerdictConflict         // another order is being executed or was accepted first
	VerdictFenced           // a holder with a higher fence has given orders
	VerdictRefused          // the engine cannot execute the order now
	VerdictGone             // another endpoint now has the address
)

const (
	idleInterval   = 100 * time.Millisecond
	activeInterval = 50 * time.Millisecond
	// rankDelay is the delay per rank before a daemon tries to acquire the duty.
	rankDelay = 300 * time.Millisecond
	// acquireInterval is the interval at which the first frequentCandidates daemons
	// check a duty that another daemon holds. The others check less often.
	acquireInterval    = 200 * time.Millisecond
	frequentCandidates = 3
	// changeTimeout is the maximum time for which an engine receives no requests
	// because of one change.
	changeTimeout = 4 * time.Second
)

// Run rolls out weights until ctx is done. A separate loop maintains the duty, so
// that an engine that does not answer cannot delay a renewal.
func (r *Rollout) Run(ctx context.Context) {
	r.changes = map[string]*Change{}
	var maintaining sync.WaitGroup
	maintaining.Go(func() { r.repeat(ctx, r.maintainDuty) })
	r.repeat(ctx, r.advanceWhileHeld)
	maintaining.Wait()
}

// repeat calls step until ctx is done. The step returns the delay until the next
// call.
func (r *Rollout) repeat(ctx context.Context, step func(ctx context.Context) time.Duration) {
	for ctx.Err() == nil {
		pause := step(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// maintainDuty acquires and renews the duty while engines are outdated, and
// releases it afterwards. It returns the delay until the next call.
func (r *Rollout) maintainDuty(ctx context.Context) time.Duration {
	now := r.Clock()
	outdated := AnyOutdated(r.describe(r.reachable(now), now), r.WeightVersions.Targets())
	_, _, held := r.Keeper.Holds()
	switch {
	case !outdated && !held:
		r.outdatedSince = time.Time{}
		return idleInterval
	case r.outdatedSince.IsZero():
		r.outdatedSince = now
	}
	rank := r.Rank()
	if !held && now.Sub(r.outdatedSince) < time.Duration(rank)*rankDelay {
		return idleInterval
	}
	r.Keeper.Step(ctx, outdated)
	if _, _, held = r.Keeper.Holds(); held {
		return activeInterval
	}
	return acquireInterval * time.Duration(1+rank/frequentCandidates*frequentCandidates)
}

// advanceWhileHeld advances all changes if the duty is held, and discards them
// if not. It returns the delay until the next call.
func (r *Rollout) advanceWhileHeld(ctx context.Context) time.Duration {
	if _, _, held := r.Keeper.Holds(); !held {
		clear(r.changes)
		return activeInterval
	}
	now := r.Clock()
	endpoints := r.reachable(now)
	r.advance(ctx, endpoints, r.describe(endpoints, now), r.WeightVersions.Targets())
	return activeInterval
}

// reachable returns the engines that this daemon can connect to by itself.
func (r *Rollout) reachable(now time.Time) []zpregistry.Endpoint {
	return slices.DeleteFunc(r.Engines(now), func(e zpregistry.Endpoint) bool { return !r.Reaches(e.Address, now) })
}

func (r *Rollout) describe(endpoints []zpregistry.Endpoint, now time.Time) []Engine {
	var out []Engine
	for _, e := range endpoints {
		for _, model := range r.Models(e.Pool) {
			if _, serves := e.Weights[model]; len(e.Weights) > 0 && !serves {
				continue
			}
			out = append(out, Engine{
				ID: e.ID, Pool: e.Pool, Model: model, Weights: e.Weights[model], Load: r.Load(e.ID, now),
				Domain: e.FailureDomain, WeightsExpired: r.WeightVersions.Expired(model, e.Weights[model], now),
				ExpiresIn: r.WeightVersions.ExpiresIn(model, e.Weights[model], now),
			})
		}
	}
	return out
}

// advance completes changes of engines that have the target weights, starts new
// changes, and performs the next step of each pending one.
func (r *Rollout) advance(ctx context.Context, endpoints []zpregistry.Endpoint, engines []Engine, targets map[string]int64) {
	byID := map[string]zpregistry.Endpoint{}
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	r.endChanges(engines, targets)
	now := r.Clock()
	for _, e := range Pick(engines, targets, r.changes) {
		r.changes[e.ID] = &Change{Model: e.Model, Target: targets[e.Model], NotBefore: now.Add(announceDelay)}
		r.WeightVersions.SetChanging(e.ID, now.Add(changeTimeout))
		r.Announce(e.ID, changeTimeout)
	}
	var due sync.WaitGroup
	for id, c := range r.changes {
		if now.Before(c.NotBefore) {
			continue
		}
		due.Go(func() { r.updateEngine(ctx, byID[id], targets[c.Model], c) })
	}
	due.Wait()
}

// endChanges ends the changes of engines that have the target weights of the model that
// they change, and of engines that are gone or no longer serve it.
func (r *Rollout) endChanges(engines []Engine, targets map[string]int64) {
	pending := map[string]bool{}
	for _, e := range engines {
		c, ok := r.changes[e.ID]
		if !ok || c.Model != e.Model {
			continue
		}
		if e.Weights < targets[e.Model] {
			pending[e.ID] = true
			continue
		}
		r.Log.Emit(zplog.WeightsLoaded, zplog.Fields{"endpoint": e.ID, "model": e.Model, "version": e.Weights, "accepted": c.Accepted})
	}
	for id := range r.changes {
		if !pending[id] {
			delete(r.changes, id)
			r.WeightVersions.SetChanging(id, time.Time{})
			r.Announce(id, 0)
		}
	}
}

// announceDelay is the time between announcing that an engine receives no
// requests and the order to it, so that the other daemons learn of it first.
const announceDelay = 80 * time.Millisecond

// updateEngine reads the report of one engine and orders it to load the target
// weights, unless it has them or is loading them.
func (r *Rollout) updateEngine(ctx context.Context, e zpregistry.Endpoint, target int64, c *Change) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := r.Orderer.Report(ctx, e)
	now := r.Clock()
	c.NotBefore = now.Add(r.Timing.PollInterval)
	if err != nil {
		r.Log.Emit(zplog.OrderFailed, zplog.Fields{"endpoint": e.ID, "call": "report", "error": err.Error()})
		return
	}
	if v := report.Weights[c.Model]; v > e.Weights[c.Model] {
		r.SetWeights(e.ID, c.Model, v)
	}
	awaitingEffect := c.Target == target && c.Accepted && now.Sub(c.OrderedAt) < r.Timing.RepeatDelay
	if report.Weights[c.Model] >= target || report.Busy || awaitingEffect {
		return
	}
	r.order(ctx, e, Order{Model: c.Model, Version: target, Holder: r.Self, Sequence: report.Sequence}, c)
}

// orderTimeout is the total timeout of one report and one order.
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
		// Extends the time without requests if the engine accepts several orders in a
		// row.
		r.WeightVersions.SetChanging(e.ID, r.Clock().Add(changeTimeout))
		r.Announce(e.ID, changeTimeout)
	case VerdictLoaded:
		r.SetWeights(e.ID, o.Model, o.Version)
	case VerdictFenced:
		r.Keeper.Relinquish()
	}
}

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"accepted", "holds", "conflict", "fenced", "refused", "gone"}[v]
}

// ErrGone is returned when a call reached a different endpoint than intended.
var ErrGone = errors.New("another endpoint has the address")
