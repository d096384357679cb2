package zpsoak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

const (
	// faultSettleTime is how long a daemon and the store must have been free of faults
	// before a time limit applies to the daemon. Faults of endpoints also count for
	// this long after they end.
	faultSettleTime = 3 * time.Second
	// timingTolerance is added to each time limit because of the clock of the test
	// process and the load of the machine: requests are timed on arrival at the
	// endpoint, after the network delay.
	timingTolerance = 300 * time.Millisecond
	// coldRateFactor and coldRateAllowance give the documented limit on the
	// requests that reach a cold endpoint within a second.
	coldRateFactor    = 1.5
	coldRateAllowance = 5
	// retryWindow and retryAllowance give the documented limit on retries.
	retryWindow    = 10 * time.Second
	retryAllowance = 58
	// minServedRatio is the share of requests that must be served within
	// recoveryWindow at the end of the run, when no faults are injected.
	minServedRatio = 0.99
	recoveryWindow = 3 * time.Second
	// maxPartCrashes, stableWindow and maxDeadlySends give the documented limit: after
	// the fifth crash, daemons that have been free of faults for stableWindow send at
	// most three more requests with the deadly part to endpoints.
	maxPartCrashes = 5
	stableWindow   = 4 * time.Second
	maxDeadlySends = 3
	// maxViolations is the number of violations listed for each guarantee.
	maxViolations = 3
)

// evaluate checks the records of clients and endpoints against the guarantees.
func (r *run) evaluate() Outcome {
	runs := r.cluster.log.Runs()
	byRequest := map[string][]zpoutside.Run{}
	for _, x := range runs {
		byRequest[x.Request] = append(byRequest[x.Request], x)
	}
	outcome := Outcome{Faults: len(r.faults.faultWindows), Requests: len(r.requestLog.requests), Runs: len(runs)}
	count := map[string]int{}
	violation := func(guarantee, format string, args ...any) {
		if count[guarantee]++; count[guarantee] <= maxViolations {
			outcome.Violations = append(outcome.Violations, guarantee+": "+fmt.Sprintf(format, args...))
		}
	}
	for _, q := range r.requestLog.requests {
		if q.Status == http.StatusOK && q.Complete {
			outcome.Served++
		}
		r.checkRequest(q, byRequest[q.ID], violation)
	}
	r.checkEventOrder(violation)
	r.checkCanceled(byRequest, violation)
	r.checkTakenOut(runs, violation)
	r.checkColdStart(runs, violation)
	r.checkRetryBudget(runs, violation)
	r.checkDeadlyPart(byRequest, violation)
	r.checkNotices(runs, violation)
	r.checkStranded(&outcome, violation)
	outcome.TakenUp, outcome.Moments = r.countTakenUp()
	r.checkConfiguration(violation)
	r.checkRecovery(violation)
	outcome.Upgraded, outcome.Seams = len(r.faults.upgradedAt), r.countSeams()
	return outcome
}

// reportFunc records a violation of a guarantee.
type reportFunc func(guarantee, format string, args ...any)

// checkRequest checks one request: a booking runs at most once and not at all if
// it is refused, the response is complete and belongs to this request, and a
// graceful stop does not interrupt it.
func (r *run) checkRequest(q request, runs []zpoutside.Run, violation reportFunc) {
	if q.Kind == "book" && len(runs) > 1 {
		violation("at-most-once", "%s ran %d times", q.ID, len(runs))
	}
	if refused := q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests; refused && q.Kind == "book" && len(runs) > 0 {
		violation("not-run", "%s was refused with status %d but ran on %s", q.ID, q.Status, runs[0].Endpoint)
	}
	if q.Status == http.StatusOK && !q.Complete && !q.Interrupted {
		violation("whole-answers", "%s (%s) received %q", q.ID, q.Kind, q.Body[:min(len(q.Body), 80)])
	}
	if q.Status == http.StatusBadRequest && q.Parts != "" && !q.isDeadly() {
		violation("sound-prompts", "%s through daemon %d was refused for good", q.ID, q.Daemon)
	}
	if q.Interrupted && len(runs) > 0 && !q.isDeadly() && !r.isExpectedInterruption(q, runs) {
		violation("graceful-stop", "%s through daemon %d was interrupted after %s although it ran on %s", q.ID, q.Daemon, q.DoneAt.Sub(q.SentAt), runs[0].Endpoint)
	}
}

// checkEventOrder checks the events of each stream over all attempts of its client: none is
// missing, none comes twice, and all are of one software version.
func (r *run) checkEventOrder(violation reportFunc) {
	versionOf := map[string]string{} // by first attempt
	for _, q := range r.requestLog.requests {
		stream := cmp.Or(q.Resumes, q.ID)
		for i, e := range q.Events {
			switch expected := q.ResumeAfter + i + 1; {
			case e.Err != nil:
				violation("event-order", "%s through daemon %d: %v", q.ID, q.Daemon, e.Err)
			case e.Number != expected:
				violation("event-order", "%s through daemon %d received event %d in place of %d, %d events after it was resumed after %d", q.ID, q.Daemon, e.Number, expected, i, q.ResumeAfter)
			case versionOf[stream] != "" && versionOf[stream] != e.Version:
				violation("event-order", "%s through daemon %d received event %d of version %s, the events before were of %s", q.ID, q.Daemon, e.Number, e.Version, versionOf[stream])
			default:
				versionOf[stream] = e.Version
				continue
			}
			break
		}
	}
}

// isExpectedInterruption reports whether a connection may have failed because of
// a fault of the daemon other than a stop, a fault of an endpoint that ran the
// request, a client timeout or cancellation, or the end of the run.
func (r *run) isExpectedInterruption(q request, runs []zpoutside.Run) bool {
	if q.DoneAt.Sub(q.SentAt) >= requestTimeout || q.DoneAt.After(r.endedAt) {
		return true
	}
	if !q.CanceledAt.IsZero() {
		return true
	}
	if r.hasFault(q.SentAt, q.DoneAt, func(t faultWindow) bool {
		return t.Kind == AnswersBreak || t.Kind == StreamsBreak || t.Target == q.Daemon && (t.Kind == DaemonKill || t.Kind == DaemonPause)
	}) {
		return true
	}
	for _, x := range runs {
		if r.isBrokenByPartition(q, x) {
			return true
		}
		n := r.endpointOf(x)
		if r.hasFault(q.SentAt.Add(-faultSettleTime), q.DoneAt, func(t faultWindow) bool { return t.Target == n && isEndpointFault(t.Kind) }) {
			return true
		}
	}
	return false
}

// endpointOf returns the index of the endpoint that ran a request, or -1 if its ID
// has another format.
func (r *run) endpointOf(x zpoutside.Run) int {
	var n, incarnation int
	if _, err := fmt.Sscanf(x.Endpoint, "i-%d-%d", &n, &incarnation); err != nil {
		return -1
	}
	return n
}

func isEndpointFault(k Kind) bool {
	return slices.Contains([]Kind{EndpointCut, EndpointMute, EndpointReset, EndpointSlow, EndpointCrash}, k)
}

// hasFault reports whether a matching fault was active between from and to.
func (r *run) hasFault(from, to time.Time, match func(faultWindow) bool) bool {
	for _, t := range r.faults.faultWindows {
		if match(t) && t.From.Before(to) && (t.To.IsZero() || t.To.After(from)) {
			return true
		}
	}
	return false
}

// receivesChanges reports whether a daemon could receive changes from the store
// during the whole period.
func (r *run) receivesChanges(daemon int, from, to time.Time) bool {
	if r.hasFault(from.Add(-stableWindow), to, func(t faultWindow) bool { return t.Kind == StoreSilent && t.Target == daemon }) {
		return false
	}
	return !r.hasFault(from.Add(-faultSettleTime), to, func(t faultWindow) bool {
		switch t.Kind {
		case DaemonStop, DaemonKill, DaemonPause, StoreCut, StoreOneWay, StoreReset:
			return t.Target == daemon
		case StoreDown, StoreSlow, StoreRestore:
			return true
		default:
			return false
		}
	})
}

// checkTakenOut checks that failure domains and endpoints that were taken out
// receive no new work after the time limit.
func (r *run) checkTakenOut(runs []zpoutside.Run, violation reportFunc) {
	requests := map[string]request{}
	for _, q := range r.requestLog.requests {
		requests[q.ID] = q
	}
	check := func(list []change, bound time.Duration, matches func(zpoutside.Run, string) bool, what string) {
		for _, c := range list {
			for _, x := range runs {
				isLate := x.At.After(c.From.Add(bound+timingTolerance)) && (c.To.IsZero() || x.At.Before(c.To))
				q, known := requests[x.Request]
				if isLate && known && matches(x, c.Name) && r.receivesChanges(q.Daemon, c.From, x.At) && !r.mayBeDelayed(x, x.At) && !r.mayBeHeld(q, x, x.At) {
					violation("out-of-service", "%s ran on %s %s after %s was taken out (%s)", x.Request, x.Endpoint, x.At.Sub(c.From), c.Name, what)
				}
			}
		}
	}
	check(r.faults.evacuated, zpoutside.EvacuateMS*time.Millisecond, func(x zpoutside.Run, name string) bool { return x.Domain == name }, "evacuation")
	check(r.faults.drained, zpoutside.DrainMS*time.Millisecond, func(x zpoutside.Run, name string) bool { return x.Endpoint == name }, "draining")
}

// mayBeDelayed reports whether a request, or data that followed it before until,
// may have been delayed on the link to the endpoint.
func (r *run) mayBeDelayed(x zpoutside.Run, until time.Time) bool {
	n := r.endpointOf(x)
	return r.hasFault(x.At.Add(-faultSettleTime), until, func(t faultWindow) bool { return t.Target == n && isEndpointFault(t.Kind) })
}

// checkColdStart checks how many requests each endpoint received within any
// second while it was cold.
func (r *run) checkColdStart(runs []zpoutside.Run, violation reportFunc) {
	cold := map[string][]time.Time{}
	for _, x := range runs {
		if x.Cold {
			cold[x.Endpoint] = append(cold[x.Endpoint], x.At)
		}
	}
	bound := int(coldPerSecond*coldRateFactor + coldRateAllowance)
	for id, times := range cold {
		for i := range times {
			n := 0
			for _, t := range times[i:] {
				if t.Sub(times[i]) < time.Second {
					n++
				}
			}
			if n > bound {
				violation("cold-start", "%s received %d requests within a second while cold; the limit is %d", id, n, bound)
				break
			}
		}
	}
}

// checkRetryBudget checks that retries stay within a share of the first attempts.
func (r *run) checkRetryBudget(runs []zpoutside.Run, violation reportFunc) {
	hasRun := map[string]bool{}
	type attempt struct {
		at      time.Time
		isRetry bool
	}
	var attempts []attempt
	for _, x := range runs {
		attempts = append(attempts, attempt{x.At, hasRun[x.Request]})
		hasRun[x.Request] = true
	}
	for i := range attempts {
		first, retries := 0, 0
		for _, m := range attempts[i:] {
			if m.at.Sub(attempts[i].at) > retryWindow {
				break
			}
			if m.isRetry {
				retries++
			} else {
				first++
			}
		}
		if float64(retries) > zpoutside.BudgetRatio*float64(first)+retryAllowance {
			violation("retry-budget", "%d retries for %d first attempts within %s", retries, first, retryWindow)
			return
		}
	}
}

// checkDeadlyPart checks that requests with the part that crashes endpoints are no
// longer sent to endpoints once it has crashed several.
func (r *run) checkDeadlyPart(runs map[string][]zpoutside.Run, violation reportFunc) {
	if len(r.faults.partCrashes) < maxPartCrashes {
		return
	}
	lastAllowed := r.faults.partCrashes[maxPartCrashes-1]
	sends := 0
	for _, q := range r.requestLog.requests {
		if !q.isDeadly() || q.SentAt.Before(lastAllowed.Add(stableWindow+timingTolerance)) {
			continue
		}
		for _, x := range runs[q.ID] {
			if r.receivesNews(q.Daemon, x.At.Add(-stableWindow), x.At) {
				sends++
			}
		}
	}
	if sends > maxDeadlySends {
		violation("deadly-part", "%d requests with the part ran over %s after its fifth crash, of %d", sends, stableWindow, len(r.faults.partCrashes))
	}
}

// receivesNews reports whether a daemon could receive changes from the store and
// news from other daemons during the whole period.
func (r *run) receivesNews(daemon int, from, to time.Time) bool {
	return r.receivesChanges(daemon, from.Add(faultSettleTime), to) && !r.hasFault(from, to, func(t faultWindow) bool {
		return t.Target == daemon && (t.Kind == PeerCut || t.Kind == PeerSlow || isPeersCut(t.Kind))
	})
}

// checkConfiguration checks that a version is in effect after the time limit and
// that no daemon reverts to an older one.
func (r *run) checkConfiguration(violation reportFunc) {
	type daemonStart struct{ daemon, incarnation int }
	newest := map[daemonStart]int{}
	for _, q := range r.requestLog.requests {
		if q.Kind != "cfg" {
			continue
		}
		l := daemonStart{q.Daemon, q.Incarnation}
		publishedAt, until := r.versionWindow(q.Version)
		bound := publishedAt.Add(zpoutside.ApplyMS*time.Millisecond + timingTolerance)
		if q.Status == http.StatusNotFound && q.SentAt.After(bound) && q.DoneAt.Before(until) && r.receivesChanges(q.Daemon, publishedAt, q.DoneAt) {
			violation("configuration", "version %d is not in effect on daemon %d %s after it was published", q.Version, q.Daemon, q.SentAt.Sub(publishedAt))
		}
		if q.Status != http.StatusOK {
			continue
		}
		if q.Version < newest[l] {
			violation("configuration", "daemon %d reverted from version %d to %d", q.Daemon, newest[l], q.Version)
		}
		newest[l] = max(newest[l], q.Version)
	}
}

// versionWindow returns the times at which a version and its successor were
// published.
func (r *run) versionWindow(version int) (at, until time.Time) {
	until = r.endedAt.Add(time.Hour)
	for _, c := range r.faults.versions {
		switch {
		case c.Version == version:
			at = c.From
		case c.Version == version+1:
			until = c.From
		}
	}
	return at, until
}

// checkRecovery checks that each daemon serves requests at the end of the run.
func (r *run) checkRecovery(violation reportFunc) {
	sent, served := map[int]int{}, map[int]int{}
	for _, q := range r.requestLog.requests {
		if q.SentAt.Before(r.endedAt.Add(-recoveryWindow)) || !q.CanceledAt.IsZero() {
			continue
		}
		sent[q.Daemon]++
		if q.Status == http.StatusOK && q.Complete {
			served[q.Daemon]++
		}
	}
	for d := range r.cluster.Daemons {
		if float64(served[d]) < minServedRatio*float64(sent[d]) || sent[d] == 0 {
			violation("recovery", "daemon %d served %d of %d requests in the last %s", d, served[d], sent[d], recoveryWindow)
		}
	}
}
