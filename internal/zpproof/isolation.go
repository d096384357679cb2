package zpproof

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

// isolation overloads the site from one workspace with several times its capacity,
// and checks that every request of another workspace with little load is
// completed.
func isolation(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 3, Runners: 2, Slots: 4, ColdSlots: 2, RunnerFlags: []string{"--decode-ms", "10"},
		Settings: map[string]string{"reserve.urgent_wait_ms": "3000", "reserve.queue_limit": "60"},
	})
	if err != nil {
		return err
	}
	flood := promptMix(20)
	flood.Workspaces = []string{"shop-a"}
	quiet := promptMix(20)
	quiet.Workspaces = []string{"shop-b"}
	floodReports := make(chan []zpload.Report, 1)
	go func() { floodReports <- e.load(flood, 150, 8*time.Second).Run(ctx) }()
	pause(ctx, 2*time.Second)
	reports := e.load(quiet, 4, 5*time.Second).Run(ctx)
	e.Faults++
	floodTotal := zpload.Find(<-floodReports, "total")
	if floodTotal.NotRun == 0 {
		return fmt.Errorf("no request of the flood was refused; the proof needs an overload")
	}
	total := zpload.Find(reports, "total")
	if total.Completed < total.Sent {
		return fmt.Errorf("%d of %d requests of the quiet workspace were completed: %v", total.Completed, total.Sent, total.Codes)
	}
	return nil
}
