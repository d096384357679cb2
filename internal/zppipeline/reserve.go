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
	// Reservation is the right to run one request on an endpoint.
	Reservation struct {
		ID       string
		Endpoint zpmanifest.Endpoint
		Owner    zpassign.Member
		Boot     string
		Choice   zproute.Choice
		Deadline time.Time // for sending the first byte of the request
	}

	// refusals summarizes why the endpoints refused a request.
	refusals struct {
		permanent  int // not changed by waiting longer
		temporary  int
		retryAfter time.Duration
	}
)

const (
	// callWaitFraction is the fraction of the start deadline that a single Reserve
	// call may spend in the queue. The rest is left for the response.
	callWaitFraction = 0.4
	// retryRoundDelay is the delay before the endpoints are asked again.
	retryRoundDelay = 50 * time.Millisecond

	maxReleaseAttempts = 3
)

var (
	errOverloaded = zperror.New(zperror.KindOverloaded, "overloaded",
		"no endpoint could start the request in time", "send it again after the time in Retry-After")
	errNoEndpoint = zperror.New(zperror.KindUnavailable, "no_endpoint",
		"no endpoint of the pool is in service", "bring an endpoint or failure domain back, or wait")
	errCallerGone = zperror.New(zperror.KindInvalid, "caller_gone",
		"the caller closed the connection", "send the request again")
)

// reserve makes a reservation for the job on the cheapest endpoint that grants
// one. If all refuse, it ranks the endpoints again after a delay, until the
// refusals are permanent or the maximum wait of the job's class has passed.
func (p *Pipeline) reserve(ctx context.Context, j *Job, tried map[string]bool) (Reservation, error) {
	ctx, span := p.Tracer.Start(ctx, "reserve")
	defer span.End()
	deadline := p.Clock().Add(p.maxWait(j))
	var lastRound refusals
	for {
		choices := p.route(ctx, j, tried)
		round := refusals{}
		for _, c := range choices {
			r, refusal := p.requestReservation(ctx, j, c, deadline)
			if refusal == nil {
				return r, nil
			}
			round.add(*refusal)
		}
		lastRound = round
		if ctx.Err() != nil {
			return Reservation{}, errCallerGone
		}
		if !p.Clock().Before(deadline) || (round.permanent > 0 && round.temporary == 0) {
			break
		}
		p.sleep(ctx, retryRoundDelay)
	}
	if len(p.Fleet.Cache.Serving(j.Pool.Name)) == 0 {
		return Reservation{}, errNoEndpoint.WithRetryAfter(time.Second)
	}
	return Reservation{}, errOverloaded.WithRetryAfter(max(lastRound.retryAfter, time.Second))
}

// requestReservation calls the owner of one endpoint until it decides. The refusal
// is nil if the reservation is granted.
func (p *Pipeline) requestReservation(ctx context.Context, j *Job, c zproute.Choice, deadline time.Time) (Reservation, *zpadmission.Decision) {
	refused := &zpadmission.Decision{Code: zpadmission.CodeNotOwner}
	e, ok := p.Fleet.Cache.Manifest().EndpointByName(c.Endpoint)
	if !ok {
		return Reservation{}, refused
	}
	owner, ok := p.Fleet.EndpointOwner(e)
	if !ok {
		return Reservation{}, refused
	}
	j.reservationCount++
	r := Reservation{ID: fmt.Sprintf("%s-%d", j.ID, j.reservationCount), Endpoint: e, Owner: owner, Choice: c}
	request := p.newAdmissionRequest(j, r.ID)
	request.Prefill = c.Prefill
	callWait := time.Duration(float64(p.Settings.Reserve.StartDeadline) * callWaitFraction)
	for {
		calledAt := p.Clock()
		request.MaxWait = max(deadline.Sub(calledAt), 0)
		d, err := p.Exchange.ForMember(owner).Reserve(ctx, e.Name, request, callWait)
		if err != nil {
			p.release(ctx, r, zpengine.Outcome{Kind: zpadmission.OutcomeNotStarted})
			return Reservation{}, refused
		}
		if d.Granted && !p.canStart(e) {
			p.release(ctx, r, zpengine.Outcome{Kind: zpadmission.OutcomeNotStarted})
			return Reservation{}, refused
		}
		if d.Granted {
			r.Boot = d.Boot
			r.Deadline = calledAt.Add(p.Settings.Reserve.StartDeadline)
			return r, nil
		}
		if !d.Queued {
			return Reservation{}, &d
		}
	}
}

// canStart checks after the wait in the queue that the endpoint is still in
// service and that this daemon's configuration is still recent enough.
func (p *Pipeline) canStart(e zpmanifest.Endpoint) bool {
	return p.Fleet.Cache.InService(e) && (p.Fleet.AcceptsWork(p.Clock()) || zpmutant.Active(zpmutant.Freshness))
}

func (p *Pipeline) newAdmissionRequest(j *Job, id string) zpadmission.Request {
	return zpadmission.Request{
		ID: id, Holder: p.Fleet.Self.Instance, Workspace: j.Workspace.Name, Weight: j.Workspace.Weight,
		Urgent: j.Urgent, Cost: j.Cost(), Exclusive: j.Suspect,
	}
}

// newGate returns the gate that a reserved request must pass before its first byte
// is sent.
func (p *Pipeline) newGate(ctx context.Context, r Reservation) *zpengine.Gate {
	return &zpengine.Gate{
		HasCallerLeft: zpnet.PeerOf(ctx).HasClosed,
		Deadline:      r.Deadline,
		Clock:         p.Clock,
		OnSend:        func() { p.Holdings.Add(r.ID, r.Endpoint.Name) },
	}
}

// callerLeft reports whether the caller has closed its connection. This also works
// if ctx is detached from the caller's context.
func callerLeft(ctx context.Context) bool { return ctx.Err() != nil || zpnet.PeerOf(ctx).HasClosed() }

// release tells the owner how a reservation ended. If the call is lost, the owner
// finds out when it reconciles its reservations with those held by the daemons.
func (p *Pipeline) release(ctx context.Context, r Reservation, o zpengine.Outcome) {
	p.Holdings.Remove(r.ID)
	result := zpadmission.Result{ID: r.ID, Outcome: o.Kind, Boot: o.BootID, FirstToken: o.FirstToken, Total: o.Total}
	p.runInBackground(ctx, func(ctx context.Context) {
		for attempt := 1; attempt <= maxReleaseAttempts; attempt++ {
			if p.Exchange.ForMember(r.Owner).Release(ctx, r.Endpoint.Name, result) == nil {
				return
			}
			p.backoff(ctx, attempt)
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
	if isPermanentRefusal(d.Code) {
		r.permanent++
	} else {
		r.temporary++
	}
	if r.retryAfter == 0 || d.RetryAfter < r.retryAfter {
		r.retryAfter = d.RetryAfter
	}
}
