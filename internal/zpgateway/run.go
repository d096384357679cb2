package zpgateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// result says how one send ended.
	result int

	// sent is one send of a request.
	sent struct {
		result result
		err    error
	}
)

const (
	resultDone    result = iota // the caller has the whole answer
	resultNotRun                // the endpoint has not run the request
	resultFailed                // the endpoint answered with a failure, kept in job.failure
	resultBroken                // the request may have run, and its answer is lost
	resultSilent                // no byte came in time; the run was cancelled and may be repeated
	resultStopped               // the caller is gone or the time is up
)

// run sends the request until it is answered, or until it may not be sent
// again.
func (g *Gateway) run(ctx context.Context, j *job, reply Reply) error {
	budget := g.Retries.Of("", j.pool.Name)
	budget.Attempt()
	refusals := 0
	for {
		if hasLeft(ctx, j) {
			return errCallerGone.WithState(j.runState)
		}
		j.enter(stagePlace)
		g.lookUp(ctx, j)
		c, err := g.place(ctx, j)
		if err != nil {
			return g.giveUp(j, reply, sent{err: g.unanswered(j, err)})
		}
		s := g.send(ctx, j, c, budget, reply)
		switch s.result {
		case resultDone:
			return nil
		case resultStopped:
			return s.err
		case resultNotRun:
			refusals++
			if refusals > maxRefusals || !budget.Take() {
				return g.giveUp(j, reply, sent{err: g.unanswered(j, errBusy.WithRetryAfter(retryAfterBusy).WithCause(s.err))})
			}
		case resultSilent:
			// The repeat was taken from the budget when the run was cancelled.
		case resultFailed, resultBroken:
			if !g.mayRepeat(j) || !budget.Take() {
				return g.giveUp(j, reply, s)
			}
			if g.Quarantine.Standing(j.fingerprint, g.Clock()) != zpquarantine.StandingClear {
				return g.giveUp(j, reply, s)
			}
		}
		j.tried[c.endpoint.ID] = true
		g.Metrics.Retries.WithLabelValues(s.result.String()).Inc()
		g.Log.Emit(zplog.RequestRetried, g.fields(j, zplog.Fields{
			"endpoint": c.endpoint.ID, "after": s.result.String(), "error": fmt.Sprint(s.err), "last_event": j.lastEvent,
		}))
	}
}

// mayRepeat reports whether a request that may have run may be sent again.
func (g *Gateway) mayRepeat(j *job) bool {
	if zpmutant.Active(zpmutant.Claim) {
		return !j.begun && j.runs < maxRefusals
	}
	if !j.route.Repeatable() || j.runs >= max(j.route.MaxAttempts, 1) {
		return false
	}
	return !j.begun || j.route.Kind == zpcatalog.KindStream
}

// giveUp answers with the failure of the endpoint, if there is one.
func (g *Gateway) giveUp(j *job, reply Reply, s sent) error {
	if j.failure != nil && !j.begun {
		return j.failure.deliver(j, reply)
	}
	return s.err
}

// unanswered gives an error the run state of the sends before it.
func (g *Gateway) unanswered(j *job, err error) error {
	e := zperror.Of(err)
	if j.runState == zperror.RunStateNotRun || zpmutant.Active(zpmutant.NotRun) {
		return e
	}
	return errBroken.WithCause(e)
}

// send sends the request to the chosen endpoint and hands its answer on.
func (g *Gateway) send(ctx context.Context, j *job, c choice, budget *zpretry.Budget, reply Reply) sent {
	defer c.use.End()
	now := g.Clock()
	left := j.left(now)
	if left < minimalRun {
		return sent{resultStopped, g.unanswered(j, errTooLate)}
	}
	gate := &zpengine.Gate{Deadline: j.deadline, Clock: g.Clock, HasCallerLeft: j.caller.HasCallerLeft}
	if j.route.Kind == zpcatalog.KindNonIdempotent {
		var end func()
		ctx, end = detachOnceSent(ctx, gate)
		defer end()
	}
	ctx, cancel := context.WithTimeoutCause(ctx, left, errTimeout)
	defer cancel()
	ctx, watch := g.watchFirstByte(ctx, j, c, budget)
	defer watch.end()
	j.attempts++
	j.enter(stageSend)
	g.Log.Emit(zplog.RequestPlaced, g.fields(j, c.fields()))
	answer, err := g.Runner.Run(ctx, c.run(j, left), gate)
	if err != nil {
		return g.noAnswer(ctx, j, c, gate, err)
	}
	defer func() { _ = answer.Body.Close() }()
	g.learn(j, c, answer)
	if answer.NotRun {
		return sent{resultNotRun, fmt.Errorf("endpoint %s refused the request with status %d", c.endpoint.ID, answer.Status)}
	}
	j.runs++
	j.runState = zperror.RunStateUnknown
	var first time.Duration
	s := g.deliver(ctx, j, answer, reply, func() {
		j.enter(stageAnswer)
		watch.stop()
		first = g.Clock().Sub(now)
		c.use.Started()
		g.noteRead(j, c)
	})
	switch s.result {
	case resultDone:
		g.Suspects.Succeeded(c.endpoint.ID, g.Clock())
		g.Quarantine.Served(j.fingerprint, g.Clock())
		g.Log.Emit(zplog.RequestAnswered, g.fields(j, zplog.Fields{
			"endpoint": c.endpoint.ID, "status": answer.Status, "first_ms": first.Milliseconds(), "expected_ms": c.cost.Milliseconds(),
			"weights": answer.WeightVersion,
		}))
	case resultFailed:
		g.failed(c.endpoint.ID, FailureAnswer)
	case resultBroken:
		s = g.brokenAnswer(ctx, j, c, s)
	}
	return s
}

// noAnswer judges a send without an answer.
func (g *Gateway) noAnswer(ctx context.Context, j *job, c choice, gate *zpengine.Gate, err error) sent {
	if !gate.Sent() {
		if stopped, ok := g.stopped(ctx, j); ok {
			return stopped
		}
		if errors.Is(gate.Refusal(), zpengine.ErrCallerLeft) {
			return sent{resultStopped, errCallerGone.WithState(j.runState).WithCause(err)}
		}
		failure := FailureConnect
		if late, ok := errors.AsType[net.Error](err); ok && late.Timeout() {
			failure = FailureDark
		}
		g.failed(c.endpoint.ID, failure)
		return sent{resultNotRun, fmt.Errorf("send to endpoint %s: %w", c.endpoint.ID, err)}
	}
	j.runs++
	j.runState = zperror.RunStateUnknown
	return g.brokenAnswer(ctx, j, c, sent{resultBroken, err})
}

// brokenAnswer judges a request whose answer broke off after it was sent.
func (g *Gateway) brokenAnswer(ctx context.Context, j *job, c choice, s sent) sent {
	if zpmutant.Active(zpmutant.NotRun) && !j.begun {
		return sent{resultStopped, errBusy}
	}
	if stopped, ok := g.stopped(ctx, j); ok {
		if stopped.result == resultSilent || errors.Is(stopped.err, errTimeout) {
			g.failed(c.endpoint.ID, FailureSilence)
		}
		return stopped
	}
	g.failed(c.endpoint.ID, FailureBroken)
	g.flights.note(c.endpoint.ID, j.fingerprint, g.Clock())
	return sent{resultBroken, errBroken.WithCause(fmt.Errorf("endpoint %s: %w", c.endpoint.ID, s.err))}
}

// stopped reports whether the work ended because the caller is gone or the time
// is up.
func (g *Gateway) stopped(ctx context.Context, j *job) (sent, bool) {
	if ctx.Err() == nil && j.left(g.Clock()) > 0 {
		return sent{}, false
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		return sent{resultSilent, errSilent}, true
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return sent{resultStopped, errCallerGone.WithState(j.runState)}, true
	}
	if j.runState == zperror.RunStateNotRun {
		return sent{resultStopped, errTooLate}, true
	}
	return sent{resultStopped, errTimeout}, true
}

// failed notes a failure of an endpoint, and has other daemons told if it is
// dark.
func (g *Gateway) failed(endpoint string, f Failure) {
	now := g.Clock()
	if g.Suspects.Failed(endpoint, f, now) {
		g.NoteDark(endpoint)
		g.DarkTo(endpoint, g.Domain)
	}
}

// DarkTo takes over that an endpoint was dark to a daemon of a failure domain.
func (g *Gateway) DarkTo(endpoint, domain string) {
	if g.Suspects.Dark(endpoint, domain, g.Clock()) {
		g.Log.Emit(zplog.EndpointAvoided, zplog.Fields{"endpoint": endpoint, "failure_domain": domain, "avoided_ms": darkAvoidance.Milliseconds()})
	}
}

// learn takes over what an answer says about its endpoint.
func (g *Gateway) learn(j *job, c choice, a *Answer) {
	if a.WeightVersion > 0 && j.request.Prompt != nil {
		g.Registry.SetWeights(c.endpoint.ID, j.request.Prompt.Model, a.WeightVersion)
	}
	switch {
	case a.OtherInstance && (a.WeightVersion == 0 || a.WeightVersion == c.weights):
		g.failed(c.endpoint.ID, FailureOther)
	case a.NotRun:
		g.failed(c.endpoint.ID, FailureRefusal)
	}
}

// EndpointGone attributes the fall of an endpoint to the requests whose answers
// broke off just before.
func (g *Gateway) EndpointGone(e zpregistry.Endpoint) {
	now := g.Clock()
	crash := fmt.Sprintf("%s/%d", e.ID, e.Born)
	for _, fingerprint := range g.flights.take(e.ID, now) {
		if g.Quarantine.Note(fingerprint, crash, now) {
			g.Log.Emit(zplog.CrashNoted, zplog.Fields{"endpoint": e.ID, "fingerprint": fingerprint})
			g.NoteCrash(fingerprint, crash)
		}
	}
	g.Suspects.Forget(e.ID)
	g.Parts.Forget(e.ID)
}

func (r result) String() string {
	return [...]string{"done", "not_run", "failed", "broken", "silent", "stopped"}[r]
}
