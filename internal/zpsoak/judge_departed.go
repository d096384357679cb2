package zpsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// connectionEnds records when daemons ended connections to endpoints, as links saw it. It is
	// safe for concurrent use.
	connectionEnds struct {
		mu       sync.Mutex
		bySource map[string][]connectionEnd // by the address from which the endpoint was connected to, oldest first
	}

	connectionEnd struct {
		Daemon int // whose link it was
		At     time.Time
	}
)

// cancelLimit is the documented limit on work for a client that has disconnected.
const cancelLimit = 500 * time.Millisecond

func (e *connectionEnds) record(source string, end connectionEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bySource == nil {
		e.bySource = map[string][]connectionEnd{}
	}
	e.bySource[source] = append(e.bySource[source], end)
}

// after returns the end of the connection that a source had at a time. ok is false if no daemon
// ended it.
func (e *connectionEnds) after(source string, at time.Time) (end connectionEnd, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.bySource[source], func(c connectionEnd) bool { return !c.At.Before(at) })
	if i < 0 {
		return connectionEnd{}, false
	}
	return e.bySource[source][i], true
}

// checkCanceled checks that no work starts or continues for clients that have
// disconnected.
func (r *run) checkCanceled(runs map[string][]zpoutside.Run, violation reportFunc) {
	for _, q := range r.requestLog.requests {
		if q.CanceledAt.IsZero() {
			continue
		}
		for _, x := range runs[q.ID] {
			r.checkDeparted(q, x, violation)
		}
	}
}

// checkDeparted checks a run for a client that has disconnected. Bookings that have started are
// completed. A run that started late as it was held on its way is judged from its start.
func (r *run) checkDeparted(q request, x zpoutside.Run, violation reportFunc) {
	bound := q.CanceledAt.Add(cancelLimit + timingTolerance)
	from, heldFrom := q.CanceledAt, q.SentAt
	isLate := x.At.After(bound)
	switch {
	case isLate && (r.mayBeDelayed(x, x.At) || r.mayBeHeld(q, x, x.At)):
		from, heldFrom, bound = x.At, x.At, x.At.Add(cancelLimit+timingTolerance)
	case isLate:
		violation("departed", "%s of daemon %d started on %s %s after its client disconnected; %s", q.ID, q.Daemon, x.Endpoint, x.At.Sub(q.CanceledAt), r.describeEnd(q, x))
	}
	// Work without a recorded end is only known to continue until the end of the run.
	isRunning := x.Ended.IsZero() && r.endedAt.After(bound) || x.Ended.Add(-r.stalledAfterEnd(q, x)).After(bound)
	if isRunning && q.Kind != "book" && !r.mayBeDelayed(x, bound) && !r.mayBeHeldBetween(q, x, heldFrom, bound) && !r.mayBePaused(q.Daemon, from, bound) {
		violation("departed", "%s of daemon %d still ran on %s half a second after its client disconnected; %s", q.ID, q.Daemon, x.Endpoint, r.describeEnd(q, x))
	}
}

// stalledAfterEnd returns for how long the soak stood still between a daemon's end of the connection
// at the link and the end of the run. The daemon has no part in that time.
func (r *run) stalledAfterEnd(q request, x zpoutside.Run) time.Duration {
	end, ok := r.cluster.ends.after(x.Source, q.SentAt)
	if !ok {
		return 0
	}
	return r.stalls.between(end.At, x.Ended)
}

// describeEnd returns what tells a daemon that ended a request late from a soak that forwarded the
// end late: how long after the client disconnected the daemon's end of the connection reached its
// link, and the endpoint ended the run, and for how long the soak stood still meanwhile.
func (r *run) describeEnd(q request, x zpoutside.Run) string {
	atLink, atEndpoint, until := "at no link", "not at the endpoint", r.endedAt
	if end, ok := r.cluster.ends.after(x.Source, q.SentAt); ok {
		atLink = fmt.Sprintf("at the link of daemon %d after %s", end.Daemon, end.At.Sub(q.CanceledAt))
	}
	if !x.Ended.IsZero() {
		atEndpoint, until = fmt.Sprintf("at the endpoint after %s", x.Ended.Sub(q.CanceledAt)), x.Ended
	}
	return fmt.Sprintf("disconnected at %s, ended %s and %s, the soak stood still for %s meanwhile",
		q.CanceledAt.UTC().Format(time.StampMilli), atLink, atEndpoint, r.stalls.between(q.CanceledAt, until))
}

// mayBePaused reports whether a daemon may have been paused during the period.
func (r *run) mayBePaused(daemon int, from, to time.Time) bool {
	return r.hasFault(from, to, func(t faultWindow) bool { return t.Kind == DaemonPause && t.Target == daemon })
}
