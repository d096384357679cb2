package zpforecast

import "time"

type (
	// Wait is what is known of the wait of one request.
	Wait struct {
		Ahead      float64 // work at this daemon that starts before the request
		FleetAhead float64 // work at all daemons that starts before the request, by what they last reported
		// Capacity is the most work per second that the endpoints which may serve the request
		// can start, were they all idle.
		Capacity float64
		Service  time.Duration // from the start to the first event at an idle endpoint
		Left     time.Duration // until the deadline
		// HasReturned means that the caller has spent part of its time on an earlier attempt.
		HasReturned bool
		IsQueued    bool // the request waits already
	}

	// Reason is why a request is refused at once. The zero value stands for no reason.
	Reason int

	// Verdict is the decision on a request, with the numbers behind it.
	Verdict struct {
		Reason    Reason
		Start     time.Duration // expected until the request starts
		PerSecond float64       // pace of this daemon's queue; zero: not known
	}
)

// Reasons for a refusal.
const (
	ReasonNone   Reason = iota
	ReasonQueue         // what waits at this daemon takes longer than the caller waits
	ReasonFleet         // what waits at all daemons takes longer, even if all endpoints were idle
	ReasonFull          // this daemon can hold no more waiting requests
	ReasonLeaves        // the caller leaves before its first event could come, though its deadline is later
	ReasonStall         // nothing has started for several times as long as the caller still waits
)

const (
	// certainty is how many times as fast as expected the work ahead may start without the
	// request meeting its deadline. Requests that might still be served are not refused.
	certainty = 1.5
	// stallCertainty is how many times as long as a caller still waits nothing must have
	// started. Most stalls last no longer than they have lasted already. What waits already
	// has little time left, and would gain nothing by a refusal.
	stallCertainty = 2
	// returnedCertainty is that of a request whose caller has returned: to be refused again is
	// the worst for it.
	returnedCertainty = 3
)

// Decide decides whether a request that waits can still be served before its deadline.
// Requests that arrive later and go first are not counted: a refusal must hold even if the
// load ends now.
func Decide(w Wait, p *Pace, now time.Time) Verdict {
	v := Verdict{Start: WaitFor(w.FleetAhead, w.Capacity)}
	if w.Capacity > 0 && v.Start+w.Service > w.Left {
		v.Reason = ReasonFleet
		return v
	}
	if w.Ahead > 0 && !w.IsQueued && p.StalledFor(now) >= stallCertainty*w.Left {
		v.Reason, v.Start = ReasonStall, p.StalledFor(now)
		return v
	}
	perSecond, known := p.PerSecond(now)
	if !known {
		return v
	}
	v.PerSecond = perSecond
	v.Start = max(v.Start, WaitFor(w.Ahead, perSecond))
	faster := certainty * perSecond
	if w.HasReturned {
		faster = returnedCertainty * perSecond
	}
	if w.Ahead > 0 && WaitFor(w.Ahead, faster)+w.Service > w.Left {
		v.Reason = ReasonQueue
	}
	return v
}

func (r Reason) String() string {
	return [...]string{"none", "queue", "fleet", "full", "leaves", "stall"}[r]
}
