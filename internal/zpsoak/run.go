package zpsoak

import (
	"context"
	"errors"
	"sync"
	"time"
)

type (
	// run is one run of a plan.
	run struct {
		site   *site
		faults *injector
		seen   *history
		begun  time.Time
		ended  time.Time
	}

	// Outcome is what a run has shown.
	Outcome struct {
		Faults     int
		Requests   int
		Served     int
		Runs       int // of requests at endpoints
		Violations []string
	}
)

// Run plays one seed and judges what was seen.
func Run(ctx context.Context, c Config) (Outcome, error) {
	s, err := newSite(c)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return Outcome{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Outcome{}, err
	}
	r := &run{site: s, seen: &history{}, begun: time.Now()}
	r.faults = &injector{
		site: s, busy: map[string]bool{}, lives: make([]int, c.Daemons), versions: []change{{Version: s.version, From: r.begun}},
	}
	r.play(ctx)
	report := r.judge()
	return report, errors.Join(r.faults.errors...)
}

// play has callers send requests while the plan is carried out.
func (r *run) play(ctx context.Context) {
	c := r.site.Config
	ctx, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	var working sync.WaitGroup
	for d := range c.Daemons {
		for n := range c.Callers {
			working.Go(func() { r.call(ctx, d, n) })
		}
		working.Go(func() { r.ask(ctx, d) })
	}
	r.faults.inject(ctx, Plan(c.Seed, c.Length, c.Daemons, c.Endpoints, len(domains)))
	working.Wait()
	r.ended = time.Now()
}
