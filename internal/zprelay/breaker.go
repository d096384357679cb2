package zprelay

import (
	"sync"
	"time"
)

// Breaker is a circuit breaker: it decides when a daemon may call a store that has failed to
// answer it. A failed call trips it; a call that succeeds or a probe, which is cheaper,
// resets it. A store that answers probes but fails calls is called less and less often. It
// is safe for concurrent use.
type Breaker struct {
	Random func() float64 // uniform in [0, 1)

	mu         sync.Mutex
	isTripped  bool
	trippedAt  time.Time
	resetAt    time.Time
	backoff    time.Duration // before the next probe, without jitter; zero after a success
	nextProbe  time.Time
	rejections int // calls not made since the breaker tripped
}

const (
	// minProbeDelay is short, since after a pause of the process or on a dead connection
	// calls fail although the store answers.
	minProbeDelay = 20 * time.Millisecond
	// maxProbeDelay is well below the time after an outage of the store in which its
	// changes must take effect again.
	maxProbeDelay = time.Second
	// probeJitter is the share of a delay by which it varies both ways, so that daemons
	// which lost the store at the same time do not call it at the same time.
	probeJitter = 0.5
)

// Allow reports whether the store may be called.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isTripped {
		b.rejections++
	}
	return !b.isTripped
}

// IsTripped reports whether calls are rejected.
func (b *Breaker) IsTripped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isTripped
}

// ResetAt returns when the breaker was last reset, or the zero time.
func (b *Breaker) ResetAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resetAt
}

// RecordSuccess records that the store answered a call that began at startedAt, and reports
// whether this reset the breaker, for how long it was tripped, and how many calls were not
// made meanwhile. An answer to a call that began before the breaker tripped says nothing of
// the store since.
func (b *Breaker) RecordSuccess(startedAt, now time.Time) (reset bool, trippedFor time.Duration, rejections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isTripped && startedAt.Before(b.trippedAt) {
		return false, 0, 0
	}
	b.backoff = 0
	return b.reset(now)
}

// RecordFailure records that the store failed to answer a call that began at startedAt, and
// reports whether this tripped the breaker. A call that began before the last reset, such as
// a watch on a connection that returns nothing further, does not trip it again.
func (b *Breaker) RecordFailure(startedAt, now time.Time) (tripped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isTripped || startedAt.Before(b.resetAt) {
		return false
	}
	b.isTripped, b.trippedAt, b.rejections = true, now, 0
	b.schedule(now)
	return true
}

// NextProbe returns when the next probe is due; ok is false unless the breaker is tripped.
func (b *Breaker) NextProbe() (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextProbe, b.isTripped
}

// RecordProbe records the result of a probe and returns as RecordSuccess does. The delay
// before the next probe stays, as the calls may still fail.
func (b *Breaker) RecordProbe(answered bool, now time.Time) (reset bool, trippedFor time.Duration, rejections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered {
		return b.reset(now)
	}
	b.schedule(now)
	return false, 0, 0
}

// reset ends the trip; b.mu must be held.
func (b *Breaker) reset(now time.Time) (reset bool, trippedFor time.Duration, rejections int) {
	if !b.isTripped {
		return false, 0, 0
	}
	b.isTripped, b.resetAt = false, now
	return true, now.Sub(b.trippedAt), b.rejections
}

// schedule sets the time of the next probe; b.mu must be held.
func (b *Breaker) schedule(now time.Time) {
	b.backoff = min(max(2*b.backoff, minProbeDelay), maxProbeDelay)
	jitter := 1 + probeJitter*(2*b.Random()-1)
	b.nextProbe = now.Add(time.Duration(float64(b.backoff) * jitter))
}
