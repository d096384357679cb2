package zpupgrade

import (
	"maps"
	"math"
	"sync"
	"time"
)

type (
	// Tracker follows the orders of all pools and decides which versions this daemon may use.
	// It is safe for concurrent use. Set the exported fields before use. A nil Tracker allows
	// all versions.
	Tracker struct {
		Instance string // of this daemon
		Limits   Limits
		// SlackPart returns the rank of this daemon among all, and their number.
		SlackPart func() (rank, daemons int)

		mu       sync.Mutex
		listed   bool
		upgrades map[string]*upgrade // latest order by pool
		versions map[string]map[string]*versionEntry
		running  map[sideKey]int64
		// The sets of versions by pool are replaced, never changed, because views share them.
		barred   map[string]map[string]bool // get nothing
		admitted map[string]map[string]bool // may be used without an order
	}

	// versionEntry is a version of a pool's endpoints.
	versionEntry struct {
		seenAt     time.Time
		endpoints  int
		isAdmitted bool // may be used without an order
	}

	sideKey struct{ pool, version string }
)

// unorderedDelay is the time for which a version that appears beside others gets nothing
// until an order names it. A version without an order is an ordinary release.
const unorderedDelay = 4 * time.Second

// minCapacity is the number of endpoints of the new version, as a share of that of the
// others, from which all requests may go to it.
const minCapacity = 0.6

// NewTracker returns a tracker without orders.
func NewTracker(instance string, l Limits, slackPart func() (rank, daemons int)) *Tracker {
	return &Tracker{
		Instance: instance, Limits: l, SlackPart: slackPart, upgrades: map[string]*upgrade{},
		barred: map[string]map[string]bool{}, admitted: map[string]map[string]bool{}, versions: map[string]map[string]*versionEntry{}, running: map[sideKey]int64{},
	}
}

// HasSynced reports whether the orders were read at least once.
func (t *Tracker) HasSynced() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

// Replace replaces all orders by a complete list of the store. Pools in kept have an entry
// that can't be read; their orders stay as they are. It returns the names of the pools
// whose order was removed.
func (t *Tracker) Replace(orders []Order, kept []string, now time.Time) (removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isFirst := !t.listed
	t.listed = true
	seen := map[string]bool{}
	for _, pool := range kept {
		seen[pool] = true
	}
	for _, o := range orders {
		seen[o.Pool] = true
		t.put(o, isFirst, now)
	}
	for pool := range t.upgrades {
		if !seen[pool] {
			t.remove(pool)
			removed = append(removed, pool)
		}
	}
	return removed
}

// Put adds or changes the order of a pool and reports whether it is a new one.
func (t *Tracker) Put(o Order, now time.Time) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(o, false, now)
}

// Remove removes the order of a pool. The new version gets nothing any more, unless the
// order was completed.
func (t *Tracker) Remove(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(pool)
}

func (t *Tracker) put(o Order, isInherited bool, now time.Time) (isNew bool) {
	u, ok := t.upgrades[o.Pool]
	isNew = !ok || u.order.id() != o.id()
	if ok && o.Revision < u.order.Revision {
		return false // told late
	}
	if isNew {
		if ok && u.order.To != o.To {
			t.remove(o.Pool)
		}
		t.unbar(o.Pool, o.To)
		u = newUpgrade(o, isInherited, now)
		t.upgrades[o.Pool] = u
	}
	u.order = o
	if s := o.state(); s.IsFinal() && u.state != s {
		// The store decides also where this daemon has decided otherwise.
		u.state, u.reason = s, "as stored"
	}
	t.applyState(u)
	return isNew
}

func (t *Tracker) remove(pool string) {
	u, ok := t.upgrades[pool]
	if !ok {
		return
	}
	delete(t.upgrades, pool)
	if u.state != StateCompleted {
		t.bar(pool, u.order.To)
	}
}

// applyState bars the versions that an order with a final state excludes.
func (t *Tracker) applyState(u *upgrade) {
	pool := u.order.Pool
	switch u.state {
	case StateRolledBack:
		t.bar(pool, u.order.To)
	case StateCompleted:
		t.unbar(pool, u.order.To)
		t.admit(pool, u.order.To)
		for version := range t.versions[pool] {
			if version != u.order.To {
				t.bar(pool, version)
			}
		}
	}
}

func (t *Tracker) bar(pool, version string) {
	barred := map[string]bool{version: true}
	maps.Copy(barred, t.barred[pool])
	t.barred[pool] = barred
}

func (t *Tracker) unbar(pool, version string) {
	if !t.barred[pool][version] {
		return
	}
	barred := maps.Clone(t.barred[pool])
	delete(barred, version)
	t.barred[pool] = barred
}

// SetVersions records the number of a pool's serving endpoints by version. A version that
// appears beside others is admitted once an order names it or after unorderedDelay.
func (t *Tracker) SetVersions(pool string, endpoints map[string]int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, isKnown := t.versions[pool]
	if !isKnown {
		known = map[string]*versionEntry{}
		t.versions[pool] = known
	}
	hasAdmitted := false
	for v := range endpoints {
		hasAdmitted = hasAdmitted || known[v] != nil && known[v].isAdmitted
	}
	for v := range endpoints {
		x, ok := known[v]
		if !ok {
			x = &versionEntry{seenAt: now}
			known[v] = x
		}
		if !isKnown || !hasAdmitted || t.isCompletedTo(pool, v) || now.Sub(x.seenAt) >= unorderedDelay {
			x.isAdmitted = true
		}
	}
	t.forgetVersions(pool, endpoints)
	admitted := map[string]bool{}
	for v, x := range known {
		x.endpoints, admitted[v] = endpoints[v], x.isAdmitted
	}
	t.admitted[pool] = admitted
}

// isCompletedTo reports whether a pool has moved to a version.
func (t *Tracker) isCompletedTo(pool, version string) bool {
	u, ok := t.upgrades[pool]
	return ok && u.state == StateCompleted && u.order.To == version
}

func (t *Tracker) admit(pool, version string) {
	x, ok := t.versions[pool][version]
	if !ok || x.isAdmitted {
		return
	}
	x.isAdmitted = true
	admitted := map[string]bool{version: true}
	for v, isAdmitted := range t.admitted[pool] {
		admitted[v] = admitted[v] || isAdmitted
	}
	t.admitted[pool] = admitted
}

// forgetVersions forgets versions without endpoints: those that were never admitted and,
// after a completed order, the old ones. Endpoints that start again with an old version are
// an ordinary release.
func (t *Tracker) forgetVersions(pool string, endpoints map[string]int) {
	u, ok := t.upgrades[pool]
	isCompleted := ok && u.state == StateCompleted
	for v, x := range t.versions[pool] {
		if endpoints[v] > 0 || x.isAdmitted && !isCompleted {
			continue
		}
		delete(t.versions[pool], v)
		if isCompleted && v != u.order.To {
			t.unbar(pool, v)
		}
	}
}

// View returns which versions of a pool a request on a route may use now.
func (t *Tracker) View(pool, route string, now time.Time) View {
	if t == nil {
		return View{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewLocked(pool, route, now)
}

func (t *Tracker) viewLocked(pool, route string, now time.Time) View {
	v := View{isLimited: true, barred: t.barred[pool], admitted: t.admitted[pool]}
	if u, ok := t.upgrades[pool]; ok && u.isRunning() {
		v.isRunning, v.to, v.share = true, u.order.To, t.Limits.Share
		v.mayUseNew, v.isSwitched = t.isAlone(u) || u.mayUseNew(t.Limits, t.slackPart(), route, now), u.isRouteSwitched(route, now)
	}
	return v
}

// isAlone reports whether no other version has been serving the pool of an order.
func (t *Tracker) isAlone(u *upgrade) bool {
	known := t.versions[u.order.Pool]
	return len(known) == 1 && known[u.order.To] != nil
}

// hasCapacity reports whether enough endpoints of the new version serve for all requests.
func (t *Tracker) hasCapacity(u *upgrade) bool {
	before, after := 0, 0
	for v, x := range t.versions[u.order.Pool] {
		if v == u.order.To {
			after = x.endpoints
		} else {
			before += x.endpoints
		}
	}
	return after > 0 && float64(after) >= minCapacity*float64(before)
}

// slackPart returns this daemon's part of the slack. The parts differ, so that daemons with
// few requests do not all round down at the same time; their sum is the whole.
func (t *Tracker) slackPart() float64 {
	rank, n := t.SlackPart()
	if n <= 0 || rank < 0 || rank >= n {
		return 0
	}
	mean := observedSlack * float64(t.Limits.Slack) / float64(n)
	spread := math.Min(1, 2*mean)
	return mean - spread/2 + spread*(float64(rank)+0.5)/float64(n)
}
