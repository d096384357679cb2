package zpproof

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

// promptMix is load of prompts alone.
func promptMix(tokens int) zpload.Mix {
	return zpload.Mix{
		Name: "prompts", Model: "assistant", Workspaces: []string{"shop-a", "shop-b"},
		Shares: []zpload.Share{{Name: "prompt", Percent: 100, Tier: "priority", PromptTokens: [2]int{40, 120}, AnswerTokens: tokens}},
	}
}

// load returns load on all daemons of the site.
func (e *Env) load(m zpload.Mix, rate float64, d time.Duration) *zpload.Load {
	return &zpload.Load{
		Targets: e.Site.Targets(), Keys: e.Site.Keys(), Mix: m, Rate: rate, Duration: d,
		Seed: e.Seed, WeightVersion: zpsite.WeightVersion,
	}
}

// under runs steps, at equal distances, while load runs, and returns what
// callers saw.
func (e *Env) under(ctx context.Context, l *zpload.Load, steps ...func() error) ([]zpload.Report, error) {
	reports := make(chan []zpload.Report, 1)
	go func() { reports <- l.Run(ctx) }()
	var failed error
	for _, step := range steps {
		pause(ctx, l.Duration/time.Duration(len(steps)+1))
		if err := step(); err != nil && failed == nil {
			failed = err
		}
	}
	return <-reports, failed
}

// coldStart starts engines cold, crashes them, and kills and pauses the daemons
// that own them, under more load than cold engines bear.
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
	_, err = e.under(ctx, e.load(promptMix(30), 50, 14*time.Second),
		crash(0),
		func() error { d[0].Kill(); return e.fault(nil) },
		crash(1),
		func() error { return e.fault(d[1].Signal(syscall.SIGSTOP)) },
		crash(2),
		func() error { return e.fault(d[1].Signal(syscall.SIGCONT)) },
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
		bearable := e.Site.Config.ColdSlots
		if s.MaxColdLoad > bearable {
			return fmt.Errorf("%s had %d runs at once while cold and bears %d", name, s.MaxColdLoad, bearable)
		}
	}
	if runs < 100 {
		return fmt.Errorf("only %d runs; the proof shows too little", runs)
	}
	return nil
}

// lostDaemon kills a daemon under load and restarts it. Only requests through
// the dead daemon may break.
func lostDaemon(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 4, Runners: 4, Services: 1}); err != nil {
		return err
	}
	survivors := e.load(promptMix(10), 30, 8*time.Second)
	survivors.Targets = survivors.Targets[1:]
	reports, err := e.under(ctx, survivors,
		func() error { e.Site.Daemons[0].Kill(); return e.fault(nil) },
		func() error { return e.fault(e.Site.Daemons[0].Start()) },
	)
	if err != nil {
		return err
	}
	return nothingCut(zpload.Find(reports, "total"))
}

// nothingCut fails if a caller saw anything but whole answers and refusals, or
// hardly any answers.
func nothingCut(r zpload.Report) error {
	if r.Broken+r.Wrong+r.Failed+r.Unknown > 0 {
		return fmt.Errorf("%d broken, %d wrong, %d failed, %d unknown of %d: %v", r.Broken, r.Wrong, r.Failed, r.Unknown, r.Sent, r.Codes)
	}
	if r.Completed*2 < r.Sent {
		return fmt.Errorf("only %d of %d were completed: %v", r.Completed, r.Sent, r.Codes)
	}
	return nil
}
