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

	// errSink marks an error of the caller's connection.
	errSink = errors.New("the caller does not take the answer")
	// errOtherVersion marks an answer of another weight version than asked for.
	errOtherVersion = errors.New("the endpoint answered with another weight version")
)

// generate runs the prompt until its answer is complete. A run that breaks is
// continued on another endpoint from the piece after the last one delivered,
// within the retry budget.
func (p *Pipeline) generate(ctx context.Context, j *Job, sink Sink) error {
	budget := p.Retries.Of(j.Workspace.Name, j.Pool.Name)
	budget.Attempt()
	defer func() { p.endFlights(ctx, j, j.Endpoint != "") }()
	tried := map[string]bool{}
	reserve := p.reserveFirst
	for attempt := 1; ; attempt++ {
		if hasLeft(ctx) {
			return afterDelivery(j, errCallerGone.WithState(j.RunState))
		}
		r, err := reserve(ctx, j, tried)
		if err != nil {
			return afterDelivery(j, err)
		}
		o := p.dispatch(ctx, j, r, sink)
		j.note(o)
		p.release(ctx, r, o)
		p.noteCrash(ctx, j, r.Endpoint, r.Boot, o)
		if o.Done {
			p.acquit(j)
			j.Endpoint, j.Usage = r.Endpoint.Name, o.Usage
			return nil
		}
		tried[r.Endpoint.Name] = true
		if p.notStarted(ctx, j, o) {
			attempt--
			p.sleep(ctx, idleRound)
			continue
		}
		if !p.mayRetry(ctx, j, o, attempt) || !budget.Take() {
			return p.generateError(ctx, j, o)
		}
		if err := p.quarantine(ctx, j); err != nil {
			return zperror.Of(err).WithState(j.RunState)
		}
		reserve = p.reserve
		if j.Suspect {
			reserve = p.reserveSuspect
		}
		p.Metrics.Retries.WithLabelValues("broken").Inc()
		p.Log.Emit(zplog.RequestRetried, zplog.Fields{
			"request": j.ID, "endpoint": r.Endpoint.Name, "delivered": j.Delivered, "error": fmt.Sprint(o.Err),
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
	o := p.Engine.Generate(ctx, p.generation(ctx, j, r), p.gate(ctx, r), func(piece zpengine.Piece) error {
		if !started {
			started = true
			firstToken.End()
		}
		return p.deliver(j, piece, sink)
	})
	if !started {
		firstToken.End()
	}
	p.countCrossing(r, o.Sent, len(j.Prompt.Body)+o.Pieces*pieceBytes)
	return p.checkVersion(j, o)
}

// countCrossing counts bytes that went to another region.
func (p *Pipeline) countCrossing(r Reservation, sent bool, bytes int) {
	if sent && p.Fleet.Cache.Manifest().Region(r.Endpoint.Domain) != p.Fleet.Self.Region {
		p.Metrics.CrossRegion.Add(float64(bytes))
	}
}

// pieceBytes is the usual size of one piece of a stream on the wire.
const pieceBytes = 80

func (p *Pipeline) deliver(j *Job, piece zpengine.Piece, sink Sink) error {
	if j.FirstPiece.IsZero() {
		j.FirstPiece = p.Clock()
	}
	if err := sink.Piece(piece); err != nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	j.Delivered++
	j.Finished = piece.Finish != ""
	return nil
}

func (p *Pipeline) generation(ctx context.Context, j *Job, r Reservation) zpengine.Generation {
	g := zpengine.Generation{
		Address: r.Endpoint.Address, Path: j.Prompt.Path, Body: j.Prompt.Body, RequestID: r.ID,
		Salt: j.Salt.String(), WeightVersion: j.Model.WeightVersion, Urgent: j.Urgent, ResumeFrom: j.resumeFrom(),
		Trace: traceHeaders(ctx), FirstOverdue: p.Settings.Endpoint.FirstTokenOverdue, Stall: p.Settings.Endpoint.StallTimeout,
	}
	if s := r.Choice.Import; s != nil && p.mayImport(ctx, j, r) {
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
	return j.Delivered
}

// mayImport asks the link's owner for the bytes that an import would send
// between regions.
func (p *Pipeline) mayImport(ctx context.Context, j *Job, r Reservation) bool {
	if r.Choice.LinkBytes == 0 {
		return true
	}
	return p.grantLink(ctx, j, r.Choice.LinkBytes)
}

// checkVersion turns an answer of another weight version into a failure. The
// engine refuses versions that it does not hold, so this guards against an
// engine that does not.
func (p *Pipeline) checkVersion(j *Job, o zpengine.Outcome) zpengine.Outcome {
	if o.WeightVersion != "" && o.WeightVersion != j.Model.WeightVersion {
		o.Done, o.Kind, o.Err = false, zpadmission.OutcomeFailed, errOtherVersion
	}
	return o
}

// notStarted reports whether the run was not begun for a reason that passes,
// such as a late reservation or a swap of weights, and the job may still wait.
func (p *Pipeline) notStarted(ctx context.Context, j *Job, o zpengine.Outcome) bool {
	waited := p.Clock().Sub(j.AcceptedAt)
	return o.Kind == zpadmission.OutcomeNotStarted && ctx.Err() == nil && waited < p.maxWait(j)
}

// mayRetry reports whether the run may be continued elsewhere.
func (p *Pipeline) mayRetry(ctx context.Context, j *Job, o zpengine.Outcome, attempt int) bool {
	if ctx.Err() != nil || errors.Is(o.Err, errSink) || errors.Is(o.Err, errOtherVersion) {
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
	if ctx.Err() != nil || errors.Is(o.Err, errSink) {
		return errCallerGone.WithState(zperror.RunStateUnknown)
	}
	if j.Delivered > 0 {
		return errStreamBroken.WithState(zperror.RunStateUnknown).WithCause(o.Err)
	}
	if j.RunState == zperror.RunStateNotRun {
		return errOverloaded.WithRetryAfter(time.Second).WithCause(o.Err)
	}
	return errEndpointFailed.WithState(j.RunState).WithCause(o.Err)
}

// acquit clears a suspect that ran alone to its end.
func (p *Pipeline) acquit(j *Job) {
	if j.Suspect {
		p.Quarantine.Acquit(j.Fingerprint)
	}
}

// afterDelivery gives a failed reservation the run state of the runs before it.
func afterDelivery(j *Job, err error) error {
	if j.Delivered > 0 {
		return errStreamBroken.WithState(zperror.RunStateUnknown).WithCause(err)
	}
	return zperror.Of(err).WithState(j.RunState)
}
