package zppipeline

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

const (
	maxSettleAttempts = 8
	settleTimeout     = 30 * time.Second

	// statusAnswerNotKept is the status of a finished claim whose answer was too
	// large to store.
	statusAnswerNotKept = 0
)

var (
	errOutcomeUnknown = zperror.New(zperror.KindEndpoint, "outcome_unknown",
		"the request was sent, and its answer was lost; it will not be sent again",
		"ask the service what became of it before you send it under another key").WithState(zperror.RunStateUnknown)
	errInProgress = zperror.New(zperror.KindConflict, "in_progress",
		"a request with this Idempotency-Key is running",
		"send it again later with the same key to get its answer").WithState(zperror.RunStateUnknown)
	errAnswerNotKept = zperror.New(zperror.KindConflict, "answer_not_kept",
		"the request with this Idempotency-Key has run, and its answer was too large to be kept",
		"ask the service for the result").WithState(zperror.RunStateRan)
	errKeyReused = zperror.New(zperror.KindInvalid, "idempotency_key_reused",
		"this Idempotency-Key was used with another request", "use a new key for each request")
	errClaimsFull = zperror.New(zperror.KindOverloaded, "claims_full",
		"too many claims are kept", "tell the operators to lower claims.retention_ms")
	errPlatformDown = zperror.New(zperror.KindUnavailable, "platform_down",
		"the platform is down, so it cannot be proved that the request runs only once",
		"send it again with the same key when the platform is back")
)

// callService calls a plain service: an idempotent call with retries, any other
// at most once. A call that is not idempotent is claimed if it has a key.
func (p *Pipeline) callService(ctx context.Context, j *Job, answer *ServiceAnswer) error {
	if j.Idempotent {
		return p.callWithRetries(ctx, j, answer)
	}
	// The result must be recorded even if the caller closes its connection.
	ctx = context.WithoutCancel(ctx)
	if j.Service.IdempotencyKey == "" || zpmutant.Active(zpmutant.Claim) {
		return p.callWithRetries(ctx, j, answer)
	}
	return p.callWithClaim(ctx, j, answer)
}

// callWithClaim calls the service if this attempt is granted the claim, and
// records the result.
func (p *Pipeline) callWithClaim(ctx context.Context, j *Job, answer *ServiceAnswer) error {
	if p.platformDown() {
		return errPlatformDown.WithRetryAfter(time.Second)
	}
	claim := p.newClaimAttempt(j)
	v, err := p.claim(ctx, claim)
	if err != nil {
		p.settleClaim(ctx, claim, zpclaim.Settlement{State: zpclaim.StateReleased})
		return zperror.Of(err).WithState(zperror.RunStateNotRun).WithRetryAfter(time.Second)
	}
	if v.Result != zpclaim.ResultGranted {
		return p.answerFromClaim(v, answer)
	}
	err = p.callWithRetries(ctx, j, answer)
	p.settleClaim(ctx, claim, p.newSettlement(j, err, *answer))
	return err
}

// callWithRetries calls the service. It retries on another endpoint only if the
// call has certainly not run or is idempotent.
func (p *Pipeline) callWithRetries(ctx context.Context, j *Job, answer *ServiceAnswer) error {
	budget := p.Retries.For(j.Workspace.Name, j.Pool.Name)
	budget.RecordAttempt()
	tried := map[string]bool{}
	for attempt := 1; ; attempt++ {
		if callerLeft(ctx) {
			return errCallerGone.WithState(j.RunState)
		}
		r, err := p.reserve(ctx, j, tried)
		if err != nil {
			return zperror.Of(err).WithState(j.RunState)
		}
		a, o := p.dispatchService(ctx, j, r)
		j.mergeRunState(o)
		p.release(ctx, r, o)
		if o.Done {
			answer.ServiceResponse = a
			j.Endpoint = r.Endpoint.Name
			return nil
		}
		retryable := o.RunState() == zperror.RunStateNotRun || (j.Idempotent && ctx.Err() == nil)
		if !retryable || attempt >= p.Settings.Retry.MaxAttempts || !budget.Take() {
			return serviceError(j, o)
		}
		tried[r.Endpoint.Name] = true
		p.Metrics.Retries.WithLabelValues("not_run").Inc()
		p.Log.Emit(zplog.RequestRetried, zplog.Fields{"request": j.ID, "endpoint": r.Endpoint.Name, "error": fmt.Sprint(o.Err)})
		p.backoff(ctx, attempt)
	}
}

func (p *Pipeline) dispatchService(ctx context.Context, j *Job, r Reservation) (zpengine.ServiceResponse, zpengine.Outcome) {
	ctx, span := p.Tracer.Start(ctx, "dispatch")
	defer span.End()
	return p.Engine.Call(ctx, zpengine.ServiceCall{
		Address: r.Endpoint.Address, Method: j.Service.Method, Path: j.Service.Path,
		ContentType: j.Service.ContentType, Body: j.Service.Body, IdempotencyKey: j.Service.IdempotencyKey,
		RequestID: r.ID, Workspace: j.Workspace.Name, Trace: traceHeaders(ctx),
		Timeout: p.Settings.Endpoint.ServiceTimeout, Idempotent: j.Idempotent,
	}, p.newGate(ctx, r))
}

// answerFromClaim responds to a request whose claim was not granted: with the
// stored answer of an earlier attempt, or with an error.
func (p *Pipeline) answerFromClaim(v zpclaim.Decision, answer *ServiceAnswer) error {
	switch {
	case v.Result == zpclaim.ResultMismatch:
		return errKeyReused
	case v.Result == zpclaim.ResultFull:
		return errClaimsFull.WithRetryAfter(time.Minute)
	case v.Claim.State == zpclaim.StateFinished && v.Claim.Status == statusAnswerNotKept:
		return errAnswerNotKept
	case v.Claim.State == zpclaim.StateFinished:
		answer.Replayed = true
		answer.ServiceResponse = zpengine.ServiceResponse{
			Status: v.Claim.Status, ContentType: v.Claim.ContentType, Body: v.Claim.Answer,
		}
		return nil
	case v.Claim.State == zpclaim.StateOpen && p.Fleet.Present(v.Claim.Holder):
		return errInProgress.WithRetryAfter(time.Second)
	default:
		return errOutcomeUnknown
	}
}

func (p *Pipeline) newSettlement(j *Job, err error, a ServiceAnswer) zpclaim.Settlement {
	if err == nil {
		if int64(len(a.Body)) > p.Settings.Claims.MaxAnswerBytes {
			return zpclaim.Settlement{State: zpclaim.StateFinished, Status: statusAnswerNotKept}
		}
		return zpclaim.Settlement{
			State: zpclaim.StateFinished, Status: a.Status, ContentType: a.ContentType, Answer: a.Body,
		}
	}
	if j.RunState == zperror.RunStateNotRun {
		return zpclaim.Settlement{State: zpclaim.StateReleased}
	}
	return zpclaim.Settlement{State: zpclaim.StateUnknown}
}

func serviceError(j *Job, o zpengine.Outcome) error {
	switch {
	case j.RunState == zperror.RunStateNotRun && o.Kind == zpadmission.OutcomeNotStarted:
		return errOverloaded.WithRetryAfter(time.Second).WithCause(o.Err)
	case j.RunState == zperror.RunStateNotRun:
		return errNoEndpoint.WithRetryAfter(time.Second).WithCause(o.Err)
	case j.Idempotent:
		return errEndpointFailed.WithState(j.RunState).WithCause(o.Err)
	default:
		return errOutcomeUnknown.WithCause(o.Err)
	}
}
