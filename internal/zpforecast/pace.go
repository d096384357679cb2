// Package zpforecast estimates when a request that waits for capacity starts and when its
// first event comes, and decides which requests are refused at once and when their callers
// should return. It knows nothing of endpoints: work is a number of prompt tokens, or of
// requests to a plain service.
package zpforecast

import (
	"math"
	"time"
)

type (
	// Pace follows how much of the work that waits at this daemon starts per second. The
	// zero value is ready to use. It is not safe for concurrent use.
	Pace struct {
		recent     float64       // moving average of the work that starts per second, over paceWindow
		longer     float64       // over longPaceWindow
		observed   time.Duration // for how long requests have waited without a pause, until the last start
		stalled    time.Duration // since then
		recordedAt time.Time     // zero: nothing has waited yet
	}

	// Lead follows how much longer than expected the latest runs took to their first event,
	// because of what waits at the endpoints. The zero value is ready to use. It is not safe
	// for concurrent use.
	Lead struct {
		excess     time.Duration
		recordedAt time.Time
	}
)

const (
	// paceWindow and longPaceWindow are the times over which a pace is averaged. The higher
	// average counts: a request that might be served once a short stall has passed is not
	// hopeless.
	paceWindow     = time.Second
	longPaceWindow = 4 * time.Second
	// minObserved is the time for which requests must have waited before their pace is known:
	// several starts on a daemon with few requests.
	minObserved = 500 * time.Millisecond
	// maxPause is the longest time without waiting requests after which a pace still holds.
	maxPause = 250 * time.Millisecond
	// maxWait is the longest wait that is estimated. It is above the deadline of any caller
	// that would be told of it.
	maxWait = time.Hour

	// leadWindow is the time over which a lead is averaged and after which most of it is
	// forgotten.
	leadWindow = time.Second
	// leadWeight is the weight of the latest run in a lead.
	leadWeight = 0.2
)

// Record records the work that has started since the last call. It must be called several
// times per second while requests wait. While nothing starts, the pace of before still holds.
func (p *Pace) Record(work float64, now time.Time) {
	elapsed := now.Sub(p.recordedAt)
	if p.recordedAt.IsZero() || elapsed > maxPause {
		*p = Pace{recordedAt: now}
		return
	}
	if elapsed <= 0 {
		return
	}
	p.recordedAt = now
	p.stalled += elapsed
	if work <= 0 {
		return
	}
	perSecond := work / p.stalled.Seconds()
	p.recent += (1 - decay(p.stalled, paceWindow)) * (perSecond - p.recent)
	p.longer += (1 - decay(p.stalled, longPaceWindow)) * (perSecond - p.longer)
	p.observed += p.stalled
	p.stalled = 0
}

// PerSecond returns the work that starts per second, or false while it is not known.
func (p *Pace) PerSecond(now time.Time) (float64, bool) {
	if p.observed < minObserved || now.Sub(p.recordedAt) > maxPause {
		return 0, false
	}
	// The averages began at zero.
	return max(p.recent/(1-decay(p.observed, paceWindow)), p.longer/(1-decay(p.observed, longPaceWindow))), true
}

// StalledFor returns for how long requests have waited since the last one started.
func (p *Pace) StalledFor(now time.Time) time.Duration {
	if now.Sub(p.recordedAt) > maxPause {
		return 0
	}
	return p.stalled
}

// WaitFor returns the time until work has started at a rate per second.
func WaitFor(work, perSecond float64) time.Duration {
	if work <= 0 {
		return 0
	}
	if perSecond <= 0 || work/perSecond > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(work / perSecond * float64(time.Second))
}

// Record records how long a run took to its first event, and how long it would have taken at
// an idle endpoint.
func (l *Lead) Record(took, idle time.Duration, now time.Time) {
	excess := max(took-idle, 0)
	l.excess, l.recordedAt = l.Excess(now)+time.Duration(leadWeight*float64(excess-l.Excess(now))), now
}

// Excess returns by how much a run that starts now is expected to exceed its time at an idle
// endpoint.
func (l *Lead) Excess(now time.Time) time.Duration {
	if l.recordedAt.IsZero() {
		return 0
	}
	return time.Duration(float64(l.excess) * decay(now.Sub(l.recordedAt), leadWindow))
}

// decay returns the share of an average that is left after a time.
func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / window.Seconds())
}
