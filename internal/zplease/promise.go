package zplease

import (
	"sync"
	"time"
)

// Promises is the state that a monitor keeps about the leases of other daemons:
// until when it has promised not to end them, and which it is ending or has
// ended. It is safe for concurrent use.
type Promises struct {
	Timing Timing

	mu            sync.Mutex
	promisedUntil map[string]time.Time
	ending        map[string]bool
}

// Promise promises not to end an instance's lease for Timing.Duration. It
// returns false, without a promise, if an attempt to end the lease has begun and
// may have taken effect.
func (p *Promises) Promise(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending[instance] {
		return false
	}
	if p.promisedUntil == nil {
		p.promisedUntil = map[string]time.Time{}
	}
	p.promisedUntil[instance] = now.Add(p.Timing.Duration)
	return true
}

// BeginEnding reports whether this daemon may now try to end an instance's
// lease. If so, Promise is refused from here on.
func (p *Promises) BeginEnding(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.promisedUntil[instance]) {
		return false
	}
	if p.ending == nil {
		p.ending = map[string]bool{}
	}
	p.ending[instance] = true
	return true
}

// CancelEnding allows promises again. It must be called only if the attempt to
// end the lease is known to have had no effect.
func (p *Promises) CancelEnding(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ending, instance)
}
