package zpapp

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
)

// endpointGap is the part of the history of the endpoints' entries that this daemon has not
// read: a list that follows a failed watch lacks the entries that came and went in between. It
// is safe for concurrent use.
type endpointGap struct {
	mu      sync.Mutex
	firstAt time.Time // when the endpoints were first listed; zero: not yet
	from    int64     // revision up to which all changes were read; zero: there is no gap
	until   time.Time
}

// listed records that the endpoints were listed, and up to which revision all changes had been
// read; zero at the first list.
func (g *endpointGap) listed(applied int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstAt.IsZero() {
		g.firstAt = now
	}
	if g.from == 0 || now.Sub(g.until) >= zporigin.Retention {
		g.from = applied
	}
	g.until = now
}

// firstListedAt returns when the endpoints were first listed, or the zero time.
func (g *endpointGap) firstListedAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstAt
}

// last returns the revision from which the missing changes can be read and when the gap ended.
// The revision is zero if there is no gap, or no stream that began in it can be open.
func (g *endpointGap) last(now time.Time) (from int64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.from == 0 || now.Sub(g.until) >= zporigin.Retention || zpmutant.Active(zpmutant.Gap) {
		return 0, time.Time{}
	}
	return g.from, g.until
}

// close records that the changes of the gap that ended at until were read.
func (g *endpointGap) close(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.until.Equal(until) {
		g.from = 0
	}
}
