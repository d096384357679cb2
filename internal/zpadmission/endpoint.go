package zpadmission

import (
	"slices"
	"time"
)

// End ends a reservation and updates the endpoint's state from the outcome. The
// outcome counts even if the ID is unknown.
func (l *Ledger) End(r Result, now time.Time) {
	delete(l.running, r.ID)
	if l.isPastBoot(r.Boot) {
		return
	}
	if r.Boot != "" && l.bootID != "" && r.Boot != l.bootID {
		l.recordRestart(r.Boot)
		return
	}
	switch r.Outcome {
	case OutcomeOK:
		l.recordSuccess(r, now)
	case OutcomeRefused, OutcomeBroken, OutcomeOverdue:
		l.markSuspect(now)
	}
}

// Report updates the endpoint's state from its own report. A report from an
// earlier boot is ignored, and one made before the endpoint was last marked
// suspect does not change its phase.
func (l *Ledger) Report(r Report) {
	if l.isPastBoot(r.Boot) {
		return
	}
	if l.bootID == "" {
		l.bootID = r.Boot
	}
	if r.Boot != l.bootID {
		l.recordRestart(r.Boot)
	}
	l.updateUntracked(r)
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
	l.markWarm(r.AsOf)
	l.promote()
}

// ReportFailed marks the endpoint suspect because its report could not be read.
func (l *Ledger) ReportFailed(now time.Time) { l.markSuspect(now) }

// Adopt adds reservations that a previous owner granted, as reported by their
// holders.
func (l *Ledger) Adopt(held []Holding, now time.Time) {
	for _, h := range held {
		if l.running[h.ID] == nil {
			l.running[h.ID] = &reservation{request: Request{ID: h.ID, Holder: h.Holder}, grantedAt: now}
		}
	}
}

// Reconcile compares the holder's reservations with those that it reports. It
// removes unreported ones that were granted before asOf and adds unknown ones.
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

// DropHolder turns the reservations of a holder that is gone into untracked
// requests, which count as running until a later report shows that they ended.
func (l *Ledger) DropHolder(holder string, now time.Time) {
	for _, id := range l.ReservationsOf(holder) {
		delete(l.running, id)
		l.untracked++
		l.untrackedAt = now
	}
}

// ExpectUntracked makes a new owner count at least n untracked requests, the number
// that the endpoint reports as running, until a later report shows fewer.
func (l *Ledger) ExpectUntracked(n int, now time.Time) {
	l.untracked = max(l.untracked, n)
	l.untrackedAt = now
}

// updateUntracked lowers the number of untracked requests to what the report
// leaves unexplained. It ignores reports made before that number was last raised.
func (l *Ledger) updateUntracked(r Report) {
	if l.untracked == 0 || !r.AsOf.After(l.untrackedAt) {
		return
	}
	l.untracked = min(l.untracked, max(r.Running-len(l.running), 0))
}

// recordSuccess raises the limit of an endpoint that is ramping up. A slow first
// token on a warm endpoint marks it suspect instead.
func (l *Ledger) recordSuccess(r Result, now time.Time) {
	slow := l.avgFirstToken > 0 && r.FirstToken > l.avgFirstToken*slowFirstTokenFactor && r.FirstToken > minSlowFirstToken
	if slow && l.phase == PhaseWarm {
		l.slowAlarms++
		l.markSuspect(now)
		return
	}
	l.markWarm(now)
	l.avgServiceTime = ewma(l.avgServiceTime, r.Total)
	l.avgFirstToken = ewma(l.avgFirstToken, r.FirstToken)
	if l.phase == PhaseSuspect {
		l.phase, l.limit = PhaseCold, l.ColdSlots
		return
	}
	if l.phase == PhaseRamp {
		l.limit++
		l.promote()
	}
}

func (l *Ledger) markWarm(at time.Time) {
	if at.After(l.warmAt) {
		l.warmAt = at
	}
}

// promote makes the endpoint warm once its limit has reached Slots.
func (l *Ledger) promote() {
	if l.phase == PhaseRamp && l.limit >= l.Slots {
		l.phase, l.limit = PhaseWarm, l.Slots
	}
}

func (l *Ledger) markSuspect(now time.Time) {
	l.phase, l.limit = PhaseSuspect, 0
	l.suspectAt = now
}

// recordRestart replaces the boot ID. Untracked requests ended with the earlier
// boot, and the endpoint is cold until a report says otherwise.
func (l *Ledger) recordRestart(boot string) {
	l.pastBootIDs = append(l.pastBootIDs, l.bootID)
	if len(l.pastBootIDs) > maxPastBootIDs {
		l.pastBootIDs = l.pastBootIDs[1:]
	}
	l.bootID = boot
	l.untracked = 0
	l.phase, l.limit = PhaseCold, l.ColdSlots
	l.prefillEnd = time.Time{}
}

// isPastBoot reports whether an answer is from a boot before a known restart, so
// that it says nothing about the current state.
func (l *Ledger) isPastBoot(boot string) bool {
	return boot != "" && boot != l.bootID && slices.Contains(l.pastBootIDs, boot)
}

// ewma returns the exponentially weighted moving average after one more sample.
func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/smoothingDivisor
}
