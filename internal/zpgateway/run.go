package zpgateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// outcome is the way in which one send ended.
	outcome int

	// turnedAway counts the endpoints that did not run a request.
	turnedAway struct {
		refusals  int // the endpoint refused it
		unreached int // the endpoint accepted no connection
	}

	// sendResult is the result of sending a request once.
	sendResult struct {
		outcome outcome
		err     error
	}
)

const (
	outcomeDone      outcome = iota // the caller has the complete response
	outcomeNotRun                   // the endpoint did not run the request
	outcomeUnreached                // no byte was sent, because there was no connection
	outcomeFailed                   // the endpoint responded with a 5xx status, kept in job.failure
	outcomeBroken                   // the request may have run, but its response is lost
	outcomeSilent                   // no byte arrived in time; the run was cancelled and may be retried
	outcomeStopped                  // the caller disconnected or the deadline passed
	outcomeNoPath                   // no byte was sent, because neither this daemon nor another one could connect now
	outcomeUnsent                   // the choice no longer held when the first byte was due; another may be made
)

// pathRetryInterval is the pause after which a way to endpoints is looked for again.
const pathRetryInterval = 50 * time.Millisecond

// run sends the request until it has a response or must not be sent again.
func (g *Gateway) run(ctx context.Context, j *job, reply Reply) error {
	budget := g.Retries.For("", j.pool.Name)
	budget.RecordAttempt()
	away := turnedAway{}
	for {
		if hasLeft(ctx, j) {
			return errCallerGone.WithState(j.runState)
		}
		if g.stopping.hasEnded() {
			return g.giveUp(j, reply, sendResult{err: g.withRunState(j, errStopping)})
		}
		j.setStage(stagePlace)
		c, err := g.placeAllowed(ctx, j)
		if err != nil {
			return g.giveUp(j, reply, sendResult{err: g.withRunState(j, err)})
		}
		s := g.send(ctx, j, c, budget, reply)
		if s.outcome.mayHaveRun() {
			j.trial = nil
		}
		g.recordVersion(j, c, s)
		switch s.outcome {
		case outcomeDone:
			return nil
		case outcomeStopped:
			return s.err
		case outcomeUnsent:
			continue
		}
		if end, ok := g.mayGoOn(ctx, j, s, &away, budget); !ok {
			return g.giveUp(j, reply, end)
		}
		if s.outcome == outcomeNoPath {
			j.noPath = append(j.noPath, c.endpoint.ID)
		} else {
			g.excludeTried(j, c, s)
		}
	}
}

// mayGoOn reports whether a request may be sent again after a send that failed, and returns
// with which result it ends if not.
func (g *Gateway) mayGoOn(ctx context.Context, j *job, s sendResult, away *turnedAway, budget *zpretry.Budget) (end sendResult, ok bool) {
	switch s.outcome {
	case outcomeNotRun, outcomeUnreached:
		if away.mayTryAnother(s.outcome, budget) {
			return s, true
		}
		return sendResult{err: g.withRunState(j, errOverloaded.WithRetryAfter(g.returnAfter(j)).WithCause(s.err))}, false
	case outcomeNoPath:
		if g.awaitPath(ctx, j) {
			return s, true
		}
		return sendResult{err: g.withRunState(j, errNoPath.WithRetryAfter(retryAfterUnavailable).WithCause(s.err))}, false
	case outcomeFailed, outcomeBroken:
		return s, g.mayRetry(j) && !g.hasSuspectedPart(j) && budget.Take()
	default: // after silence, the first-byte timer has taken the retry from the budget
		return s, true
	}
}

// excludeTried excludes an endpoint from the further choices for a request.
func (g *Gateway) excludeTried(j *job, c choice, s sendResult) {
	j.tried[c.endpoint.ID] = true
	g.Metrics.Retries.WithLabelValues(s.outcome.String()).Inc()
	g.Log.Emit(zplog.RequestRetried, g.logFields(j, g.eventFields(j, zplog.Fields{
		"endpoint": c.endpoint.ID, "after": s.outcome.String(), "error": fmt.Sprint(s.err), "through": j.through,
	})))
}

// mayTryAnother counts an endpoint that turned the request away and reports whether the
// request may be sent to another one. Nothing arrived at an endpoint that accepted no
// connection, so another one costs no retry.
func (t *turnedAway) mayTryAnother(o outcome, budget *zpretry.Budget) bool {
	if o == outcomeUnreached {
		t.unreached++
		return t.unreached <= maxUnreached
	}
	t.refusals++
	return t.refusals <= maxRefusals && budget.Take()
}

// awaitPath waits a moment for a way to endpoints. It returns false once the request has
// waited for its objective.
func (g *Gateway) awaitPath(ctx context.Context, j *job) bool {
	now := g.Clock()
	if now.Sub(j.request.ReceivedAt) >= j.route.TargetLatency || j.remaining(now) < 2*pathRetryInterval {
		return false
	}
	select {
	case <-time.After(pathRetryInterval):
	case <-ctx.Done():
	}
	return true
}

// placeAllowed chooses an endpoint once it is known which endpoints the request is allowed.
func (g *Gateway) placeAllowed(ctx context.Context, j *job) (choice, error) {
	g.AwaitCatalog(ctx)
	if err := g.checkRegionsConfirmed(j); err != nil {
		return choice{}, err
	}
	if err := g.requireTrial(ctx, j); err != nil {
		return choice{}, err
	}
	g.refreshParts(ctx, j)
	return g.place(ctx, j)
}

// mayRetry reports whether a request may be sent again although it may have run.
func (g *Gateway) mayRetry(j *job) bool {
	if zpmutant.Active(zpmutant.Claim) {
		return !j.headerSent && j.possibleRuns < maxRefusals
	}
	if !j.route.Repeatable() || j.possibleRuns >= max(j.route.MaxAttempts, 1) {
		return false
	}
	return !j.headerSent || j.route.Kind == zpcatalog.KindStream
}

// giveUp ends a request that is not sent again. It forwards the endpoint's 5xx
// response if there is one, and otherwise returns the error of s.
func (g *Gateway) giveUp(j *job, reply Reply, s sendResult) error {
	if j.failure != nil && !j.headerSent {
		return j.failure.deliver(j, reply)
	}
	return s.err
}

// withRunState replaces an error that says "not run" if an earlier send may have
// run the request.
func (g *Gateway) withRunState(j *job, err error) error {
	e := zperror.Of(err)
	if j.runState == zperror.RunStateNotRun || zpmutant.Active(zpmutant.NotRun) {
		return e
	}
	return errEndpointFailed.WithCause(e)
}

// send sends the request to the chosen endpoint and forwards the response.
func (g *Gateway) send(ctx context.Context, j *job, c choice, budget *zpretry.Budget, reply Reply) sendResult {
	defer c.use.End()
	now := g.Clock()
	left := j.remaining(now)
	if left < minRunTime {
		return sendResult{outcomeStopped, g.withRunState(j, errDeadlinePassed)}
	}
	gate := &zpengine.Gate{Deadline: j.deadline, Clock: g.Clock, HasCallerLeft: j.caller.HasCallerLeft, MaySend: func() error { return g.checkSend(ctx, j, c) }}
	if j.route.Kind == zpcatalog.KindNonIdempotent {
		var end func()
		ctx, end = detachAfterSend(ctx, gate)
		defer end()
	}
	ctx, release := g.stopping.withStop(ctx)
	defer release()
	ctx, cancel := context.WithTimeoutCause(ctx, left, errEndpointTimeout)
	defer cancel()
	ctx = zpdetour.WithRegions(ctx, c.regions.Allows)
	ctx, timer := g.startFirstByteTimer(ctx, j, c, budget)
	defer timer.end()
	j.attempts++
	j.sentAt, j.events, j.firstEvent = now, 0, ""
	j.setStage(stageSend)
	g.Log.Emit(zplog.RequestPlaced, g.logFields(j, g.choiceFields(j, c)))
	g.Speed.RecordSent(c.endpoint.ID)
	answer, err := g.Runner.Run(ctx, c.newRun(j, left), gate)
	j.through = gate.Through()
	if err != nil {
		return g.handleNoResponse(ctx, j, c, gate, err)
	}
	defer func() { _ = answer.Body.Close() }()
	g.updateEndpoint(j, c, answer)
	if answer.NotRun {
		return sendResult{outcomeNotRun, fmt.Errorf("endpoint %s refused the request with status %d", c.endpoint.ID, answer.Status)}
	}
	j.possibleRuns++
	j.runState = zperror.RunStateUnknown
	var firstByteTime time.Duration
	s := g.deliver(ctx, j, c.endpoint, answer, reply, func() {
		j.setStage(stageResponse)
		timer.stop()
		firstByteTime = g.Clock().Sub(now)
		c.use.PrefillDone()
		g.recordLead(j, c, firstByteTime)
		c.upgrade.SetFirstByte(firstByteTime, g.expectedFirstByte(j, c))
		g.recordPromptRead(j, c)
	})
	switch s.outcome {
	case outcomeDone:
		g.recordAnswered(ctx, j, c, answer, firstByteTime)
	case outcomeFailed:
		g.recordFailure(c.endpoint.ID, FailureServerError)
	case outcomeBroken:
		s = g.handleBrokenResponse(ctx, j, c, s)
	}
	return s
}

// recordAnswered records that the caller has the complete response of an endpoint.
func (g *Gateway) recordAnswered(ctx context.Context, j *job, c choice, a *Response, firstByteTime time.Duration) {
	g.Health.RecordSuccess(c.endpoint.ID, g.Clock())
	if isSuccess(a.Status) {
		g.recordComplete(ctx, j, c.endpoint)
	}
	g.Log.Emit(zplog.RequestAnswered, g.logFields(j, g.eventFields(j, zplog.Fields{
		"endpoint": c.endpoint.ID, "status": a.Status, "first_ms": firstByteTime.Milliseconds(), "expected_ms": c.cost.Milliseconds(),
		"weights": a.WeightVersion, "through": j.through,
	})))
}

// handleNoResponse returns the result of a send that got no response.
func (g *Gateway) handleNoResponse(ctx context.Context, j *job, c choice, gate *zpengine.Gate, err error) sendResult {
	if !gate.Sent() {
		if stopped, ok := g.checkStopped(ctx, j); ok {
			return stopped
		}
		if errors.Is(gate.Err(), zpengine.ErrCallerDisconnected) {
			return sendResult{outcomeStopped, errCallerGone.WithState(j.runState).WithCause(err)}
		}
		if zperror.Is(gate.Err(), errQuarantined.Code) || zperror.Is(gate.Err(), errSuspected.Code) {
			return sendResult{outcomeStopped, g.withRunState(j, gate.Err())}
		}
		if errors.Is(gate.Err(), errChoiceRevoked) {
			g.Log.Emit(zplog.ChoiceRevoked, g.logFields(j, zplog.Fields{
				"endpoint": c.endpoint.ID, "leaving": g.Registry.IsLeaving(c.endpoint.ID), "region": c.endpoint.Region, "allowed_regions": g.regionsOf(j).String(), "current_catalog": g.Catalog().Version,
			}))
			j.attempts--
			return sendResult{outcomeUnsent, gate.Err()}
		}
		if errors.Is(gate.Err(), errStartUnconfirmed) {
			return sendResult{outcomeUnreached, fmt.Errorf("send to endpoint %s: %w", c.endpoint.ID, gate.Err())}
		}
		if errors.Is(err, zpdetour.ErrNoPeer) {
			j.attempts--
			return sendResult{outcomeNoPath, err}
		}
		failure := FailureConnect
		if netErr, ok := errors.AsType[net.Error](err); ok && netErr.Timeout() {
			failure = FailureConnectTimeout
		}
		g.recordFailure(c.endpoint.ID, failure)
		return sendResult{outcomeUnreached, fmt.Errorf("send to endpoint %s: %w", c.endpoint.ID, err)}
	}
	j.possibleRuns++
	j.runState = zperror.RunStateUnknown
	return g.handleBrokenResponse(ctx, j, c, sendResult{outcomeBroken, err})
}

// handleBrokenResponse returns the result of a send whose response is missing or
// broke off after the request was sent.
func (g *Gateway) handleBrokenResponse(ctx context.Context, j *job, c choice, s sendResult) sendResult {
	if zpmutant.Active(zpmutant.NotRun) && !j.headerSent {
		return sendResult{outcomeStopped, errOverloaded}
	}
	if stopped, ok := g.checkStopped(ctx, j); ok {
		if stopped.outcome == outcomeSilent || errors.Is(stopped.err, errEndpointTimeout) {
			g.recordFailure(c.endpoint.ID, FailureNoResponse)
		}
		return stopped
	}
	g.recordFailure(c.endpoint.ID, FailureBroken)
	g.recordBroken(ctx, j, c.endpoint)
	return sendResult{outcomeBroken, errEndpointFailed.WithCause(fmt.Errorf("endpoint %s: %w", c.endpoint.ID, s.err))}
}

// checkStopped reports whether a send ended because the caller disconnected, the
// first-byte timer fired, the daemon stops, or the deadline passed.
func (g *Gateway) checkStopped(ctx context.Context, j *job) (sendResult, bool) {
	if ctx.Err() == nil && j.remaining(g.Clock()) > 0 {
		return sendResult{}, false
	}
	if errors.Is(context.Cause(ctx), errNoFirstByte) {
		return sendResult{outcomeSilent, errNoFirstByte}, true
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return sendResult{outcomeStopped, g.withRunState(j, errStopping)}, true
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return sendResult{outcomeStopped, errCallerGone.WithState(j.runState)}, true
	}
	if j.runState == zperror.RunStateNotRun {
		return sendResult{outcomeStopped, errDeadlinePassed}, true
	}
	return sendResult{outcomeStopped, errEndpointTimeout}, true
}

// recordFailure records a failure of an endpoint, and reports the endpoint to
// other daemons if it is unreachable.
func (g *Gateway) recordFailure(endpoint string, f Failure) {
	now := g.Clock()
	if g.Health.RecordFailure(endpoint, f, now) {
		g.AnnounceUnreachable(endpoint)
		g.RecordUnreachable(endpoint, g.Domain)
	}
}

// RecordUnreachable records that a daemon of a failure domain could not reach an endpoint.
func (g *Gateway) RecordUnreachable(endpoint, domain string) {
	if g.Health.RecordUnreachable(endpoint, domain, g.Clock()) {
		g.Log.Emit(zplog.EndpointAvoided, zplog.Fields{"endpoint": endpoint, "failure_domain": domain, "avoided_ms": unreachableAvoidance.Milliseconds()})
	}
}

// updateEndpoint records the weight version and the refusal that a response
// reports about its endpoint.
func (g *Gateway) updateEndpoint(j *job, c choice, a *Response) {
	if a.WeightVersion > 0 && j.request.Prompt != nil {
		g.Registry.SetWeights(c.endpoint.ID, j.request.Prompt.Model, a.WeightVersion)
	}
	isOther := a.OtherInstance && (a.WeightVersion == 0 || a.WeightVersion == c.weights)
	if !isOther {
		g.RecordNotice(c.endpoint.ID, "request", a.Notice)
	}
	switch {
	case isOther:
		g.recordFailure(c.endpoint.ID, FailureOtherInstance)
	case a.NotRun:
		g.recordFailure(c.endpoint.ID, FailureNotRun)
		g.recordRefusal(j.pool.Name, c.endpoint.ID)
	}
}

// checkSend returns an error if the request must not be sent to the chosen endpoint after
// all, because of what this daemon has learned since it was chosen.
func (g *Gateway) checkSend(ctx context.Context, j *job, c choice) error {
	if err := g.checkStart(ctx, j, c.endpoint); err != nil {
		return err
	}
	if err := g.checkQuarantine(j); err != nil {
		return err
	}
	if now := g.Clock(); !g.Registry.IsServing(c.endpoint.ID, now) || !g.Health.QuietUntil(c.endpoint.ID, now).IsZero() {
		return errChoiceRevoked
	}
	if e, ok := g.Registry.Find(c.endpoint.ID); ok && e.SoftwareVersion != c.endpoint.SoftwareVersion {
		return errChoiceRevoked // it was started again with another version
	}
	if err := g.checkChoice(j, c); err != nil {
		return err
	}
	if !c.upgrade.MaySend(g.Clock()) {
		return errChoiceRevoked
	}
	return nil
}

// mayHaveRun reports whether the endpoint may have run the request.
func (o outcome) mayHaveRun() bool {
	return o != outcomeNotRun && o != outcomeUnreached && o != outcomeNoPath && o != outcomeUnsent
}

func (o outcome) String() string {
	return [...]string{"done", "not_run", "unreached", "failed", "broken", "silent", "stopped", "no_path", "unsent"}[o]
}
