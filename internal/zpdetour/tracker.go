package zpdetour

import (
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// Tracker decides from the results of connects which endpoints a daemon cannot connect to
	// although others can. The zero value knows of none. It is safe for concurrent use.
	Tracker struct {
		mu            sync.Mutex
		blocked       map[string]*block
		deadUntil     map[string]time.Time
		lastConnectAt time.Time // of the latest connect of this daemon that succeeded
		cutSince      time.Time
		failed        map[string]time.Time // by address, when a connect last failed since the latest that succeeded
		probedAt      time.Time
		reached       []string // latest addresses with a connect that succeeded, the latest last
	}

	// block is an address to which detours are used.
	block struct {
		since     time.Time
		usedAt    time.Time // when a detour was last used
		probedAt  time.Time
		isAssumed bool // only because this daemon is cut off
	}
)

const (
	// cutAddresses is the number of blocked addresses without any connect that succeeded since
	// from which this daemon counts as cut off from all endpoints.
	cutAddresses = 2
	// deadTime is how long no detour is tried to an endpoint that another daemon could not
	// reach either.
	deadTime = time.Second
	// failureMemory is how long a connect that failed counts as a sign of a cut.
	failureMemory = 2 * time.Second
	// probeInterval is the interval between two probes of blocked addresses.
	probeInterval = 250 * time.Millisecond
	// maxReached is how many reached addresses are known.
	maxReached = 16
	// unusedBlockTime is how long an address stays blocked while no request needs it.
	unusedBlockTime = 30 * time.Second
)

// RecordConnect records a connect of this daemon that succeeded. It returns the addresses to
// probe at once, as they may be within reach again, too, and whether this daemon was cut off.
// Those that were probed just before are left out.
func (t *Tracker) RecordConnect(address string, now time.Time) (probe []string, wasCut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastConnectAt, t.failed = now, nil
	wasCut = !t.cutSince.IsZero()
	t.cutSince = time.Time{}
	delete(t.deadUntil, address)
	others := t.reachedExcept(address)
	t.reached = append(others[max(len(others)-maxReached+1, 0):], address)
	if _, ok := t.blocked[address]; !ok && !wasCut {
		return nil, false
	}
	delete(t.blocked, address)
	maps.DeleteFunc(t.blocked, func(_ string, b *block) bool { return b.isAssumed })
	for _, other := range t.addresses() {
		if b := t.blocked[other]; now.Sub(b.probedAt) >= probeInterval {
			b.probedAt = now
			probe = append(probe, other)
		}
	}
	return probe, wasCut
}

// RecordFailure records a connect of this daemon that failed.
func (t *Tracker) RecordFailure(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == nil {
		t.failed = map[string]time.Time{}
	}
	maps.DeleteFunc(t.failed, func(_ string, at time.Time) bool { return now.Sub(at) > failureMemory })
	t.failed[address] = now
}

// MayBeCut reports whether this daemon may be cut off from all endpoints: what it finds at one
// of them says nothing.
func (t *Tracker) MayBeCut(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	recent := 0
	for _, at := range t.failed {
		if now.Sub(at) <= failureMemory {
			recent++
		}
	}
	return recent >= cutAddresses || !t.cutSince.IsZero()
}

// RecordDetour records that another daemon has connected to an address to which this one could
// not connect, or does not try to. It reports whether this daemon counts as cut off since now.
func (t *Tracker) RecordDetour(address string, now time.Time) (isNewlyCut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blocked == nil {
		t.blocked = map[string]*block{}
	}
	b, ok := t.blocked[address]
	if !ok {
		b = &block{since: now, isAssumed: !t.cutSince.IsZero()}
		t.blocked[address] = b
	}
	b.usedAt = now
	if !t.cutSince.IsZero() {
		return false
	}
	count := 0
	for _, b := range t.blocked {
		if !b.since.Before(t.lastConnectAt) {
			count++
		}
	}
	if count < cutAddresses {
		return false
	}
	t.cutSince = now
	return true
}

// RecordDead records that another daemon could not connect to an endpoint either.
func (t *Tracker) RecordDead(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deadUntil == nil {
		t.deadUntil = map[string]time.Time{}
	}
	t.deadUntil[address] = now.Add(deadTime)
	delete(t.blocked, address)
	maps.DeleteFunc(t.deadUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

// Reached returns addresses other than one to which connects have succeeded lately.
func (t *Tracker) Reached(except string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachedExcept(except)
}

func (t *Tracker) reachedExcept(address string) []string {
	return slices.DeleteFunc(slices.Clone(t.reached), func(a string) bool { return a == address })
}

// MayDetour reports whether a detour to an endpoint is worth a try after a connect has failed.
func (t *Tracker) MayDetour(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.deadUntil[address])
}

// IsBlocked reports whether connections to an address should take a detour.
func (t *Tracker) IsBlocked(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	_, ok := t.blocked[address]
	return ok || !t.cutSince.IsZero()
}

// IsCut reports whether this daemon seems to be cut off from all endpoints.
func (t *Tracker) IsCut(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return !t.cutSince.IsZero()
}

// Reach returns which endpoints this daemon can connect to.
func (t *Tracker) Reach(now time.Time) Reach {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return Reach{IsCut: !t.cutSince.IsZero(), Since: t.cutSince, Blocked: t.addresses()}
}

// NextProbe returns the blocked address to probe now, if a probe is due.
func (t *Tracker) NextProbe(now time.Time) (address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if len(t.blocked) == 0 || now.Sub(t.probedAt) < probeInterval {
		return "", false
	}
	for candidate, b := range t.blocked {
		if address == "" || b.probedAt.Before(t.blocked[address].probedAt) {
			address = candidate
		}
	}
	t.probedAt, t.blocked[address].probedAt = now, now
	return address, true
}

// expire forgets addresses that no request has needed for a while. The lock must be held.
func (t *Tracker) expire(now time.Time) {
	if len(t.blocked) == 0 {
		return
	}
	maps.DeleteFunc(t.blocked, func(_ string, b *block) bool { return now.Sub(b.usedAt) > unusedBlockTime })
	if len(t.blocked) == 0 {
		t.cutSince = time.Time{}
	}
}

func (t *Tracker) addresses() []string { return slices.Sorted(maps.Keys(t.blocked)) }
