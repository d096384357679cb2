package zppipeline

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var (
	errStreamBroken = zperror.New(zperror.KindEndpoint, "stream_broken",
		"the answer broke off and could not be continued", "send the request again")
	errEndpointFailed = zperror.New(zperror.KindEndpoint, "endpoint_failed",
		"the endpoint could not answer the request", "check the request, then send it again")

	// errCallerWrite marks a failed write to the caller's connection.
	errCallerWrite = errors.New("write to the caller failed")
	// errWeightVersion marks a response from another weight version than requested.
	errWeightVersion = errors.New("the endpoint responded with another weight version")
)

// generate runs the prompt until its response is complete. After a broken run it
// resumes on another endpoint after the last delivered piece, within the retry
// budget.
func (p *Pipeline) generate(ctx context.Context, j *Job, sink Sink) error {
	budget := p.Retries.For(j.Workspace.Name, j.Pool.Name)
	budget.RecordAttempt()
	defer func() { p.endFlights(ctx, j, j.Endpoint != "") }()
	tried := map[string]bool{}
	reserveNext := p.reserveFirst
	for attempt := 1; ; attempt++ {
		if callerLeft(ctx) {
			return withPriorRuns(j, errCallerGone.WithState(j.RunState))
		}
		r, err := reserveNext(ctx, j, tried)
		if err != nil {
			return withPriorRuns(j, err)
		}
		o := p.dispatch(ctx, j, r, sink)
		j.mergeRunState(o)
		p.release(ctx, r, o)
		p.reportCrash(ctx, j, r.Endpoint, r.Boot, o)
		if o.Done {
			p.clearSuspect(j)
			j.Endpoint, j.Usage = r.Endpoint.Name, o.Usage
			return nil
		}
		tried[r.Endpoint.Name] = true
		if p.canRequeue(ctx, j, o) {
			attempt--
			p.sleep(ctx, retryRoundDelay)
			continue
		}
		if !p.canRetry(ctx, j, o, attempt) || !budget.Take() {
			return p.generateError(ctx, j, o)
		}
		if err := p.quarantine(ctx, j); err != nil {
			return zperror.Of(err).WithState(j.RunState)
		}
		reserveNext = p.reserve
		if j.Suspect {
			reserveNext = p.reserveSuspect
		}
		p.Metrics.Retries.WithLabelValues("broken").Inc()
		p.Log.Emit(zplog.RequestRetried, zplog.Fields{
			"request": j.ID, "endpoint": r.Endpoint.Name, "delivered": j.DeliveredPieces, "error": fmt.Sprint(o.Err),
		})
		p.backoff(ctx, attempt)
	}
}

// dispatch runs the job on the reserved endpoint.
func (p *Pipeline) dispatch(ctx context.Context, j *Job, r Reservation, sink Sink) zpengine.Outcome {
	ctx, span := p.Tracer.Start(ctx, "dispatch")
	defer span.End()
	ctx, firstToken := p.Tracer.Start(ctx, "first token")
	started := false
	o := p.Engine.Generate(ctx, p.newGeneration(ctx, j, r), p.newGate(ctx, r), func(piece zpengine.Piece) error {
		if !started {
			started = true
			firstToken.End()
		}
		return p.deliver(j, piece, sink)
	})
	if !started {
		firstToken.End()
	}
	p.countCrossRegionBytes(r, o.Sent, len(j.Prompt.Body)+o.TokenCount*bytesPerPiece)
	return p.checkVersion(j, o)
}

// countCrossRegionBytes adds to the metric of bytes sent between regions.
func (p *Pipeline) countCrossRegionBytes(r Reservation, sent bool, bytes int) {
	if sent && p.Fleet.Cache.Manifest().Region(r.Endpoint.Domain) != p.Fleet.Self.Region {
		p.Metrics.CrossRegion.Add(float64(bytes))
	}
}

// bytesPerPiece is the typical size of a streamed piece on the wire.
const bytesPerPiece = 80

func (p *Pipeline) deliver(j *Job, piece zpengine.Piece, sink Sink) error {
	if j.FirstPieceAt.IsZero() {
		j.FirstPieceAt = p.Clock()
	}
	if err := sink.Piece(piece); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	j.DeliveredPieces++
	j.Finished = piece.Finish != ""
	return nil
}

func (p *Pipeline) newGeneration(ctx context.Context, j *Job, r Reservation) zpengine.GenerationRequest {
	g := zpengine.GenerationRequest{
		Address: r.Endpoint.Address, Path: j.Prompt.Path, Body: j.Prompt.Body, RequestID: r.ID,
		Salt: j.Salt.String(), WeightVersion: j.Model.WeightVersion, Urgent: j.Urgent, ResumeFrom: j.resumeFrom(),
		Trace: traceHeaders(ctx), FirstTokenTimeout: p.Settings.Endpoint.FirstTokenOverdue, StallTimeout: p.Settings.Endpoint.StallTimeout,
	}
	if s := r.Choice.Import; s != nil && p.reserveLinkBytes(ctx, j, r) {
		_, span := p.Tracer.Start(ctx, "import", trace.WithAttributes(
			attribute.String("store", s.Store), attribute.Int("blocks", s.Blocks), attribute.Int64("link_bytes", r.Choice.LinkBytes)))
		defer span.End()
		store, _ := j.Manifest.StoreByName(s.Store)
		g.ImportFrom = store.Address
		for _, name := range j.Blocks[:min(s.Blocks, len(j.Blocks))] {
			g.ImportBlocks = append(g.ImportBlocks, zpengine.ImportBlock{Name: name.String(), Generation: s.Generation})
		}
	}
	return g
}

func (j *Job) resumeFrom() int {
	if zpmutant.Active(zpmutant.Resume) {
		return 0
	}
	return j.DeliveredPieces
}

// reserveLinkBytes reports whether the import may proceed. It asks the link's
// owner for the bytes that the import would send between regions.
func (p *Pipeline) reserveLinkBytes(ctx context.Context, j *Job, r Reservation) bool {
	if r.Choice.LinkBytes == 0 {
		return true
	}
	return p.requestLinkBytes(ctx, j, r.Choice.LinkBytes)
}

// checkVersion turns a response from another weight version into a failure.
// Engines should refuse versions that they have not loaded; this guards against
// an engine that does not.
func (p *Pipeline) checkVersion(j *Job, o zpengine.Outcome) zpengine.Outcome {
	if o.WeightVersion != "" && o.WeightVersion != j.Model.WeightVersion {
		o.Done, o.Kind, o.Err = false, zpadmission.OutcomeFailed, errWeightVersion
	}
	return o
}

// canRequeue reports whether the endpoint did not start the run for a temporary
// reason, such as a late reservation or a change of weights, and the job may
// still wait.
func (p *Pipeline) canRequeue(ctx context.Context, j *Job, o zpengine.Outcome) bool {
	waited := p.Clock().Sub(j.AcceptedAt)
	return o.Kind == zpadmission.OutcomeNotStarted && ctx.Err() == nil && waited < p.maxWait(j)
}

// canRetry reports whether the run may be retried on another endpoint.
func (p *Pipeline) canRetry(ctx context.Context, j *Job, o zpengine.Outcome, attempt int) bool {
	if ctx.Err() != nil || errors.Is(o.Err, errCallerWrite) || errors.Is(o.Err, errWeightVersion) {
		return false
	}
	if attempt >= p.Settings.Retry.MaxAttempts || !j.Idempotent {
		return false
	}
	switch o.Kind {
	case zpadmission.OutcomeNotStarted, zpadmission.OutcomeRefused, zpadmission.OutcomeBroken, zpadmission.OutcomeOverdue:
		return true
	default:
		return false
	}
}

func (p *Pipeline) generateError(ctx context.Context, j *Job, o zpengine.Outcome) error {
	if ctx.Err() != nil || errors.Is(o.Err, errCallerWrite) {
		return errCallerGone.WithState(zperror.RunStateUnknown)
	}
	if j.DeliveredPieces > 0 {
		return errStreamBroken.WithState(zperror.RunStateUnknown).WithCause(o.Err)
	}
	if j.RunState == zperror.RunStateNotRun {
		return errOverloaded.WithRetryAfter(time.Second).WithCause(o.Err)
	}
	return errEndpointFailed.WithState(j.RunState).WithCause(o.Err)
}

// clearSuspect clears a suspect request that completed while running alone.
func (p *Pipeline) clearSuspect(j *Job) {
	if j.Suspect {
		p.Quarantine.ClearSuspect(j.Fingerprint)
	}
}

// withPriorRuns adds the run state of earlier runs to the error of a reservation.
func withPriorRuns(j *Job, err error) error {
	if j.DeliveredPieces > 0 {
		return errStreamBroken.WithState(zperror.RunStateUnknown).WithCause(err)
	}
	return zperror.Of(err).WithState(j.RunState)
}
