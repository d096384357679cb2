package zpadmission

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpqueue"
)

type (
	// Ledger counts what one endpoint runs and decides what it may run next.
	// Set the exported fields first. It is not safe for concurrent use.
	Ledger struct {
		Slots      int
		ColdSlots  int
		QueueLimit int
		Epoch      int64

		phase     Phase
		limit     int
		boot      string
		former    []string // boot identities already replaced
		suspectAt time.Time
		provenAt  time.Time // when the endpoint was last shown to be warm
		running   map[string]*entry
		foreign   int       // runs that a lost owner or holder may have left behind
		foreignAt time.Time // when foreign was last raised
		queue     zpqueue.Queue[Request]
		alone     map[string]time.Time // waiting requests that must run alone
		service   time.Duration
		computed  time.Time // expected end of computing all granted contexts
		first     time.Duration
		alarms    int
	}

	entry struct {
		request   Request
		grantedAt time.Time
	}
)

const (
	// ProbeAfter is how long a suspect endpoint that sends no report waits
	// for a probe request.
	ProbeAfter = 2 * time.Second

	// EvidenceAge is how long a sign that the endpoint is warm holds. Without a
	// newer one, no more than a cold endpoint bears is granted.
	EvidenceAge = 1500 * time.Millisecond

	// AlonePatience is how long a request that must run alone waits for a gap
	// before the endpoint is drained for it.
	AlonePatience = 500 * time.Millisecond

	// otherShare is the share of the slots that requests which may wait can
	// fill, so that an urgent one finds a free slot.
	otherSharePercent = 75

	smoothing        = 8
	formerBoots      = 8
	slowFactor       = 6
	slowFloor        = 500 * time.Millisecond
	defaultService   = 500 * time.Millisecond
	minRetryAfter    = 200 * time.Millisecond
	refusedRetryStep = 2
)

// NewLedger returns a ledger that knows nothing of its endpoint yet.
func NewLedger(slots, coldSlots, queueLimit int, epoch int64) *Ledger {
	return &Ledger{
		Slots: slots, ColdSlots: coldSlots, QueueLimit: queueLimit, Epoch: epoch,
		running: map[string]*entry{}, alone: map[string]time.Time{}, service: defaultService,
	}
}

// Ask queues a request or refuses it. A queued request is decided by Next.
func (l *Ledger) Ask(r Request, now time.Time) (Decision, bool) {
	if l.full(r.Workspace) {
		return l.refuse(r, CodeQueueFull), false
	}
	if wait := l.estimate(r); wait > r.MaxWait {
		return l.refuse(r, CodeTooLate), false
	}
	if r.Alone {
		l.alone[r.ID] = now
	}
	l.queue.Push(&zpqueue.Item[Request]{
		ID: r.ID, Flow: r.Workspace, Weight: r.Weight, Cost: r.Cost,
		Class: classOf(r.Urgent), Expiry: now.Add(r.MaxWait), Value: r,
	})
	return Decision{}, true
}

// Waits reports whether the request with that id waits in the queue.
func (l *Ledger) Waits(id string) bool { return l.queue.Contains(id) }

// Next returns the decisions that are due at now: expired requests are refused
// and as many others granted as the authority and the phase allow. Only a
// request whose asker is present is granted, so that its deadline to start
// counts from the asker's last call.
func (l *Ledger) Next(a Authority, present func(id string) bool, now time.Time) []Decision {
	var out []Decision
	for _, it := range l.queue.Expire(now) {
		out = append(out, l.refuse(it.Value, CodeExpired))
	}
	for {
		draining := l.drainsForAlone(now)
		it, ok := l.queue.Pop(func(it *zpqueue.Item[Request]) bool {
			return present(it.ID) && (it.Value.Alone || !draining) && l.admits(it.Value, a, now)
		})
		if !ok {
			return out
		}
		l.running[it.ID] = &entry{request: it.Value, grantedAt: now}
		l.addBacklog(it.Value.Prefill, now)
		if l.phase == PhaseSuspect {
			l.suspectAt = now // one probe at a time
		}
		out = append(out, Decision{ID: it.ID, Granted: true, Epoch: l.Epoch, Boot: l.boot})
	}
}

// Cancel drops a waiting request, or ends its reservation if it was granted.
func (l *Ledger) Cancel(id string, now time.Time) {
	if !l.queue.Remove(id) {
		l.End(Result{ID: id, Outcome: OutcomeNotStarted}, now)
	}
}

// RefuseAll refuses all waiting requests with the given code.
func (l *Ledger) RefuseAll(code string) []Decision {
	var out []Decision
	for _, it := range l.queue.Drain() {
		out = append(out, l.refuse(it.Value, code))
	}
	return out
}

// Quote describes the load for routing.
func (l *Ledger) Quote(a Authority, now time.Time) Quote {
	return Quote{
		Limit:         l.allowed(a, now),
		Running:       l.occupied(),
		WaitingUrgent: l.queue.Len(zpqueue.ClassUrgent),
		WaitingOther:  l.queue.Len(zpqueue.ClassOther),
		Service:       l.service,
		Backlog:       max(l.computed.Sub(now), 0),
		Cold:          l.phase != PhaseWarm && l.phase != PhaseRamp,
	}
}

// Phase returns the present phase.
func (l *Ledger) Phase() Phase { return l.phase }

// Alarms returns how often a slow answer made the endpoint a suspect.
func (l *Ledger) Alarms() int { return l.alarms }

// Running returns the ids of the reservations of one holder.
func (l *Ledger) Running(holder string) []string {
	var out []string
	for id, e := range l.running {
		if e.request.Holder == holder {
			out = append(out, id)
		}
	}
	return out
}

// Oldest returns the holders of reservations granted before the given time.
func (l *Ledger) Oldest(before time.Time) map[string]bool {
	out := map[string]bool{}
	for _, e := range l.running {
		if e.grantedAt.Before(before) {
			out[e.request.Holder] = true
		}
	}
	return out
}

func (l *Ledger) admits(r Request, a Authority, now time.Time) bool {
	allowed := l.allowed(a, now)
	occupied := l.occupied()
	if occupied >= allowed || l.loneRunner() {
		return false
	}
	if r.Alone {
		return occupied == 0
	}
	if !r.Urgent && l.phase >= PhaseRamp {
		return occupied < max(allowed*otherSharePercent/100, 1)
	}
	return true
}

// allowed returns how many requests may run at now.
func (l *Ledger) allowed(a Authority, now time.Time) int {
	switch {
	case zpmutant.Active(zpmutant.ColdLimit):
		return l.Slots
	case a == AuthorityNone || l.phase == PhaseUnknown:
		return 0
	case l.phase == PhaseSuspect:
		if a == AuthorityFull && now.Sub(l.suspectAt) >= ProbeAfter {
			return 1
		}
		return 0
	case a == AuthorityCounting && l.phase == PhaseCold:
		return 0
	case now.Sub(l.provenAt) > EvidenceAge:
		return min(l.limit, l.ColdSlots)
	case a == AuthorityCounting:
		return min(l.limit, l.Slots/2)
	default:
		return l.limit
	}
}

// addBacklog adds a context that the engine computes after those before it.
func (l *Ledger) addBacklog(d time.Duration, now time.Time) {
	if l.computed.Before(now) {
		l.computed = now
	}
	l.computed = l.computed.Add(d)
}

func (l *Ledger) occupied() int { return len(l.running) + l.foreign }

func (l *Ledger) loneRunner() bool {
	for _, e := range l.running {
		if e.request.Alone {
			return true
		}
	}
	return false
}

// drainsForAlone reports whether a request that must run alone has waited so
// long that nothing else may start before it.
func (l *Ledger) drainsForAlone(now time.Time) bool {
	for id, since := range l.alone {
		if !l.queue.Contains(id) {
			delete(l.alone, id)
			continue
		}
		if now.Sub(since) >= AlonePatience {
			return true
		}
	}
	return false
}

func (l *Ledger) queued() int {
	return l.queue.Len(zpqueue.ClassUrgent) + l.queue.Len(zpqueue.ClassOther)
}

// full reports whether a workspace may not queue another request. When the
// queue is full, a workspace that has less than its share still may, up to
// twice the limit in all.
func (l *Ledger) full(workspace string) bool {
	n := l.queued()
	if n < l.QueueLimit {
		return false
	}
	share := l.QueueLimit / (l.queue.FlowCount() + 1)
	return n >= 2*l.QueueLimit || l.queue.FlowLen(workspace) >= share
}

// estimate returns how long a new request would wait.
func (l *Ledger) estimate(r Request) time.Duration {
	ahead := l.queue.Ahead(r.Workspace, zpqueue.ClassUrgent)
	if !r.Urgent {
		ahead += l.queue.Ahead(r.Workspace, zpqueue.ClassOther)
	}
	return l.service * time.Duration(ahead) / time.Duration(max(l.limit, 1))
}

func (l *Ledger) refuse(r Request, code string) Decision {
	retry := max(l.estimate(r)/refusedRetryStep, minRetryAfter)
	return Decision{ID: r.ID, Code: code, RetryAfter: retry}
}

func classOf(urgent bool) zpqueue.Class {
	if urgent {
		return zpqueue.ClassUrgent
	}
	return zpqueue.ClassOther
}
