package zpsoak

import (
	"context"
	"errors"
	"sync"
	"time"
)

type (
	// run is the state of one run of a plan.
	run struct {
		cluster    *cluster
		faults     *injector
		requestLog *requestLog
		startedAt  time.Time
		endedAt    time.Time
		sending    sync.WaitGroup // requests of sendSteady
		stalls     stallWatch
	}

	// Outcome is the result of a run.
	Outcome struct {
		Faults     int
		Requests   int
		Served     int
		Runs       int   // executions of requests on endpoints
		Stranded   tally // first attempts at daemons that were cut off from all endpoints, as far as judged
		Others     tally // meanwhile, at the other daemons
		TakenUp    TakenUp
		Moments    Moments
		Upgraded   int   // daemons
		Seams      seams // streams taken up in runs with an upgrade
		Violations []string
	}
)

// Run executes the plan of one seed and checks the guarantees.
func Run(ctx context.Context, c Config) (Outcome, error) {
	s, err := newCluster(c)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return Outcome{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Outcome{}, err
	}
	if err := s.endFirstStart(); err != nil {
		return Outcome{}, err
	}
	r := &run{cluster: s, requestLog: &requestLog{}, startedAt: time.Now()}
	r.faults = &injector{
		cluster: s, activeScopes: map[string]bool{}, incarnations: make([]int, c.Daemons), upgradedAt: map[int]int{}, versions: []change{{Version: s.version, From: r.startedAt}},
	}
	r.faults.sendPrompts, r.faults.sendSteady, r.faults.sendMoving = r.sendPrompts, r.sendSteady, r.sendMoving
	r.execute(ctx)
	outcome := r.evaluate()
	return outcome, errors.Join(r.faults.errors...)
}

// execute sends client requests while the plan is injected.
func (r *run) execute(ctx context.Context) {
	c := r.cluster.Config
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	go r.stalls.run(watching)
	ctx, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	var wg sync.WaitGroup
	for d := range c.Daemons {
		for n := range c.Callers {
			wg.Go(func() { r.sendRequests(ctx, d, n) })
		}
		wg.Go(func() { r.pollConfig(ctx, d) })
	}
	if c.FromBinDir != "" {
		wg.Go(func() { r.faults.upgrade(ctx, planUpgrade(c.Seed, c.Length, c.Daemons)) })
		for n := range c.Daemons * hopCallers {
			wg.Go(func() { r.sendHoppingStreams(ctx, n/hopCallers, n%hopCallers) })
		}
	}
	if !c.Calm {
		r.faults.inject(ctx, Plan(c.Seed, c.Length, c.Daemons, c.Endpoints, len(domains)))
	}
	wg.Wait()
	r.sending.Wait()
	r.endedAt = time.Now()
}
