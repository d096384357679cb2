package zppipeline

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfleet"
	"github.com/zinniapaddle/zinniapaddle/internal/zpholding"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/internal/zproute"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Pipeline processes requests. Set the exported fields before use.
	Pipeline struct {
		Settings     *zpsettings.Settings
		Fleet        *zpfleet.Fleet
		Exchange     *zppeer.ServiceResolver
		Engine       *zpengine.Client
		Holdings     *zpholding.Registry
		Quarantine   *zpquarantine.List
		Retries      *zpretry.Budgets
		Log          *zplog.Logger
		Metrics      *zpmetric.Metrics
		Tracer       trace.Tracer
		NewID        func() string
		Clock        func() time.Time
		OpenRequests *atomic.Int64

		backgroundTasks sync.WaitGroup
	}
)

const (
	classUrgent  = "urgent"
	classOther   = "other"
	classService = "service"
	codeOK       = "ok"

	backgroundTimeout = 10 * time.Second
)

// Prompt runs a prompt and passes the response to sink.
func (p *Pipeline) Prompt(ctx context.Context, r PromptRequest, sink Sink) (*Job, error) {
	j := &Job{ID: p.NewID(), AcceptedAt: p.Clock(), Prompt: r, Idempotent: true}
	p.OpenRequests.Add(1)
	defer p.OpenRequests.Add(-1)
	err := p.run(ctx, j, []Filter{
		{"accept", p.accept},
		{"identify", p.identify(r.Key)},
		{"classify", p.classifyPrompt},
		{"quarantine", p.quarantine},
		{"generate", func(ctx context.Context, j *Job) error { return p.generate(ctx, j, sink) }},
		{"record", p.recordCompletion},
	})
	p.recordResult(j, classLabel(j), err)
	return j, err
}

// Service calls a plain service.
func (p *Pipeline) Service(ctx context.Context, r ServiceRequest) (*Job, ServiceAnswer, error) {
	j := &Job{ID: p.NewID(), AcceptedAt: p.Clock(), Service: r}
	p.OpenRequests.Add(1)
	defer p.OpenRequests.Add(-1)
	var answer ServiceAnswer
	err := p.run(ctx, j, []Filter{
		{"accept", p.accept},
		{"identify", p.identify(r.Key)},
		{"classify", p.classifyService},
		{"call", func(ctx context.Context, j *Job) error { return p.callService(ctx, j, &answer) }},
	})
	p.recordResult(j, classService, err)
	return j, answer, err
}

// Wait blocks until all background tasks have ended.
func (p *Pipeline) Wait() { p.backgroundTasks.Wait() }

func (p *Pipeline) run(ctx context.Context, j *Job, filters []Filter) error {
	for _, f := range filters {
		if err := p.runFilter(ctx, j, f); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pipeline) runFilter(ctx context.Context, j *Job, f Filter) error {
	ctx, span := p.Tracer.Start(ctx, f.Name)
	defer span.End()
	err := f.Run(ctx, j)
	if err != nil {
		span.SetStatus(codes.Error, zperror.Of(err).Code)
	}
	return err
}

// runInBackground runs a task after the request without delaying its caller. Wait
// waits for it at shutdown.
func (p *Pipeline) runInBackground(ctx context.Context, task func(ctx context.Context)) {
	ctx = context.WithoutCancel(ctx)
	p.backgroundTasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
		defer cancel()
		task(ctx)
	})
}

// recordResult updates the request metrics and logs a failed request.
func (p *Pipeline) recordResult(j *Job, class string, err error) {
	code, state := codeOK, zperror.RunStateRan
	if err != nil {
		e := zperror.Of(err)
		code, state = e.Code, e.RunState
		p.Log.Emit(zplog.RequestFailed, zplog.Fields{
			"request": j.ID, "workspace": j.Workspace.Name, "code": code, "run_state": state.String(), "error": err.Error(),
		})
	}
	p.Metrics.Requests.WithLabelValues(class, code, state.String()).Inc()
	if !j.FirstPieceAt.IsZero() {
		p.Metrics.FirstToken.WithLabelValues(class).Observe(j.FirstPieceAt.Sub(j.AcceptedAt).Seconds())
	}
}

func (p *Pipeline) routingRates() zproute.Rates {
	s := p.Settings.Routing
	return zproute.Rates{
		PrefillTokensPerSecond: s.PrefillTokens,
		BytesPerToken:          s.BytesPerToken,
		LinkCostPerMB:          time.Duration(s.LinkPriceMSPerMB) * time.Millisecond,
		RegionLatency:          s.RegionLatency,
	}
}

func (p *Pipeline) backoff(ctx context.Context, attempt int) {
	wait := zpretry.Backoff(p.Settings.Retry.Backoff, attempt, rand.New(rand.NewPCG(rand.Uint64(), 0)))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func classLabel(j *Job) string {
	if j.Urgent {
		return classUrgent
	}
	return classOther
}
