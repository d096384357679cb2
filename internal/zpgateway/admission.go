package zpgateway

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpforecast"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// forecast is what a daemon knows of one line: the requests that compete for the same
// endpoints. The lock of the queue must be held.
type forecast struct {
	pace    zpforecast.Pace
	leads   map[int]*zpforecast.Lead // by priority
	returns zpforecast.Returns
	shares  zpforecast.Shares
	over    map[string]bool // workspaces that ask for more than their share
	started float64         // work that has started since the last pass
}

// forecastInterval is the interval between two forecasts of all queued requests.
const forecastInterval = 50 * time.Millisecond

// returnedPercent is the share of its route's time below which a caller's time is taken for
// the rest after an earlier attempt.
const returnedPercent = 90

// maxLeadDivisor divides an objective into the longest lead that counts. Were all of it
// taken, no request could meet its objective, and the oldest would go first.
const maxLeadDivisor = 2

// lineOf returns the line of a request: its pool, and the regions that it is limited to.
func (g *Gateway) lineOf(j *job) string {
	regions := g.regionsOf(j)
	if regions.IsEmpty() {
		return j.pool.Name
	}
	return j.pool.Name + "/" + regions.String()
}

// workOf returns the work that a request is at least: the tokens of its prompt that no other
// request shares, or one request to a plain service.
func workOf(j *job) float64 {
	if p := j.request.Prompt; p != nil {
		return float64(max(p.Tokens-p.SharedTokens(), 1))
	}
	return 1
}

// hasReturned reports whether the caller seems to have spent part of its time on an earlier
// attempt: it waits for clearly less time than its route allows. A caller that always waits
// for less is taken for one that has returned, which only makes its refusal less likely.
func hasReturned(j *job) bool {
	return j.request.Timeout > 0 && j.request.Timeout < j.route.Timeout*returnedPercent/100
}

// forecast returns the forecast of a request's line; the lock must be held.
func (q *waitQueue) forecast(j *job) *forecast {
	f, ok := q.forecasts[j.line]
	if !ok {
		if q.forecasts == nil {
			q.forecasts = map[string]*forecast{}
		}
		f = &forecast{leads: map[int]*zpforecast.Lead{}}
		q.forecasts[j.line] = f
	}
	return f
}

// leadOf returns by how much a request that starts now is expected to exceed its service
// time; the lock must be held.
func (q *waitQueue) leadOf(j *job, now time.Time) time.Duration {
	l, ok := q.forecast(j).leads[j.priority()]
	if !ok {
		return 0
	}
	return min(l.Excess(now), j.route.TargetLatency/maxLeadDivisor)
}

// recordLead records how long a run took to its first event.
func (g *Gateway) recordLead(j *job, c choice, took time.Duration) {
	idle := time.Duration(0)
	if j.request.Prompt != nil {
		idle = engineStartTime + time.Duration(c.prefillTokens()/max(g.Rates.PrefillPerMS, 1))*time.Millisecond + c.candidate.FetchTime
	}
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	leads := g.queue.forecast(j).leads
	l, ok := leads[j.priority()]
	if !ok {
		l = &zpforecast.Lead{}
		leads[j.priority()] = l
	}
	l.Record(took, idle, g.Clock())
}

// enqueue adds a request to the queue; the lock must be held.
func (g *Gateway) enqueue(e *queueEntry) {
	w := e.Value
	w.isLate = !e.CanMeetObjective(w.enqueuedAt)
	w.waits = g.countWaiting(w)
	w.waitsOf = g.Usage.Begin(zpusage.WaitingOfKey(w.job.line, w.job.workspaceName()), int(workOf(w.job)), 0)
	g.queue.waiters.Add(e)
}

// dequeue removes a request from the queue and reports whether it was queued; the lock must
// be held.
func (g *Gateway) dequeue(e *queueEntry) bool {
	if !g.queue.waiters.Remove(e) {
		return false
	}
	e.Value.endWait()
	return true
}

// endWait ends the counting of a request that is no longer queued.
func (w *waiter) endWait() {
	w.waits.End()
	w.waitsOf.End()
}

func (g *Gateway) countWaiting(w *waiter) *zpusage.RunningRequest {
	return g.Usage.Begin(zpusage.WaitingKey(w.job.line, w.job.priority(), w.isLate), int(workOf(w.job)), 0)
}

// forecastQueue updates what changes while requests are queued, and refuses those that can no
// longer be served before their deadline; the lock must be held.
func (g *Gateway) forecastQueue(now time.Time) {
	if now.Sub(g.queue.forecastAt) < forecastInterval {
		return
	}
	g.queue.forecastAt = now
	entries := g.queue.waiters.Ordered(now)
	ahead := map[string]float64{} // by line
	for _, e := range entries {
		w := e.Value
		f := g.queue.forecast(w.job)
		if _, seen := ahead[w.job.line]; !seen {
			f.pace.Record(f.started, now)
			f.started, ahead[w.job.line] = 0, 0
			g.updateOver(f, w.job.line, entries, now)
		}
		g.updateEntry(e, now)
		wait := zpforecast.Wait{Ahead: ahead[w.job.line], Service: e.ServiceTime, Left: e.Deadline.Sub(now), HasReturned: hasReturned(w.job), IsQueued: true}
		v := zpforecast.Decide(wait, &f.pace, now)
		if v.Reason == zpforecast.ReasonNone {
			ahead[w.job.line] += workOf(w.job)
			continue
		}
		g.dequeue(e)
		w.result <- placement{err: g.refuse(w.job, f, wait, v, now)}
	}
}

// updateEntry updates the lead of a queued request and under which key it is counted.
func (g *Gateway) updateEntry(e *queueEntry, now time.Time) {
	w := e.Value
	e.Lead, e.IsOver = g.queue.leadOf(w.job, now), g.isOver(w.job)
	if isLate := !e.CanMeetObjective(now); isLate != w.isLate {
		w.waits.End()
		w.isLate = isLate
		w.waits = g.countWaiting(w)
	}
}

// refuseHopeless returns an error if a request that would have to wait cannot be served
// before its deadline; the lock must be held.
func (g *Gateway) refuseHopeless(e *queueEntry, now time.Time) error {
	f := g.queue.forecast(e.Value.job)
	wait, v := g.decideWait(e, f, now)
	if v.Reason == zpforecast.ReasonNone {
		return nil
	}
	return g.refuse(e.Value.job, f, wait, v, now)
}

// decideWait decides whether a request that would have to wait can be served before its
// deadline; the lock must be held.
func (g *Gateway) decideWait(e *queueEntry, f *forecast, now time.Time) (zpforecast.Wait, zpforecast.Verdict) {
	j := e.Value.job
	wait := zpforecast.Wait{
		Ahead: g.queue.waiters.SumAhead(e, now, sameLine(j)), Service: e.ServiceTime, Left: e.Deadline.Sub(now), HasReturned: hasReturned(j),
		FleetAhead: g.fleetAhead(j, now), Capacity: g.capacityOf(j, now),
	}
	v := zpforecast.Decide(wait, &f.pace, now)
	if v.Reason == zpforecast.ReasonNone && g.queue.waiters.Len() >= maxQueuedRequests {
		v.Reason = zpforecast.ReasonFull
	}
	return wait, v
}

// refuseExpired returns the error for a queued request whose first event can no longer come in
// time. Its caller may have time left for another attempt; the lock must be held.
func (g *Gateway) refuseExpired(e *queueEntry, now time.Time) *zperror.Error {
	j := e.Value.job
	if !e.Deadline.Before(j.deadline) {
		return errDeadlinePassed
	}
	f := g.queue.forecast(j)
	wait := zpforecast.Wait{Ahead: g.queue.waiters.SumAhead(e, now, sameLine(j)), Service: e.ServiceTime, Left: e.Deadline.Sub(now)}
	v := zpforecast.Decide(wait, &f.pace, now)
	v.Reason = zpforecast.ReasonLeaves
	return g.refuse(j, f, wait, v, now)
}

// refuse returns the error for a request that cannot be served in time, and logs the numbers
// behind it.
func (g *Gateway) refuse(j *job, f *forecast, wait zpforecast.Wait, v zpforecast.Verdict, now time.Time) *zperror.Error {
	after := f.returns.Plan(zpforecast.Return{
		Rank: j.priority(), Work: workOf(j), Room: v.Start, PerSecond: v.PerSecond, Left: j.remaining(now), Random: g.Random(),
	}, now)
	g.Log.Emit(zplog.RequestHopeless, g.logFields(j, zplog.Fields{
		"reason": v.Reason.String(), "start_ms": v.Start.Milliseconds(), "service_ms": wait.Service.Milliseconds(),
		"ahead": int(wait.Ahead), "fleet_ahead": int(wait.FleetAhead), "capacity_s": int(wait.Capacity), "pace_s": int(v.PerSecond),
		"waiting": g.queue.waiters.Len(), "retry_after_ms": after.Milliseconds(),
	}))
	g.Metrics.Hopeless.WithLabelValues(j.route.Name, v.Reason.String()).Inc()
	return errOverloaded.WithRetryAfter(after)
}

// sameLine returns the work of a queued request if it is in the line of j, and zero otherwise.
func sameLine(j *job) func(w *waiter) float64 {
	return func(w *waiter) float64 {
		if w.job.line != j.line {
			return 0
		}
		return workOf(w.job)
	}
}

// fleetAhead returns the work that waits at all daemons, can still meet its objective and is
// as urgent as a request or more.
func (g *Gateway) fleetAhead(j *job, now time.Time) float64 {
	sum := 0
	for priority := range j.priority() + 1 {
		sum += g.Usage.Total(zpusage.WaitingKey(j.line, priority, false), now).PrefillTokens
	}
	return float64(sum)
}

// isOver reports whether the workspace of a request had more of what waits in the fleet than
// its share at the latest forecast. Nobody has while nothing waits here.
func (g *Gateway) isOver(j *job) bool {
	return g.queue.waiters.Len() > 0 && g.queue.forecast(j).over[j.workspaceName()]
}

// updateOver finds out which workspaces with requests in the line of a queued request have
// more of what waits in the fleet than their share.
func (g *Gateway) updateOver(f *forecast, line string, entries []*queueEntry, now time.Time) {
	total := g.Usage.Total(zpusage.WaitingKey(line, 0, true), now).PrefillTokens
	for priority := range lowestPriority + 1 {
		total += g.Usage.Total(zpusage.WaitingKey(line, priority, false), now).PrefillTokens
	}
	f.over = map[string]bool{}
	for _, e := range entries {
		name := e.Value.job.workspaceName()
		if _, seen := f.over[name]; seen || e.Value.job.line != line {
			continue
		}
		waiting := g.Usage.Total(zpusage.WaitingOfKey(line, name), now).PrefillTokens
		f.over[name] = f.shares.IsOver(name, float64(waiting), float64(total), now)
	}
}

// capacityOf returns the most work per second that the endpoints of a request can start.
func (g *Gateway) capacityOf(j *job, now time.Time) float64 {
	regions, sum := g.regionsOf(j), 0.0
	for _, e := range g.Registry.Serving(j.pool.Name, now) {
		switch {
		case !regions.Allows(e.Region):
		case j.request.Prompt != nil:
			sum += float64(g.Rates.PrefillPerMS) * float64(time.Second/time.Millisecond)
		case g.Rates.ServiceTime > 0:
			sum += float64(max(e.Slots, 1)) * float64(time.Second) / float64(g.Rates.ServiceTime)
		}
	}
	return sum
}

// returnAfter returns when the caller of a request that endpoints turned away should return.
func (g *Gateway) returnAfter(j *job) time.Duration {
	now := g.Clock()
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	f := g.queue.forecast(j)
	ahead := g.queue.waiters.SumAhead(&queueEntry{Rank: j.priority(), ArrivedAt: now, Objective: j.route.TargetLatency, Deadline: j.deadline}, now, sameLine(j))
	v := zpforecast.Decide(zpforecast.Wait{Ahead: ahead, Left: j.firstEventBy().Sub(now), FleetAhead: g.fleetAhead(j, now), Capacity: g.capacityOf(j, now)}, &f.pace, now)
	return f.returns.Plan(zpforecast.Return{
		Rank: j.priority(), Work: workOf(j), Room: v.Start, PerSecond: v.PerSecond, Left: j.remaining(now), Random: g.Random(),
	}, now)
}
