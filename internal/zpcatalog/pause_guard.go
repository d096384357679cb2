package zpcatalog

import (
	"sync"
	"time"
)

// PauseGuard tells whether the catalog is confirmed again after a pause of the process: the
// configuration may have been replaced meanwhile, and the process hears of that only some
// time after it runs again. It is safe for concurrent use.
type PauseGuard struct {
	mu          sync.Mutex
	activeAt    time.Time // when the process was last known to run; zero: never
	resumedAt   time.Time // when it ran again after the last pause; zero: it was never paused
	confirmedAt time.Time // when the call began that last confirmed the catalog
}

const (
	// minPause is the time without a sign of activity that counts as a pause. A change of
	// the configuration may take longer to apply.
	minPause = time.Second
	// MaxPauseWait bounds the time for which requests wait for the confirmation: the store
	// may be out of reach.
	MaxPauseWait = 500 * time.Millisecond
)

// RecordActive records that the process runs, and reports whether it was paused just before.
func (g *PauseGuard) RecordActive(now time.Time) (wasPaused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasPaused = !g.activeAt.IsZero() && now.Sub(g.activeAt) >= minPause
	if wasPaused {
		g.resumedAt = now
	}
	if now.After(g.activeAt) {
		g.activeAt = now
	}
	return wasPaused
}

// RecordConfirmed records that the catalog is the newest one by a call that began at
// startedAt, to the store or to a daemon whose own catalog is confirmed.
func (g *PauseGuard) RecordConfirmed(startedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if startedAt.After(g.confirmedAt) {
		g.confirmedAt = startedAt
	}
}

// IsConfirmed reports whether the catalog was confirmed since the last pause.
func (g *PauseGuard) IsConfirmed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumedAt.IsZero() || !g.confirmedAt.Before(g.resumedAt)
}

// MustWait reports whether requests must wait for the confirmation.
func (g *PauseGuard) MustWait(now time.Time) bool {
	if g.IsConfirmed() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.resumedAt) < MaxPauseWait
}
