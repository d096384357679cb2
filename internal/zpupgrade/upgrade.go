package zpupgrade

import (
	"math"
	"time"
)

// upgrade is what a daemon knows of one order.
type upgrade struct {
	order     Order
	orderedAt time.Time // as far as this daemon knows; other daemons may know better
	// isInherited means that the order is older than this daemon. What earlier instances
	// have sent is unknown and counts as if they had used their part of the slack.
	isInherited bool
	state       State // also before the store knows it; a final one does not change
	reason      string
	own         Report
	ownEvidence *evidence
	fleet       *evidence // what judges are told
	contactAt   time.Time // when a judge last answered, or this daemon was one
	share       float64
	sentBefore  int64                    // requests sent at switchedAt, by all daemons
	switchedAt  time.Time                // when the leading judge last planned the switch
	isPaused    bool                     // the switch waits for the deadline, so as not to exceed the limits
	answersAt   int64                    // answers of the new version that were known at the switch
	switchAt    time.Time                // zero: not planned
	leads       map[string]time.Duration // how much sooner a route is switched; replaced, never changed
	verdict     Verdict
	sampled     int64 // requests sent at sampledAt, by all daemons
	sampledAt   time.Time
	latestRate  float64 // requests per second before sampledAt
	focus       string  // route that the verdict waits for; empty: none
	isStopped   bool    // by this daemon's own evidence
	routes      map[string]*routeSends
}

// routeSends counts the requests that this daemon has sent on one route.
type routeSends struct{ sent, sentNew int64 }

const (
	// firstShare, lowShare and fullShare are the steps of the share of requests that the new
	// version gets, as shares of Limits.Share. What fullShare leaves is for the switch.
	firstShare = 0.1
	lowShare   = 0.3
	fullShare  = 0.5
	// lowShareAnswers and fullShareAnswers are how many answers of the new version must be
	// known, without signs of a fault, before each step.
	lowShareAnswers  = 5
	fullShareAnswers = 15
	// observedSlack is the share of Limits.Slack that is used before the switch.
	observedSlack = 0.6

	// contactTimeout is the time after the last answer of a judge for which the new version
	// gets requests.
	contactTimeout = 2 * time.Second

	// switchMargin is the share of the fleet's remaining requests that the switch is planned
	// with. It leaves room for traffic that rises.
	switchMargin = 0.65
	// reportTime is the time that the switch of a route takes besides its requests: until the
	// daemons have told the judges that none runs on old versions, and completionMargin.
	reportTime = 300 * time.Millisecond
	// loadAnswers is how many answers of the new version must be known after the switch: some
	// faults show only under load.
	loadAnswers = 20
	// endFactor is how many times the mean time of its requests a route gets for them to end.
	endFactor = 3
	// learnTime is the time in which all daemons have learned of a decision, with room for
	// traffic that has risen since the rate was measured.
	learnTime = 350 * time.Millisecond
	// minRateTime is the time after the switch from which the rate since it is measured.
	minRateTime = 100 * time.Millisecond
	// switchNotice is the time before the switch from which it counts as coming soon.
	switchNotice = 250 * time.Millisecond
	// rateInterval is the time over which the latest rate of requests is measured.
	rateInterval = time.Second
	// maxExtension is how much longer than planned the switch of a route is if enough
	// requests are left.
	maxExtension = 1.2
	// maxSwitch and maxSwitchShare bound the time between the switch and the deadline.
	maxSwitch      = 5 * time.Second
	maxSwitchShare = 0.25
	// minSwitch is the shortest time in which the old versions' requests usually end and the
	// daemons tell the judges so.
	minSwitch = 250 * time.Millisecond
	// completionMargin is the time that is left before the deadline to write the status.
	completionMargin = 200 * time.Millisecond
	// reportTimeout is the age of its last report from which a daemon counts as cut off.
	reportTimeout = 1500 * time.Millisecond
	// maxDoubt is how long after the deadline a verdict that was good before the switch may
	// be open.
	maxDoubt = time.Second
	// maxOverrun is how long after the deadline requests on old versions may still end.
	maxOverrun = 30 * time.Second
)

func newUpgrade(o Order, isInherited bool, now time.Time) *upgrade {
	return &upgrade{
		order: o, orderedAt: now, isInherited: isInherited, state: StateRunning, ownEvidence: newEvidence(), fleet: newEvidence(),
		contactAt: now, share: firstShare, routes: map[string]*routeSends{},
	}
}

func (u *upgrade) deadline() time.Time { return u.orderedAt.Add(u.order.Within) }

func (u *upgrade) isRunning() bool { return u.state == StateRunning }

// isSwitched reports whether all requests go to the new version.
func (u *upgrade) isSwitched(now time.Time) bool { return u.isSwitchedAfter(0, now) }

// isRouteSwitched reports whether all requests on a route go to the new version.
func (u *upgrade) isRouteSwitched(route string, now time.Time) bool {
	return u.isSwitchedAfter(u.leads[route], now)
}

func (u *upgrade) isSwitchedAfter(lead time.Duration, now time.Time) bool {
	if !u.isRunning() || u.isStopped || u.switchAt.IsZero() || !u.hasContact(now) {
		return u.state == StateCompleted
	}
	return !now.Before(u.switchAt.Add(-lead))
}

// isHeldBack reports whether the leading judge, which may be another daemon, has planned a
// switch that is still to come. Shortly before the deadline, only one that it has paused is.
func (u *upgrade) isHeldBack(now time.Time) bool {
	return u.isRunning() && !u.isStopped && u.hasContact(now) && now.Before(u.switchAt)
}

func (u *upgrade) hasContact(now time.Time) bool { return now.Sub(u.contactAt) < contactTimeout }

// mayUseNew reports whether this daemon may send one more request, on a route, to the new
// version. slack is its part of the fleet's.
func (u *upgrade) mayUseNew(l Limits, slack float64, route string, now time.Time) bool {
	switch {
	case u.isRouteSwitched(route, now):
		return true
	case !u.isRunning() || u.isStopped || !u.hasContact(now) || !now.Before(u.deadline()):
		return false
	}
	if u.isInherited {
		slack = 0
	}
	left := int64(math.Floor(u.share*l.Share*float64(u.own.Sent)+slack)) - u.own.SentNew
	return left > 1 || left == 1 && u.isBehind(route)
}

// isBehind reports whether the verdict waits for a route or, if it waits for none, whether
// the route has had no more than its part of the requests to the new version, if each common
// route has the same. Otherwise the rarer ones would get too few for a verdict.
func (u *upgrade) isBehind(route string) bool {
	if u.focus != "" {
		return route == u.focus
	}
	common := int64(0)
	for _, r := range u.routes {
		if float64(r.sent) >= commonRouteShare*float64(u.own.Sent) {
			common++
		}
	}
	r, ok := u.routes[route]
	return !ok || r.sentNew*common <= u.own.SentNew
}

func (u *upgrade) countSend(route string, isNew bool, n int64) {
	r, ok := u.routes[route]
	if !ok {
		if len(u.routes) >= maxRoutesCounted {
			route = ""
		}
		r = &routeSends{}
		u.routes[route] = r
	}
	u.own.Sent, r.sent = u.own.Sent+n, r.sent+n
	if isNew {
		u.own.SentNew, r.sentNew = u.own.SentNew+n, r.sentNew+n
	}
}

// end gives the order a final state, unless it has one.
func (u *upgrade) end(s State, reason string) bool {
	if u.state.IsFinal() {
		return false
	}
	u.state, u.reason = s, reason
	return true
}

// learnAge takes over an age that another daemon knows; the oldest counts.
func (u *upgrade) learnAge(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.Before(u.orderedAt) {
		u.orderedAt = at
	}
}

// judge updates the verdict from the fleet's evidence.
func (u *upgrade) judge() {
	if u.verdict = u.fleet.verdict(); u.verdict.Kind == VerdictBad {
		u.end(StateRolledBack, u.verdict.Reason)
	}
}

// plan updates the share and the time of the switch.
func (u *upgrade) plan(l Limits, hasCapacity bool, now time.Time) {
	newAnswers := u.fleet.newAnswers()
	switch {
	case newAnswers >= fullShareAnswers:
		u.share, u.focus = u.observedShare(l, now), u.verdict.Route
	case newAnswers >= lowShareAnswers:
		u.share = lowShare
	}
	if u.isPaused {
		return
	}
	if !u.isSwitched(now) {
		u.sentBefore, _ = u.fleet.sums()
		u.switchedAt = now
	}
	if u.isSwitched(now) && u.wouldExceed(l, now) {
		u.isPaused, u.switchAt, u.leads = true, u.deadline(), nil
		return
	}
	// A plan is not changed once a route is switched, unless the verdict is open again.
	if u.switchAt.IsZero() || now.Before(u.firstSwitchAt()) || u.verdict.Kind != VerdictGood && now.Before(u.switchAt) {
		u.planSwitch(l, now)
		if !hasCapacity {
			u.switchAt, u.leads = time.Time{}, nil
		}
	}
}

// wouldExceed reports whether the new version might get more than the limits allow before
// the daemons could learn of it, because traffic has risen since the switch was planned.
func (u *upgrade) wouldExceed(l Limits, now time.Time) bool {
	left := min(u.deadline().Sub(now), learnTime)
	if left <= 0 {
		return false
	}
	sent, sentNew := u.fleet.sums()
	perSecond := u.perSecond(now)
	if elapsed := now.Sub(u.switchedAt); elapsed >= minRateTime {
		// One standard error above the estimate.
		since := float64(max(sent-u.sentBefore, 0))
		perSecond = max(perSecond, (since+math.Sqrt(since))/elapsed.Seconds())
	}
	return float64(sentNew)+perSecond*left.Seconds() > l.Share*float64(sent)+float64(l.Slack)
}

// firstSwitchAt returns when the first route is switched.
func (u *upgrade) firstSwitchAt() time.Time {
	lead := time.Duration(0)
	for _, x := range u.leads {
		lead = max(lead, x)
	}
	return u.switchAt.Add(-lead)
}

// perSecond returns the rate of requests to the pool: the average since the order or the
// latest, whichever is higher.
func (u *upgrade) perSecond(now time.Time) float64 {
	age := now.Sub(u.orderedAt)
	if age <= 0 {
		return 0
	}
	sent, _ := u.fleet.sums()
	if elapsed := now.Sub(u.sampledAt); elapsed >= rateInterval {
		if !u.sampledAt.IsZero() {
			u.latestRate = float64(sent-u.sampled) / elapsed.Seconds()
		}
		u.sampled, u.sampledAt = sent, now
	}
	return max(float64(sent)/age.Seconds(), u.latestRate)
}

// observedShare returns the share that leaves enough requests for the switch.
func (u *upgrade) observedShare(l Limits, now time.Time) float64 {
	perSecond := u.perSecond(now)
	shared := l.Share * perSecond * u.order.Within.Seconds()
	if shared == 0 {
		return lowShare
	}
	_, needed := u.switchTimes(perSecond)
	left := shared + (1-observedSlack)*float64(l.Slack) - needed/switchMargin
	return min(max(left/shared, lowShare), fullShare)
}

// switchTimes returns how long before the deadline each route should be switched, so that
// its requests on old versions have ended, and how many requests arrive in these times.
func (u *upgrade) switchTimes(perSecond float64) (times map[string]time.Duration, requests float64) {
	base := u.baseTime(perSecond)
	times = map[string]time.Duration{}
	longest := min(maxSwitch, time.Duration(maxSwitchShare*float64(u.order.Within)))
	all := int64(0)
	for _, s := range u.fleet.routes {
		all += s.answers()
	}
	for name, s := range u.fleet.routes {
		times[name] = min(base+endFactor*s.total.Old.meanTime(), longest)
		requests += perSecond * float64(s.answers()) / float64(all) * times[name].Seconds()
	}
	return times, requests
}

// baseTime returns the time that the switch takes on each route.
func (u *upgrade) baseTime(perSecond float64) time.Duration {
	longest := min(maxSwitch, time.Duration(maxSwitchShare*float64(u.order.Within)))
	if perSecond <= 0 {
		return longest
	}
	return min(reportTime+time.Duration(loadAnswers/perSecond*float64(time.Second)), longest)
}

// planSwitch plans when all requests should go to the new version: so late that even if it
// then turned out to be bad, it would have got no more than the limits allow. Routes whose
// requests take long are switched sooner, so that these end by the deadline.
func (u *upgrade) planSwitch(l Limits, now time.Time) {
	u.switchAt, u.leads = time.Time{}, nil
	perSecond := u.perSecond(now)
	times, needed := u.switchTimes(perSecond)
	if u.verdict.Kind != VerdictGood || needed == 0 {
		return
	}
	sent, sentNew := u.fleet.sums()
	left := l.Share*float64(sent) + float64(l.Slack) - float64(sentNew)
	shortest := u.baseTime(perSecond)
	base := perSecond * shortest.Seconds()
	// The times beyond the base are stretched or shortened to what is left.
	baseTime := shortest
	stretch := min((switchMargin*left-base)/max(needed-base, 1), maxExtension)
	if stretch < 0 {
		stretch, shortest = 0, time.Duration(switchMargin*left/perSecond*float64(time.Second))
	}
	if shortest < minSwitch {
		return
	}
	u.switchAt, u.leads = u.deadline().Add(-shortest), map[string]time.Duration{}
	for name, t := range times {
		u.leads[name] = max(time.Duration(stretch*float64(t-baseTime)), 0)
	}
}

// hasDrained reports whether no live daemon sends requests to old versions any more and none
// runs there. Shortly before the deadline, daemons that no longer report do not count: they
// have no contact to a judge, or have ended.
func (u *upgrade) hasDrained(live map[string]bool, now time.Time) bool {
	isLate := now.After(u.deadline().Add(-completionMargin))
	for instance := range live {
		r, ok := u.fleet.reports[instance]
		if isLate && now.Sub(u.fleet.reportedAt[instance]) > reportTimeout {
			continue
		}
		if !ok || !r.Switched || r.OldRunning > 0 {
			return false
		}
	}
	return true
}

// conclude ends an order whose time has come. Only the holder of the duty does so. It
// completes none before the deadline, because some faults show only under the load after the
// switch.
func (u *upgrade) conclude(live map[string]bool, now time.Time) bool {
	if !u.isSwitched(now) {
		u.answersAt = u.fleet.newAnswers()
	}
	isKnown := u.fleet.newAnswers()-u.answersAt >= loadAnswers || now.After(u.deadline().Add(maxDoubt))
	isGood, isLate := u.verdict.Kind == VerdictGood, now.After(u.deadline().Add(-completionMargin))
	switch {
	case !u.isRunning():
		return false
	case isGood && isLate && isKnown && u.isSwitched(now) && (u.hasDrained(live, now) || now.After(u.deadline().Add(maxOverrun))):
		return u.end(StateCompleted, u.verdict.Reason)
	case isLate && !u.isSwitched(now) && !u.isHeldBack(now), !isGood && now.After(u.deadline().Add(maxDoubt)):
		return u.end(StateRolledBack, "no good verdict by the deadline: "+u.verdict.Reason)
	}
	return false
}
