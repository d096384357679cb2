package zpadmission

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpqueue"
)

type (
	// Ledger tracks the reservations of one endpoint and decides which request it
	// may run next. Set the exported fields before use. It is not safe for
	// concurrent use.
	Ledger struct {
		Slots      int
		ColdSlots  int
		QueueLimit int
		Epoch      int64

		phase          Phase
		limit          int
		bootID         string
		pastBootIDs    []string // IDs of earlier boots, oldest first
		suspectAt      time.Time
		warmAt         time.Time // last evidence that the endpoint was warm
		running        map[string]*reservation
		untracked      int       // running requests of a lost owner or holder, without a reservation here
		untrackedAt    time.Time // when untracked was last raised
		queue          zpqueue.Queue[Request]
		exclusiveSince map[string]time.Time // queueing time of requests that must run alone, by ID
		avgServiceTime time.Duration
		prefillEnd     time.Time // expected end of the prefill of all granted requests
		avgFirstToken  time.Duration
		slowAlarms     int
	}

	reservation struct {
		request   Request
		grantedAt time.Time
	}
)

const (
	// ProbeDelay is the time after which a suspect endpoint that sends no report
	// is granted a single probe request.
	ProbeDelay = 2 * time.Second

	// WarmEvidenceTTL is how long evidence that the endpoint is warm is valid.
	// Without newer evidence the limit is at most that of a cold endpoint.
	WarmEvidenceTTL = 1500 * time.Millisecond

	// ExclusiveDrainDelay is how long a request that must run alone waits for an
	// idle endpoint before no other request is granted ahead of it.
	ExclusiveDrainDelay = 500 * time.Millisecond

	// otherSlotPercent is the share of the slots that requests which aren't
	// urgent may occupy. The rest stays free for urgent requests.
	otherSlotPercent = 75

	smoothingDivisor = 8 // inverse weight of a new sample in ewma
	maxPastBootIDs   = 8

	// A first token is slow if it takes longer than minSlowFirstToken and
	// slowFirstTokenFactor times the average.
	slowFirstTokenFactor = 6
	minSlowFirstToken    = 500 * time.Millisecond

	defaultServiceTime = 500 * time.Millisecond
	minRetryAfter      = 200 * time.Millisecond
	retryAfterDivisor  = 2
)

// NewLedger returns a ledger for an endpoint whose state is still unknown.
func NewLedger(slots, coldSlots, queueLimit int, epoch int64) *Ledger {
	return &Ledger{
		Slots: slots, ColdSlots: coldSlots, QueueLimit: queueLimit, Epoch: epoch,
		running: map[string]*reservation{}, exclusiveSince: map[string]time.Time{}, avgServiceTime: defaultServiceTime,
	}
}

// Enqueue queues a request or refuses it at once. Decide handles queued requests.
func (l *Ledger) Enqueue(r Request, now time.Time) (Decision, bool) {
	if l.queueFull(r.Workspace) {
		return l.refuse(r, CodeQueueFull), false
	}
	if wait := l.estimateWait(r); wait > r.MaxWait {
		return l.refuse(r, CodeWaitTooLong), false
	}
	if r.Exclusive {
		l.exclusiveSince[r.ID] = now
	}
	l.queue.Push(&zpqueue.Item[Request]{
		ID: r.ID, Flow: r.Workspace, Weight: r.Weight, Cost: r.Cost,
		Class: classOf(r.Urgent), Expiry: now.Add(r.MaxWait), Value: r,
	})
	return Decision{}, true
}

// IsQueued reports whether the request with the given ID is queued.
func (l *Ledger) IsQueued(id string) bool { return l.queue.Contains(id) }

// Decide refuses the queued requests that have expired at now, grants as many
// others as the authority and the phase allow, and returns these decisions. A
// request is granted only if present reports that its caller is waiting for the
// decision, since the caller's start deadline counts from its last call.
func (l *Ledger) Decide(a Authority, present func(id string) bool, now time.Time) []Decision {
	var out []Decision
	for _, it := range l.queue.Expire(now) {
		out = append(out, l.refuse(it.Value, CodeExpired))
	}
	for {
		drainOnly := l.drainsForExclusive(now)
		it, ok := l.queue.Pop(func(it *zpqueue.Item[Request]) bool {
			return present(it.ID) && (it.Value.Exclusive || !drainOnly) && l.canGrant(it.Value, a, now)
		})
		if !ok {
			return out
		}
		l.running[it.ID] = &reservation{request: it.Value, grantedAt: now}
		l.addBacklog(it.Value.Prefill, now)
		if l.phase == PhaseSuspect {
			l.suspectAt = now // delays the next probe, so that one runs at a time
		}
		out = append(out, Decision{ID: it.ID, Granted: true, Epoch: l.Epoch, Boot: l.bootID})
	}
}

// Cancel removes a queued request, or ends its reservation if it was granted.
func (l *Ledger) Cancel(id string, now time.Time) {
	if !l.queue.Remove(id) {
		l.End(Result{ID: id, Outcome: OutcomeNotStarted}, now)
	}
}

// RefuseAll refuses all queued requests with the given code.
func (l *Ledger) RefuseAll(code string) []Decision {
	var out []Decision
	for _, it := range l.queue.Drain() {
		out = append(out, l.refuse(it.Value, code))
	}
	return out
}

// Quote returns the endpoint's load at now, by which requests are routed.
func (l *Ledger) Quote(a Authority, now time.Time) Quote {
	return Quote{
		Limit:         l.concurrencyLimit(a, now),
		Running:       l.occupied(),
		WaitingUrgent: l.queue.Len(zpqueue.ClassUrgent),
		WaitingOther:  l.queue.Len(zpqueue.ClassOther),
		Service:       l.avgServiceTime,
		Backlog:       max(l.prefillEnd.Sub(now), 0),
		Cold:          l.phase != PhaseWarm && l.phase != PhaseRamp,
	}
}

// Phase returns the current phase.
func (l *Ledger) Phase() Phase { return l.phase }

// SlowAlarms returns how often a slow first token made the endpoint suspect.
func (l *Ledger) SlowAlarms() int { return l.slowAlarms }

// ReservationsOf returns the IDs of a holder's reservations.
func (l *Ledger) ReservationsOf(holder string) []string {
	var out []string
	for id, e := range l.running {
		if e.request.Holder == holder {
			out = append(out, id)
		}
	}
	return out
}

// HoldersBefore returns the holders of the reservations granted before the given time.
func (l *Ledger) HoldersBefore(before time.Time) map[string]bool {
	out := map[string]bool{}
	for _, e := range l.running {
		if e.grantedAt.Before(before) {
			out[e.request.Holder] = true
		}
	}
	return out
}

func (l *Ledger) canGrant(r Request, a Authority, now time.Time) bool {
	limit := l.concurrencyLimit(a, now)
	occupied := l.occupied()
	if occupied >= limit || l.runsExclusive() {
		return false
	}
	if r.Exclusive {
		return occupied == 0
	}
	if !r.Urgent && l.phase >= PhaseRamp {
		return occupied < max(limit*otherSlotPercent/100, 1)
	}
	return true
}

// concurrencyLimit returns how many requests may run at the same time. A suspect
// endpoint gets one probe after ProbeDelay. An owner that doesn't yet know what
// runs grants at most half of the slots, and none on a cold endpoint.
func (l *Ledger) concurrencyLimit(a Authority, now time.Time) int {
	switch {
	case zpmutant.Active(zpmutant.ColdLimit):
		return l.Slots
	case a == AuthorityNone || l.phase == PhaseUnknown:
		return 0
	case l.phase == PhaseSuspect:
		if a == AuthorityFull && now.Sub(l.suspectAt) >= ProbeDelay {
			return 1
		}
		return 0
	case a == AuthorityRecovering && l.phase == PhaseCold:
		return 0
	case now.Sub(l.warmAt) > WarmEvidenceTTL:
		return min(l.limit, l.ColdSlots)
	case a == AuthorityRecovering:
		return min(l.limit, l.Slots/2)
	default:
		return l.limit
	}
}

// addBacklog adds the prefill time of a granted request. Prefills are assumed to
// run one after the other.
func (l *Ledger) addBacklog(d time.Duration, now time.Time) {
	if l.prefillEnd.Before(now) {
		l.prefillEnd = now
	}
	l.prefillEnd = l.prefillEnd.Add(d)
}

func (l *Ledger) occupied() int { return len(l.running) + l.untracked }

func (l *Ledger) runsExclusive() bool {
	for _, e := range l.running {
		if e.request.Exclusive {
			return true
		}
	}
	return false
}

// drainsForExclusive reports whether a request that must run alone has waited for
// ExclusiveDrainDelay, so that no other request may be granted before it.
func (l *Ledger) drainsForExclusive(now time.Time) bool {
	for id, since := range l.exclusiveSince {
		if !l.queue.Contains(id) {
			delete(l.exclusiveSince, id)
			continue
		}
		if now.Sub(since) >= ExclusiveDrainDelay {
			return true
		}
	}
	return false
}

func (l *Ledger) queueLen() int {
	return l.queue.Len(zpqueue.ClassUrgent) + l.queue.Len(zpqueue.ClassOther)
}

// queueFull reports whether the queue accepts no more requests of a workspace.
// Above QueueLimit, a workspace with less than its share of the queue may still
// add requests until the queue holds twice the limit.
func (l *Ledger) queueFull(workspace string) bool {
	n := l.queueLen()
	if n < l.QueueLimit {
		return false
	}
	share := l.QueueLimit / (l.queue.FlowCount() + 1)
	return n >= 2*l.QueueLimit || l.queue.FlowLen(workspace) >= share
}

// estimateWait estimates how long a new request would wait in the queue.
func (l *Ledger) estimateWait(r Request) time.Duration {
	ahead := l.queue.Ahead(r.Workspace, zpqueue.ClassUrgent)
	if !r.Urgent {
		ahead += l.queue.Ahead(r.Workspace, zpqueue.ClassOther)
	}
	return l.avgServiceTime * time.Duration(ahead) / time.Duration(max(l.limit, 1))
}

func (l *Ledger) refuse(r Request, code string) Decision {
	retry := max(l.estimateWait(r)/retryAfterDivisor, minRetryAfter)
	return Decision{ID: r.ID, Code: code, RetryAfter: retry}
}

func classOf(urgent bool) zpqueue.Class {
	if urgent {
		return zpqueue.ClassUrgent
	}
	return zpqueue.ClassOther
}
