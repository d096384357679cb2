// Package zpstall notices that the process did not run: that its VM was paused,
// or that it is short of processor time.
package zpstall

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// Detector sleeps for short spans and measures how late it wakes. Set the fields
// before Run.
type Detector struct {
	Log   *zplog.Logger
	Clock func() time.Time
	// Observe gets the lateness of each wake-up.
	Observe func(late time.Duration)
}

const (
	interval = 200 * time.Millisecond
	// threshold is below what a caller notices.
	threshold = 100 * time.Millisecond
)

// Run watches until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for asleep := d.Clock(); ; asleep = d.Clock() {
		timer.Reset(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		d.woke(asleep, d.Clock())
	}
}

func (d *Detector) woke(asleep, now time.Time) {
	late := max(now.Sub(asleep)-interval, 0)
	d.Observe(late)
	if late >= threshold {
		d.Log.Emit(zplog.DaemonStalled, zplog.Fields{"late_ms": late.Milliseconds()})
	}
}
