package zporigin

import (
	"sync"
	"time"
)

type (
	// Versions tracks which software versions the endpoints of each pool have. It is safe for
	// concurrent use.
	Versions struct {
		mu    sync.Mutex
		pools map[string]*poolVersions
	}

	// poolVersions are the versions of one pool.
	poolVersions struct {
		firstSeen  map[string]time.Time
		lastSeen   map[string]time.Time
		mixedSince time.Time // zero while the pool has one version
		before     string    // the only version before mixedSince
		hasBefore  bool      // false if this daemon has only seen the pool mixed
	}
)

// assumeFor is how long after a pool became mixed a stream that no daemon knows is taken for
// one of the version before. Daemons learn of an endpoint within seconds of each other, and
// tell each other of their open streams then.
const assumeFor = 5 * time.Second

// NewVersions returns a Versions without pools.
func NewVersions() *Versions { return &Versions{pools: map[string]*poolVersions{}} }

// Observe records the versions that a pool's endpoints have at now, and reports whether the
// pool has become mixed by that. A version counts until Retention after it was last seen, as
// its streams may still be taken up.
func (v *Versions) Observe(pool string, versions []string, now time.Time) (becameMixed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.pools[pool]
	if !ok {
		p = &poolVersions{firstSeen: map[string]time.Time{}, lastSeen: map[string]time.Time{}}
		v.pools[pool] = p
	}
	before, hasBefore := p.only()
	for _, x := range versions {
		if _, ok := p.lastSeen[x]; !ok {
			p.firstSeen[x] = now
		}
		p.lastSeen[x] = now
	}
	for x, at := range p.lastSeen {
		if now.Sub(at) >= Retention {
			delete(p.lastSeen, x)
			delete(p.firstSeen, x)
		}
	}
	if len(p.lastSeen) <= 1 {
		p.mixedSince = time.Time{}
		return false
	}
	if !p.mixedSince.IsZero() {
		return false
	}
	p.mixedSince, p.before, p.hasBefore = now, before, hasBefore
	return true
}

// only returns the version of a pool that has just one.
func (p *poolVersions) only() (version string, ok bool) {
	if len(p.lastSeen) != 1 {
		return "", false
	}
	for x := range p.lastSeen {
		version = x
	}
	return version, true
}

// IsMixed reports whether streams of several versions may be open in a pool.
func (v *Versions) IsMixed(pool string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.pools[pool]
	return ok && !p.mixedSince.IsZero()
}

// SeenFor returns for how long this daemon has seen each version of a pool.
func (v *Versions) SeenFor(pool string, now time.Time) map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]time.Duration{}
	if p, ok := v.pools[pool]; ok {
		for x, at := range p.firstSeen {
			out[x] = now.Sub(at)
		}
	}
	return out
}

// Assume returns the version at which a stream that no daemon knows must have begun. It
// returns false if that can't be told.
func (v *Versions) Assume(pool string, now time.Time) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.pools[pool]
	if !ok || p.mixedSince.IsZero() || !p.hasBefore || now.Sub(p.mixedSince) >= assumeFor {
		return "", false
	}
	return p.before, true
}
