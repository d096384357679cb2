package zpupgrade

import "time"

type (
	// Use is one request that is sent to an endpoint of a pool, from the choice of the
	// endpoint to its end. All methods may be called on nil.
	Use struct {
		tracker *Tracker
		upgrade *upgrade // nil: no order is running
		side    sideKey
		route   string
		isNew   bool
		sentAt  time.Time     // zero: not sent
		took    time.Duration // to the first byte; zero: unknown
		ratio   float64       // of took to the expected time
		events  int           // of a stream
		hasEnd  bool
	}

	// Outcome says how the answer to a request counts.
	Outcome int
)

// Possible outcomes.
const (
	OutcomeIgnored Outcome = iota // the endpoint refused, the caller left, or nothing was sent
	OutcomeGood
	OutcomeBad // a failure of the endpoint itself, or no answer in time
)

const (
	// minPaceEvents is the number of events from which a stream has a pace.
	minPaceEvents = 8
	// expectedPace is the time between events that others are compared with.
	expectedPace = 10 * time.Millisecond
)

// Begin counts a request that is about to be sent to a version.
func (t *Tracker) Begin(pool, version, route string) *Use {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := &Use{tracker: t, side: sideKey{pool, version}, route: route}
	t.running[x.side]++
	if u, ok := t.upgrades[pool]; ok && u.isRunning() {
		x.upgrade, x.isNew = u, version == u.order.To
		u.countSend(route, x.isNew, 1)
	}
	return x
}

// IsNew reports whether the request goes to the version that its pool moves to.
func (x *Use) IsNew() bool { return x != nil && x.isNew }

// MaySend reports whether the request may still be sent, just before its first byte. If so,
// it counts as sent.
func (x *Use) MaySend(now time.Time) bool {
	if x == nil {
		return true
	}
	t := x.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewLocked(x.side.pool, x.route, now)
	may := v.Allows(x.side.version)
	if v.IsNew(x.side.version) {
		u := t.upgrades[x.side.pool]
		may = t.isAlone(u) || x.upgrade == u && !u.isStopped && u.hasContact(now)
	}
	if may && x.sentAt.IsZero() {
		x.sentAt = now
	}
	return may
}

// SetFirstByte records the time to the first byte of the answer. Comparing it with the
// expected time makes requests comparable that are not alike.
func (x *Use) SetFirstByte(took, expected time.Duration) {
	if x != nil && expected > 0 {
		x.took, x.ratio = took, took.Seconds()/expected.Seconds()
	}
}

// SetEvents records the number of events of a complete stream.
func (x *Use) SetEvents(n int) {
	if x != nil {
		x.events = n
	}
}

// End ends the request. One that was not sent counts as if it had never begun. Only the
// first call counts.
func (x *Use) End(o Outcome, now time.Time) {
	if x == nil {
		return
	}
	t := x.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.hasEnd {
		return
	}
	x.hasEnd = true
	if t.running[x.side]--; t.running[x.side] <= 0 {
		delete(t.running, x.side)
	}
	switch {
	case x.upgrade == nil:
	case x.sentAt.IsZero():
		x.upgrade.countSend(x.route, x.isNew, -1)
	case o != OutcomeIgnored:
		x.upgrade.own.record(x, o == OutcomeBad, now)
	}
}

// record counts an answer. A report that was sent is not changed: others may still read it.
func (r *Report) record(x *Use, isBad bool, now time.Time) {
	routes := make([]RouteTally, len(r.Routes), len(r.Routes)+1)
	copy(routes, r.Routes)
	i := 0
	for i < len(routes) && routes[i].Route != x.route {
		i++
	}
	if i == len(routes) {
		if i >= maxRoutesCounted {
			return
		}
		routes = append(routes, RouteTally{Route: x.route})
	}
	tally := &routes[i].Old
	if x.isNew {
		tally = &routes[i].New
	}
	tally.Answers++
	tally.Time += now.Sub(x.sentAt)
	if isBad {
		tally.Bad++
	}
	if x.ratio > 0 {
		tally.Speeds[speedClass(x.ratio)]++
	}
	if x.events >= minPaceEvents && x.took > 0 {
		pace := (now.Sub(x.sentAt) - x.took) / time.Duration(x.events-1)
		tally.Paces[speedClass(pace.Seconds()/expectedPace.Seconds())]++
	}
	r.Routes = routes
}
