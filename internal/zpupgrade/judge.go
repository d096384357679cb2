package zpupgrade

import (
	"maps"
	"slices"
	"time"
)

// Role is what this daemon does for an order besides its own part.
type Role struct {
	IsJudge   bool // collects evidence and may roll back
	IsLeading bool // also plans the share and the switch
	IsHolder  bool // also ends orders whose time has come
}

// Change is a change of the state of an order that this daemon has decided or learned.
type Change struct {
	Pool, To string
	State    State
	Reason   string
}

// Step updates the verdicts: that of this daemon's own evidence, and as a judge that of the
// fleet's. live are the instances of the daemons that answered recently.
func (t *Tracker) Step(r Role, live map[string]bool, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for _, pool := range slices.Sorted(maps.Keys(t.upgrades)) {
		u := t.upgrades[pool]
		if !u.isRunning() {
			continue
		}
		if t.judgeOwn(u, now) {
			out = append(out, u.change())
		}
		if r.IsJudge {
			t.judgeFleet(u, r, live, now)
		}
		if !u.isRunning() {
			t.applyState(u)
			out = append(out, u.change())
		}
	}
	return out
}

// judgeOwn adds this daemon's answers to the evidence, and reports whether they have just
// made it stop.
func (t *Tracker) judgeOwn(u *upgrade, now time.Time) bool {
	own := t.report(u, now)
	u.ownEvidence.merge(own, now)
	u.fleet.merge(own, now)
	v := u.ownEvidence.verdict()
	if v.Kind != VerdictBad || u.isStopped {
		return false
	}
	u.isStopped, u.reason = true, v.Reason
	return true
}

func (t *Tracker) judgeFleet(u *upgrade, r Role, live map[string]bool, now time.Time) {
	u.judge()
	if r.IsLeading && u.isRunning() {
		u.plan(t.Limits, t.hasCapacity(u), now)
	}
	switch {
	case !r.IsHolder:
	case t.isAlone(u):
		u.end(StateCompleted, "all endpoints have the version")
	default:
		u.conclude(live, now)
	}
}

func (u *upgrade) change() Change {
	return Change{Pool: u.order.Pool, To: u.order.To, State: u.state, Reason: u.reason}
}

// report returns the report of this daemon about an order.
func (t *Tracker) report(u *upgrade, now time.Time) Report {
	r := u.own
	r.Instance, r.Pool, r.Order, r.Age = t.Instance, u.order.Pool, u.order.id(), now.Sub(u.orderedAt)
	r.Switched, r.Stopped, r.OldRunning = u.isSwitched(now), u.isStopped, 0
	for side, n := range t.running {
		if side.pool == r.Pool && side.version != u.order.To {
			r.OldRunning += n
		}
	}
	return r
}

// Reports returns the reports about all running orders.
func (t *Tracker) Reports(now time.Time) []Report {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, u := range t.upgrades {
		if u.isRunning() {
			out = append(out, t.report(u, now))
		}
	}
	return out
}

// Answer records reports of another daemon and returns what this one has decided.
func (t *Tracker) Answer(reports []Report, now time.Time) []Decision {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Decision
	for _, r := range reports {
		u, ok := t.upgrades[r.Pool]
		if !ok || u.order.id() != r.Order {
			continue
		}
		u.learnAge(r.Age, now)
		if r.Instance != t.Instance {
			u.fleet.merge(r, now)
		}
		d := Decision{Pool: r.Pool, Order: r.Order, Age: now.Sub(u.orderedAt), State: u.state, Reason: u.reason, Share: u.share, Focus: u.focus}
		if !u.switchAt.IsZero() {
			d.SwitchIn, d.HasSwitch, d.Leads = u.switchAt.Sub(now), true, u.leads
		}
		out = append(out, d)
	}
	return out
}

// Learn applies the decisions of a judge. Only those of the first judge in order, which is
// the leading one, plan the share and the switch; each may roll back.
func (t *Tracker) Learn(decisions []Decision, isLeading bool, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for _, d := range decisions {
		u, ok := t.upgrades[d.Pool]
		if !ok || u.order.id() != d.Order {
			continue
		}
		u.learnAge(d.Age, now)
		u.contactAt = now
		if d.State.IsFinal() && u.end(d.State, d.Reason) {
			t.applyState(u)
			out = append(out, u.change())
		}
		if !isLeading || !u.isRunning() {
			continue
		}
		u.share, u.focus, u.switchAt = d.Share, d.Focus, time.Time{}
		if d.HasSwitch {
			u.switchAt, u.leads = now.Add(d.SwitchIn), d.Leads
		}
	}
	return out
}

// IsSwitching reports whether a pool is being switched to its new version, or soon will be.
// Reports are frequent then, so that the requests counted at the switch are recent ones.
func (t *Tracker) IsSwitching(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upgrades {
		if u.isRunning() && u.isSwitchedAfter(switchNotice, now) {
			return true
		}
	}
	return false
}

// SetContact records that this daemon is itself the leading judge and hears most of the others.
func (t *Tracker) SetContact(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upgrades {
		u.contactAt = now
	}
}

// HasRunning reports whether an order has no final state in the store yet.
func (t *Tracker) HasRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.upgrades {
		if !u.order.state().IsFinal() {
			return true
		}
	}
	return false
}

// States returns the states of the latest orders.
func (t *Tracker) States() []Change {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for _, u := range t.upgrades {
		out = append(out, u.change())
	}
	return out
}

// Unwritten returns the orders whose status in the store is not the state decided here,
// with the status to write. A final status in the store is never replaced.
func (t *Tracker) Unwritten() []Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Order
	for _, u := range t.upgrades {
		if s := u.order.state(); s == u.state || s.IsFinal() {
			continue
		}
		o := u.order
		o.Status = Status{State: u.state, To: o.To}
		out = append(out, o)
	}
	return out
}
