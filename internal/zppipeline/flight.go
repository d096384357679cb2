package zppipeline

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
)

const (
	// flightPoll is the pause before a request asks again whether it may run.
	flightPoll = 50 * time.Millisecond

	// flightRegions is how many regions let equal requests fly independently of
	// each other; further regions share with these. It bounds the engines that
	// one request can crash before a crash is known.
	flightRegions = 2
)

// reserveFirst reserves a place for the first run, and asks at the same time
// whether an equal request that is not proved harmless is running. If so, the
// job waits for its end, and is judged anew by what became of it.
func (p *Pipeline) reserveFirst(ctx context.Context, j *Job, tried map[string]bool) (Reservation, error) {
	if j.Suspect {
		return p.reserveSuspect(ctx, j, tried)
	}
	region := p.ownFlightRegion()
	alone := make(chan bool, 1)
	p.background.Go(func() { alone <- p.startFlight(ctx, j, region) })
	r, err := p.reserve(ctx, j, tried)
	free := <-alone
	j.flights = append(j.flights, region)
	if free || err != nil {
		return r, err
	}
	p.release(ctx, r, zpengine.Outcome{Kind: zpadmission.OutcomeNotStarted})
	if err := p.waitFlight(ctx, j, region); err != nil {
		return Reservation{}, err
	}
	if err := p.quarantine(ctx, j); err != nil {
		return Reservation{}, err
	}
	if j.Suspect {
		return p.reserveSuspect(ctx, j, tried)
	}
	return p.reserve(ctx, j, tried)
}

// reserveSuspect reserves a place for a request that was present at a crash.
// No equal request may run anywhere, so it takes the flights of all regions, in
// one order for all jobs, and is judged anew by the crashes noted until then.
func (p *Pipeline) reserveSuspect(ctx context.Context, j *Job, tried map[string]bool) (Reservation, error) {
	p.endFlights(ctx, j, false)
	for _, region := range p.allFlightRegions() {
		j.flights = append(j.flights, region)
		if err := p.waitFlight(ctx, j, region); err != nil {
			return Reservation{}, err
		}
	}
	if err := p.quarantine(ctx, j); err != nil {
		return Reservation{}, err
	}
	return p.reserve(ctx, j, tried)
}

// startFlight reports whether the job may run now, as far as one region knows.
// If the owner of the fingerprint there does not answer, it may.
func (p *Pipeline) startFlight(ctx context.Context, j *Job, region string) bool {
	owner, ok := p.flightOwner(j, region)
	if !ok || zpmutant.Active(zpmutant.Quarantine) {
		return true
	}
	mayRun, err := owner.StartFlight(ctx, j.Fingerprint, j.flightID())
	return err != nil || mayRun
}

func (p *Pipeline) waitFlight(ctx context.Context, j *Job, region string) error {
	deadline := p.Clock().Add(p.maxWait(j))
	for !p.startFlight(ctx, j, region) {
		if ctx.Err() != nil {
			return errCallerGone
		}
		if !p.Clock().Before(deadline) {
			return errOverloaded.WithRetryAfter(time.Second)
		}
		p.sleep(ctx, flightPoll)
	}
	return nil
}

// endFlights tells the owners of the fingerprint that the job does not run now.
func (p *Pipeline) endFlights(ctx context.Context, j *Job, whole bool) {
	held, id := j.flights, j.flightID()
	j.flights = nil
	j.flightRound++
	for _, region := range held {
		p.later(ctx, func(ctx context.Context) {
			if owner, ok := p.flightOwner(j, region); ok {
				// A lost end holds equal requests up for FlightLimit at most.
				_ = owner.EndFlight(ctx, j.Fingerprint, id, whole)
			}
		})
	}
}

// flightID names the job's present flights. It changes when they end, so that a
// late end does not touch those that follow.
func (j *Job) flightID() string { return fmt.Sprintf("%s/%d", j.ID, j.flightRound) }

func (p *Pipeline) flightOwner(j *Job, region string) (zppeer.Service, bool) {
	m, ok := p.Fleet.KeyOwner("fingerprint/"+j.Fingerprint, region)
	if !ok {
		return nil, false
	}
	return p.Exchange.To(m), true
}

func (p *Pipeline) allFlightRegions() []string {
	v, _ := p.Fleet.Cache.View()
	return v.Regions[:min(len(v.Regions), flightRegions)]
}

func (p *Pipeline) ownFlightRegion() string {
	regions := p.allFlightRegions()
	if len(regions) == 0 {
		return ""
	}
	v, _ := p.Fleet.Cache.View()
	i := max(slices.Index(v.Regions, p.Fleet.Self.Region), 0)
	return regions[i%len(regions)]
}
