package zpcatalog

import (
	"slices"
	"sync"
	"time"
)

// FreshnessGuard tells whether the catalog is confirmed to be the newest one. It is not after a
// pause of the process, and when nothing has confirmed it for a while although other
// daemons may still reach the store: the configuration may have been replaced meanwhile,
// and a paused or starved process hears of that late. It is safe for concurrent use.
type FreshnessGuard struct {
	mu          sync.Mutex
	activeAt    time.Time // when the process was last known to run; zero: never
	resumedAt   time.Time // when it ran again after the last pause; zero: it was never paused
	confirmedAt time.Time // when the call began that last confirmed the catalog
	provenAt    time.Time // when the read of the store began on which that rests
	outageAt    time.Time // when the store was last known to be away for all daemons
	newer       []newerCatalog
}

// newerCatalog is a newer catalog than the one in use when another daemon first told of it.
type newerCatalog struct {
	version int64
	at      time.Time
}

const (
	// minPause is the time without a sign of activity that counts as a pause. A change of
	// the configuration may take longer to apply.
	minPause = time.Second
	// MaxPauseWait bounds the time for which requests wait for the confirmation: the store
	// may be out of reach.
	MaxPauseWait = 500 * time.Millisecond
	// maxConfirmationAge is the time without a confirmation after which the catalog may be
	// outdated. It is above the interval of the store's watches and of calls between
	// daemons.
	maxConfirmationAge = 3 * time.Second
	// maxApplyTime is the time after which a newer catalog that another daemon uses should be
	// in use. It is above the time in which it is read from that daemon.
	maxApplyTime = 1500 * time.Millisecond
)

// RecordActive records that the process runs, and reports whether it was paused just before.
func (g *FreshnessGuard) RecordActive(now time.Time) (wasPaused bool) {
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

// ResumedAt returns when the process ran again after the last pause, or the zero time if it
// was never paused.
func (g *FreshnessGuard) ResumedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumedAt
}

// RecordConfirmed records that the catalog is the newest one by a call to the store that
// began at startedAt.
func (g *FreshnessGuard) RecordConfirmed(startedAt time.Time) { g.RecordRelayed(startedAt, 0) }

// RecordRelayed is RecordConfirmed for a call to another daemon, to which the store confirmed
// the catalog at an age before the call.
func (g *FreshnessGuard) RecordRelayed(startedAt time.Time, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if startedAt.After(g.confirmedAt) {
		g.confirmedAt = startedAt
	}
	if at := startedAt.Add(-age); at.After(g.provenAt) {
		g.provenAt = at
	}
}

// RecordOutage records that the store is away for all daemons. While that is so, no change is
// accepted, and serving goes on.
func (g *FreshnessGuard) RecordOutage(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outageAt = now
}

// EndOutage records that the store may be away for this daemon alone.
func (g *FreshnessGuard) EndOutage() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outageAt = time.Time{}
}

// RecordNewer records that another daemon uses a newer catalog.
func (g *FreshnessGuard) RecordNewer(version int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.newer); n == 0 || version > g.newer[n-1].version {
		g.newer = append(g.newer, newerCatalog{version, now})
	}
}

// IsReplaced reports whether the catalog in use was replaced by one that should be in use by
// now. Its regions may then be excluded, whoever confirms it.
func (g *FreshnessGuard) IsReplaced(version int64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newer = slices.DeleteFunc(g.newer, func(c newerCatalog) bool { return c.version <= version })
	return len(g.newer) > 0 && now.Sub(g.newer[0].at) >= maxApplyTime
}

// IsConfirmed reports whether the catalog was confirmed since the last pause. It counts a
// pause that has just ended and that RecordActive has not yet been told of: a connection may
// be established during the pause, and its request is sent as soon as the process runs.
func (g *FreshnessGuard) IsConfirmed(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.activeAt.IsZero() && now.Sub(g.activeAt) >= minPause {
		return false
	}
	return g.resumedAt.IsZero() || !g.confirmedAt.Before(g.resumedAt)
}

// IsRecent reports whether the catalog was confirmed recently, by the store at readAt or by
// another daemon, or cannot be because the store is out of reach for others, too.
func (g *FreshnessGuard) IsRecent(readAt, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range []time.Time{readAt, g.provenAt, g.outageAt} {
		if now.Sub(at) <= maxConfirmationAge {
			return true
		}
	}
	return false
}

// MustWait reports whether requests must wait for the confirmation.
func (g *FreshnessGuard) MustWait(now time.Time) bool {
	if g.IsConfirmed(now) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.resumedAt) < MaxPauseWait
}
