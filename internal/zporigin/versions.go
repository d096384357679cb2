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
	ages := map[string]time.Duration{}
	for _, x := range versions {
		ages[x] = 0
	}
	return v.Learn(pool, ages, now)
}

// Learn is Observe with the versions that other daemons have seen, and the time since they
// last saw each.
func (v *Versions) Learn(pool string, ages map[string]time.Duration, now time.Time) (becameMixed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.pools[pool]
	if !ok {
		p = &poolVersions{firstSeen: map[string]time.Time{}, lastSeen: map[string]time.Time{}}
		v.pools[pool] = p
	}
	before, hasBefore := p.only()
	for x, age := range ages {
		if at := now.Add(-age); at.After(p.lastSeen[x]) {
			p.lastSeen[x] = at
		}
		if _, ok := p.firstSeen[x]; !ok {
			p.firstSeen[x] = now
		}
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

// Only returns the version of a pool that has just one.
func (v *Versions) Only(pool string) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.pools[pool]
	if !ok {
		return "", false
	}
	return p.only()
}

// IsMixed reports whether streams of several versions may be open in a pool.
func (v *Versions) IsMixed(pool string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.pools[pool]
	return ok && !p.mixedSince.IsZero()
}

// LastSeen returns the versions of a pool that count now, and the time since each was last seen.
func (v *Versions) LastSeen(pool string, now time.Time) map[string]time.Duration {
	return v.agesOf(pool, now, func(p *poolVersions) map[string]time.Time { return p.lastSeen })
}

// MixedFor returns for how long this daemon has seen several versions in a pool; zero if it
// sees one.
func (v *Versions) MixedFor(pool string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if p, ok := v.pools[pool]; ok && !p.mixedSince.IsZero() {
		return now.Sub(p.mixedSince)
	}
	return 0
}

// SeenFor returns for how long this daemon has known of each version of a pool.
func (v *Versions) SeenFor(pool string, now time.Time) map[string]time.Duration {
	return v.agesOf(pool, now, func(p *poolVersions) map[string]time.Time { return p.firstSeen })
}

func (v *Versions) agesOf(pool string, now time.Time, times func(p *poolVersions) map[string]time.Time) map[string]time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]time.Duration{}
	if p, ok := v.pools[pool]; ok {
		for x, at := range times(p) {
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
