// Package zpstall detects that the process was not running for a while, because its
// VM was paused or because it lacks CPU time.
package zpstall

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// Detector sleeps repeatedly for sleepDuration and measures how late each wake-up is.
// Set the fields before Run.
type Detector struct {
	Log   *zplog.Logger
	Clock func() time.Time
	// Observe is called with the delay of each wake-up, zero if on time.
	Observe func(late time.Duration)
}

const (
	sleepDuration = 200 * time.Millisecond
	// stallThreshold is the delay from which a wake-up is logged; it is shorter than
	// a delay that callers notice.
	stallThreshold = 100 * time.Millisecond
)

// Run detects stalls until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	timer := time.NewTimer(sleepDuration)
	defer timer.Stop()
	for sleptAt := d.Clock(); ; sleptAt = d.Clock() {
		timer.Reset(sleepDuration)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		d.recordWakeup(sleptAt, d.Clock())
	}
}

func (d *Detector) recordWakeup(sleptAt, now time.Time) {
	late := max(now.Sub(sleptAt)-sleepDuration, 0)
	d.Observe(late)
	if late >= stallThreshold {
		d.Log.Emit(zplog.DaemonStalled, zplog.Fields{"late_ms": late.Milliseconds()})
	}
}
