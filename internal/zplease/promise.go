package zplease

import (
	"sync"
	"time"
)

// Promises is what a monitor remembers of the daemons it watches: whom it has
// promised not to end, and whom it is ending or has ended. It is safe for
// concurrent use.
type Promises struct {
	Timing Timing

	mu     sync.Mutex
	until  map[string]time.Time
	ending map[string]bool
}

// Promise promises not to end an instance's lease for the lease's duration. It
// is refused once an attempt to end it has begun and may have taken effect.
func (p *Promises) Promise(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending[instance] {
		return false
	}
	if p.until == nil {
		p.until = map[string]time.Time{}
	}
	p.until[instance] = now.Add(p.Timing.Duration)
	return true
}

// BeginEnd reports whether an attempt to end the lease may begin now, and if
// so refuses promises from here on.
func (p *Promises) BeginEnd(instance string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.until[instance]) {
		return false
	}
	if p.ending == nil {
		p.ending = map[string]bool{}
	}
	p.ending[instance] = true
	return true
}

// EndFailed notes that an attempt certainly had no effect.
func (p *Promises) EndFailed(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ending, instance)
}
