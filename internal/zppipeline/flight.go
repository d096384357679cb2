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
	// flightPollInterval is the interval at which a waiting request tries to start
	// its flight.
	flightPollInterval = 50 * time.Millisecond

	// maxFlightRegions is the number of regions that track flights independently;
	// the others share with these. It limits how many engines equal requests can
	// crash before the first crash is known.
	maxFlightRegions = 2
)

// reserveFirst makes the reservation for the first run. A flight is a running
// request whose fingerprint has not completed before, and equal requests wait for
// it, as they might crash endpoints. The flight is started in parallel with the
// reservation. If an equal request is in flight, the job waits for its end and
// checks the quarantine again.
func (p *Pipeline) reserveFirst(ctx context.Context, j *Job, tried map[string]bool) (Reservation, error) {
	if j.Suspect {
		return p.reserveSuspect(ctx, j, tried)
	}
	region := p.localFlightRegion()
	flightStarted := make(chan bool, 1)
	p.backgroundTasks.Go(func() { flightStarted <- p.startFlight(ctx, j, region) })
	r, err := p.reserve(ctx, j, tried)
	started := <-flightStarted
	j.flightRegions = append(j.flightRegions, region)
	if started || err != nil {
		return r, err
	}
	p.release(ctx, r, zpengine.Outcome{Kind: zpadmission.OutcomeNotStarted})
	if err := p.waitForFlight(ctx, j, region); err != nil {
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

// reserveSuspect makes the reservation for a request that was running when an
// endpoint crashed. No equal request may run at the same time, so the job starts
// its flight in all regions. All jobs use the same order of regions, which avoids
// deadlocks. It then checks the quarantine again for crashes reported meanwhile.
func (p *Pipeline) reserveSuspect(ctx context.Context, j *Job, tried map[string]bool) (Reservation, error) {
	p.endFlights(ctx, j, false)
	for _, region := range p.flightRegions() {
		j.flightRegions = append(j.flightRegions, region)
		if err := p.waitForFlight(ctx, j, region); err != nil {
			return Reservation{}, err
		}
	}
	if err := p.quarantine(ctx, j); err != nil {
		return Reservation{}, err
	}
	return p.reserve(ctx, j, tried)
}

// startFlight starts the job's flight in a region and reports whether the job may
// run now. It may if the owner of the fingerprint there does not respond.
func (p *Pipeline) startFlight(ctx context.Context, j *Job, region string) bool {
	owner, ok := p.flightOwner(j, region)
	if !ok || zpmutant.Active(zpmutant.Quarantine) {
		return true
	}
	mayRun, err := owner.StartFlight(ctx, j.Fingerprint, j.flightID())
	return err != nil || mayRun
}

func (p *Pipeline) waitForFlight(ctx context.Context, j *Job, region string) error {
	deadline := p.Clock().Add(p.maxWait(j))
	for !p.startFlight(ctx, j, region) {
		if ctx.Err() != nil {
			return errCallerGone
		}
		if !p.Clock().Before(deadline) {
			return errOverloaded.WithRetryAfter(time.Second)
		}
		p.sleep(ctx, flightPollInterval)
	}
	return nil
}

// endFlights tells the owners of the fingerprint that the job has stopped running.
// completed states that it ran to its end, which shows that it is harmless.
func (p *Pipeline) endFlights(ctx context.Context, j *Job, completed bool) {
	regions, id := j.flightRegions, j.flightID()
	j.flightRegions = nil
	j.flightSequence++
	for _, region := range regions {
		p.runInBackground(ctx, func(ctx context.Context) {
			if owner, ok := p.flightOwner(j, region); ok {
				// If the call is lost, equal requests wait for at most RunTimeout.
				_ = owner.EndFlight(ctx, j.Fingerprint, id, completed)
			}
		})
	}
}

// flightID returns the ID of the job's current flights. The ID changes when they
// end, so that a delayed EndFlight call does not end later ones.
func (j *Job) flightID() string { return fmt.Sprintf("%s/%d", j.ID, j.flightSequence) }

func (p *Pipeline) flightOwner(j *Job, region string) (zppeer.Service, bool) {
	m, ok := p.Fleet.KeyOwner("fingerprint/"+j.Fingerprint, region)
	if !ok {
		return nil, false
	}
	return p.Exchange.ForMember(m), true
}

func (p *Pipeline) flightRegions() []string {
	v, _ := p.Fleet.Cache.View()
	return v.Regions[:min(len(v.Regions), maxFlightRegions)]
}

func (p *Pipeline) localFlightRegion() string {
	regions := p.flightRegions()
	if len(regions) == 0 {
		return ""
	}
	v, _ := p.Fleet.Cache.View()
	i := max(slices.Index(v.Regions, p.Fleet.Self.Region), 0)
	return regions[i%len(regions)]
}
