package zpadmission

import (
	"slices"
	"time"
)

// End closes a reservation and learns from how it went. Unknown ids only teach.
func (l *Ledger) End(r Result, now time.Time) {
	delete(l.running, r.ID)
	if l.formerBoot(r.Boot) {
		return
	}
	if r.Boot != "" && l.boot != "" && r.Boot != l.boot {
		l.restart(r.Boot)
		return
	}
	switch r.Outcome {
	case OutcomeOK:
		l.succeed(r, now)
	case OutcomeRefused, OutcomeBroken, OutcomeOverdue:
		l.suspect(now)
	}
}

// Report takes over an endpoint's report. A report made before the last sign
// of a fall, or of a boot identity already replaced, cannot clear that sign.
func (l *Ledger) Report(r Report) {
	if l.formerBoot(r.Boot) {
		return
	}
	if l.boot == "" {
		l.boot = r.Boot
	}
	if r.Boot != l.boot {
		l.restart(r.Boot)
	}
	l.settleForeign(r)
	if r.AsOf.Before(l.suspectAt) {
		return
	}
	if !r.Warm {
		l.phase, l.limit = PhaseCold, l.ColdSlots
		return
	}
	switch l.phase {
	case PhaseUnknown:
		l.phase, l.limit = PhaseRamp, max(l.Slots/2, l.ColdSlots)
	case PhaseSuspect, PhaseCold:
		l.phase, l.limit = PhaseRamp, l.ColdSlots
	}
	l.prove(r.AsOf)
	l.promote()
}

// Unreachable notes that the report could not be read.
func (l *Ledger) Unreachable(now time.Time) { l.suspect(now) }

// Adopt takes over the reservations that a former owner granted, as their
// holders report them.
func (l *Ledger) Adopt(held []Holding, now time.Time) {
	for _, h := range held {
		if l.running[h.ID] == nil {
			l.running[h.ID] = &entry{request: Request{ID: h.ID, Holder: h.Holder}, grantedAt: now}
		}
	}
}

// Reconcile drops reservations of a holder granted before asOf that the holder
// does not know, and adopts those that it has and the ledger does not.
func (l *Ledger) Reconcile(holder string, held []Holding, asOf, now time.Time) {
	known := map[string]bool{}
	for _, h := range held {
		known[h.ID] = true
	}
	for id, e := range l.running {
		if e.request.Holder == holder && e.grantedAt.Before(asOf) && !known[id] {
			delete(l.running, id)
		}
	}
	l.Adopt(held, now)
}

// HolderGone turns the reservations of a dead holder into foreign runs, which
// stay counted until a later report shows that they ended.
func (l *Ledger) HolderGone(holder string, now time.Time) {
	for _, id := range l.Running(holder) {
		delete(l.running, id)
		l.foreign++
		l.foreignAt = now
	}
}

// ExpectForeign makes a new owner count as many unknown runs as the endpoint
// reports, until the ledger knows better.
func (l *Ledger) ExpectForeign(n int, now time.Time) {
	l.foreign = max(l.foreign, n)
	l.foreignAt = now
}

func (l *Ledger) settleForeign(r Report) {
	if l.foreign == 0 || !r.AsOf.After(l.foreignAt) {
		return
	}
	l.foreign = min(l.foreign, max(r.Running-len(l.running), 0))
}

func (l *Ledger) succeed(r Result, now time.Time) {
	slow := l.first > 0 && r.FirstToken > l.first*slowFactor && r.FirstToken > slowFloor
	if slow && l.phase == PhaseWarm {
		l.alarms++
		l.suspect(now)
		return
	}
	l.prove(now)
	l.service = smooth(l.service, r.Total)
	l.first = smooth(l.first, r.FirstToken)
	if l.phase == PhaseSuspect {
		l.phase, l.limit = PhaseCold, l.ColdSlots
		return
	}
	if l.phase == PhaseRamp {
		l.limit++
		l.promote()
	}
}

func (l *Ledger) prove(at time.Time) {
	if at.After(l.provenAt) {
		l.provenAt = at
	}
}

func (l *Ledger) promote() {
	if l.phase == PhaseRamp && l.limit >= l.Slots {
		l.phase, l.limit = PhaseWarm, l.Slots
	}
}

func (l *Ledger) suspect(now time.Time) {
	l.phase, l.limit = PhaseSuspect, 0
	l.suspectAt = now
}

// restart notes a new boot identity: what ran before is gone, and the
// endpoint is cold until a report says otherwise.
func (l *Ledger) restart(boot string) {
	l.former = append(l.former, l.boot)
	if len(l.former) > formerBoots {
		l.former = l.former[1:]
	}
	l.boot = boot
	l.foreign = 0
	l.phase, l.limit = PhaseCold, l.ColdSlots
	l.computed = time.Time{}
}

// formerBoot reports whether an answer comes from before a restart that is
// already known, and so says nothing of the present.
func (l *Ledger) formerBoot(boot string) bool {
	return boot != "" && boot != l.boot && slices.Contains(l.former, boot)
}

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/smoothing
}
