package zpproof

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

// promptMix returns a load that consists of prompts only.
func promptMix(tokens int) zpload.Mix {
	return zpload.Mix{
		Name: "prompts", Model: "assistant", Workspaces: []string{"shop-a", "shop-b"},
		Shares: []zpload.Share{{Name: "prompt", Percent: 100, Tier: "priority", PromptTokens: [2]int{40, 120}, AnswerTokens: tokens}},
	}
}

// load returns a load generator that targets all daemons of the site.
func (e *Env) load(m zpload.Mix, rate float64, d time.Duration) *zpload.Load {
	return &zpload.Load{
		Targets: e.Site.Targets(), Keys: e.Site.Keys(), Mix: m, Rate: rate, Duration: d,
		Seed: e.Seed, WeightVersion: zpsite.WeightVersion,
	}
}

// runUnderLoad runs steps at equal intervals while the load runs. It returns the
// reports of the load and the first error of a step.
func (e *Env) runUnderLoad(ctx context.Context, l *zpload.Load, steps ...func() error) ([]zpload.Report, error) {
	reports := make(chan []zpload.Report, 1)
	go func() { reports <- l.Run(ctx) }()
	var firstErr error
	for _, step := range steps {
		pause(ctx, l.Duration/time.Duration(len(steps)+1))
		if err := step(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return <-reports, firstErr
}

// coldStart starts engines cold, crashes them, and kills and pauses the daemons
// that own them, under more load than cold engines can handle.
func coldStart(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 3, Runners: 3,
		RunnerFlags: []string{"--start-cold", "--cold-ms", "2000", "--restart-ms", "2500"},
	})
	if err != nil {
		return err
	}
	crash := func(i int) func() error {
		return func() error { return e.control(e.runnerAddress(i), map[string]bool{"crash": true}) }
	}
	d := e.Site.Daemons
	_, err = e.runUnderLoad(ctx, e.load(promptMix(30), 50, 14*time.Second),
		crash(0),
		func() error { d[0].Kill(); return e.fault(nil) },
		crash(1),
		func() error { return e.fault(d[1].Pause()) },
		crash(2),
		func() error { return e.fault(d[1].Resume()) },
		func() error { return e.fault(d[0].Start()) },
		crash(0),
	)
	if err != nil {
		return err
	}
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	runs := 0
	for name, s := range stats {
		runs += s.Runs
		coldLimit := e.Site.Config.ColdSlots
		if s.MaxColdLoad > coldLimit {
			return fmt.Errorf("%s had %d concurrent runs while cold; the limit is %d", name, s.MaxColdLoad, coldLimit)
		}
	}
	if runs < 100 {
		return fmt.Errorf("only %d runs; the proof needs at least 100", runs)
	}
	return nil
}

// lostDaemon kills a daemon and restarts it while the other daemons are under
// load. Only requests through the killed daemon may fail.
func lostDaemon(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 4, Runners: 4, Services: 1}); err != nil {
		return err
	}
	survivors := e.load(promptMix(10), 30, 8*time.Second)
	survivors.Targets = survivors.Targets[1:]
	reports, err := e.runUnderLoad(ctx, survivors,
		func() error { e.Site.Daemons[0].Kill(); return e.fault(nil) },
		func() error { return e.fault(e.Site.Daemons[0].Start()) },
	)
	if err != nil {
		return err
	}
	return checkNoneCut(zpload.Find(reports, "total"))
}

// checkNoneCut returns an error if a request ended with anything but a complete
// answer or a refusal, or if fewer than half of the requests were completed.
func checkNoneCut(r zpload.Report) error {
	if r.Broken+r.Wrong+r.Failed+r.Unknown > 0 {
		return fmt.Errorf("%d broken, %d wrong, %d failed, %d unknown of %d: %v", r.Broken, r.Wrong, r.Failed, r.Unknown, r.Sent, r.Codes)
	}
	if r.Completed*2 < r.Sent {
		return fmt.Errorf("only %d of %d were completed: %v", r.Completed, r.Sent, r.Codes)
	}
	return nil
}
