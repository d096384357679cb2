package zppipeline

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zproute"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	// Reservation is a granted place on an endpoint.
	Reservation struct {
		ID       string
		Endpoint zpmanifest.Endpoint
		Owner    zpassign.Member
		Boot     string
		Choice   zproute.Choice
		Deadline time.Time // for the first byte
	}

	// refusals collects why no endpoint took a request.
	refusals struct {
		final      int // refusals that waiting longer would not change
		other      int
		retryAfter time.Duration
	}
)

const (
	// pollShare is the part of the start deadline for which one call for a
	// reservation may wait in the queue; the rest is for the way back.
	pollShare = 0.4
	// idleRound is the pause before all endpoints are asked anew.
	idleRound = 50 * time.Millisecond

	releaseTries = 3
)

var (
	errOverloaded = zperror.New(zperror.KindOverloaded, "overloaded",
		"no endpoint could start the request in time", "send it again after the time in Retry-After")
	errNoEndpoint = zperror.New(zperror.KindUnavailable, "no_endpoint",
		"no endpoint of the pool is in service", "bring an endpoint or failure domain back, or wait")
	errCallerGone = zperror.New(zperror.KindInvalid, "caller_gone",
		"the caller closed the connection", "send the request again")
)

// reserve finds an endpoint with a place for the job. It ranks the endpoints
// anew after each round in which none could be asked, until the job has waited
// as long as its class may.
func (p *Pipeline) reserve(ctx context.Context, j *Job, tried map[string]bool) (Reservation, error) {
	ctx, span := p.Tracer.Start(ctx, "reserve")
	defer span.End()
	deadline := p.Clock().Add(p.maxWait(j))
	var seen refusals
	for {
		choices := p.route(ctx, j, tried)
		round := refusals{}
		for _, c := range choices {
			r, refusal := p.ask(ctx, j, c, deadline)
			if refusal == nil {
				return r, nil
			}
			round.add(*refusal)
		}
		seen = round
		if ctx.Err() != nil {
			return Reservation{}, errCallerGone
		}
		if !p.Clock().Before(deadline) || (round.final > 0 && round.other == 0) {
			break
		}
		p.sleep(ctx, idleRound)
	}
	if len(p.Fleet.Cache.Serving(j.Pool.Name)) == 0 {
		return Reservation{}, errNoEndpoint.WithRetryAfter(time.Second)
	}
	return Reservation{}, errOverloaded.WithRetryAfter(max(seen.retryAfter, time.Second))
}

// ask asks one endpoint's owner until it decides. A nil refusal means granted.
func (p *Pipeline) ask(ctx context.Context, j *Job, c zproute.Choice, deadline time.Time) (Reservation, *zpadmission.Decision) {
	refused := &zpadmission.Decision{Code: zpadmission.CodeNotOwner}
	e, ok := p.Fleet.Cache.Manifest().EndpointByName(c.Endpoint)
	if !ok {
		return Reservation{}, refused
	}
	owner, ok := p.Fleet.EndpointOwner(e)
	if !ok {
		return Reservation{}, refused
	}
	j.reservations++
	r := Reservation{ID: fmt.Sprintf("%s-%d", j.ID, j.reservations), Endpoint: e, Owner: owner, Choice: c}
	request := p.request(j, r.ID)
	request.Prefill = c.Prefill
	slice := time.Duration(float64(p.Settings.Reserve.StartDeadline) * pollShare)
	for {
		asked := p.Clock()
		request.MaxWait = max(deadline.Sub(asked), 0)
		d, err := p.Exchange.To(owner).Reserve(ctx, e.Name, request, slice)
		if err != nil {
			p.release(ctx, r, zpengine.Outcome{Kind: zpadmission.OutcomeNotStarted})
			return Reservation{}, refused
		}
		if d.Granted && !p.mayStart(e) {
			p.release(ctx, r, zpengine.Outcome{Kind: zpadmission.OutcomeNotStarted})
			return Reservation{}, refused
		}
		if d.Granted {
			r.Boot = d.Boot
			r.Deadline = asked.Add(p.Settings.Reserve.StartDeadline)
			return r, nil
		}
		if !d.Queued {
			return Reservation{}, &d
		}
	}
}

// mayStart looks once more, after the wait, whether the endpoint may receive
// new work and whether this daemon can know.
func (p *Pipeline) mayStart(e zpmanifest.Endpoint) bool {
	return p.Fleet.Cache.InService(e) && (p.Fleet.Serves(p.Clock()) || zpmutant.Active(zpmutant.Freshness))
}

func (p *Pipeline) request(j *Job, id string) zpadmission.Request {
	return zpadmission.Request{
		ID: id, Holder: p.Fleet.Self.Instance, Workspace: j.Workspace.Name, Weight: j.Workspace.Weight,
		Urgent: j.Urgent, Cost: j.Cost(), Alone: j.Suspect,
	}
}

// gate returns the gate before the first byte of a reserved request.
func (p *Pipeline) gate(ctx context.Context, r Reservation) *zpengine.Gate {
	return &zpengine.Gate{
		HasCallerLeft: zpnet.PeerOf(ctx).HasClosed,
		Deadline:      r.Deadline,
		Clock:         p.Clock,
		OnSend:        func() { p.Holdings.Start(r.ID, r.Endpoint.Name) },
	}
}

// hasLeft reports whether the caller of a request has left. It also knows of
// callers from which ctx is detached.
func hasLeft(ctx context.Context) bool { return ctx.Err() != nil || zpnet.PeerOf(ctx).HasClosed() }

// release tells the owner how a reservation ended. A release that is lost is
// made up for when the owner compares its ledger with what daemons hold.
func (p *Pipeline) release(ctx context.Context, r Reservation, o zpengine.Outcome) {
	p.Holdings.Remove(r.ID)
	result := zpadmission.Result{ID: r.ID, Outcome: o.Kind, Boot: o.Boot, FirstToken: o.FirstToken, Total: o.Total}
	p.later(ctx, func(ctx context.Context) {
		for try := 1; try <= releaseTries; try++ {
			if p.Exchange.To(r.Owner).Release(ctx, r.Endpoint.Name, result) == nil {
				return
			}
			p.backoff(ctx, try)
		}
	})
}

func (p *Pipeline) maxWait(j *Job) time.Duration {
	if j.Urgent {
		return p.Settings.Reserve.UrgentWait
	}
	return p.Settings.Reserve.OtherWait
}

func (p *Pipeline) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *refusals) add(d zpadmission.Decision) {
	if refusedNow(d.Code) {
		r.final++
	} else {
		r.other++
	}
	if r.retryAfter == 0 || d.RetryAfter < r.retryAfter {
		r.retryAfter = d.RetryAfter
	}
}
