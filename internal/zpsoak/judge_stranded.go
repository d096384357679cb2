package zpsoak

import (
	"net/http"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

const (
	// While daemons are cut off from all endpoints, they may serve first attempts less than
	// two thirds as often as others only if at most strandedAllowance and one in
	// strandedAllowanceOneIn of all first attempts fail there.
	strandedAllowance      = 10
	strandedAllowanceOneIn = 50
)

// tally counts the first attempts of clients.
type tally struct{ sent, served int }

func (t tally) failed() int { return t.sent - t.served }

// checkStranded checks that daemons that are cut off from all endpoints serve nearly as often
// as others.
func (r *run) checkStranded(outcome *Outcome, violation reportFunc) {
	for _, t := range r.faults.faultWindows {
		from, to := t.From.Add(stableWindow), t.To
		if to.IsZero() {
			to = r.endedAt
		}
		if !isStranded(t.Kind) || t.Stranded.Endpoints != nil || !from.Before(to) {
			continue
		}
		cut, others := r.countFirstAttempts(t.Stranded.Daemons, from, to)
		if others.sent > 0 {
			outcome.Stranded, outcome.StrandedOK = outcome.Stranded+cut.sent, outcome.StrandedOK+cut.served
		}
		allowed := strandedAllowance + (cut.sent+others.sent)/strandedAllowanceOneIn
		if 3*cut.served*others.sent < 2*others.served*cut.sent && cut.failed() > allowed {
			violation("stranded-service", "daemons %v served %d of %d first attempts, the others %d of %d, from %s after %s", t.Stranded.Daemons, cut.served, cut.sent, others.served, others.sent, stableWindow, t.Kind)
		}
	}
}

// countFirstAttempts counts first attempts at daemons that are cut off and at others. Daemons
// with a fault of their own are left out.
func (r *run) countFirstAttempts(stranded []int, from, to time.Time) (cut, others tally) {
	isSound := map[int]bool{}
	for d := range r.cluster.Daemons {
		isSound[d] = !r.hasOwnFault(d, from.Add(-faultSettleTime), to)
	}
	for _, q := range r.requestLog.requests {
		isCounted := !q.IsRetry && q.Kind != "cfg" && !q.isDeadly() && q.CanceledAt.IsZero() && isSound[q.Daemon]
		if !isCounted || q.SentAt.Before(from) || !q.SentAt.Before(to) {
			continue
		}
		t := &others
		if slices.Contains(stranded, q.Daemon) {
			t = &cut
		}
		t.sent++
		if q.Status == http.StatusOK && q.Complete {
			t.served++
		}
	}
	return cut, others
}

// hasOwnFault reports whether a daemon may have had a fault other than being cut off from
// endpoints during the period.
func (r *run) hasOwnFault(daemon int, from, to time.Time) bool {
	return r.hasFault(from, to, func(t faultWindow) bool {
		switch t.Kind {
		case DaemonStop, DaemonKill, DaemonPause, StoreCut, StoreOneWay, StoreSilent, StoreReset, PeerCut, PeerSlow:
			return t.Target == daemon
		default:
			return false
		}
	})
}

// mayBeHeld reports whether data that a daemon sent to an endpoint for a request, before until,
// may have been held on their link. Requests that came later than stableWindow after a daemon
// was cut off are not sent over that.
func (r *run) mayBeHeld(q request, x zpoutside.Run, until time.Time) bool {
	return r.hasFault(q.SentAt, until, func(t faultWindow) bool {
		return t.Kind == StrandedHang && t.isCut(q.Daemon, r.endpointOf(x)) && q.SentAt.Before(t.From.Add(stableWindow))
	}) || r.mayBeHeldByOther(q, x, until)
}

// mayBeHeldByOther reports whether data may have been held on its way through another daemon,
// to which data is held, or that is paused.
func (r *run) mayBeHeldByOther(q request, x zpoutside.Run, until time.Time) bool {
	return r.usesDetours(q, x, until) && r.hasFault(q.SentAt, until, func(t faultWindow) bool {
		return t.Target != q.Daemon && (t.Kind == DaemonPause || t.Kind == PeerCut)
	})
}

// isBrokenByPartition reports whether the connection of a request may have been lost because
// its daemon was cut off meanwhile, or because of another daemon that connected for it.
func (r *run) isBrokenByPartition(q request, x zpoutside.Run) bool {
	return r.hasFault(q.SentAt, q.DoneAt, func(t faultWindow) bool {
		return (t.Kind == StrandedHang || t.Kind == StrandedReset) && t.isCut(q.Daemon, r.endpointOf(x)) && q.SentAt.Before(t.From.Add(timingTolerance))
	}) || r.usesDetours(q, x, q.DoneAt) && r.hasFault(q.SentAt, q.DoneAt, func(t faultWindow) bool {
		return t.Target != q.Daemon && (t.Kind == DaemonKill || t.Kind == DaemonPause || t.Kind == PeerCut)
	})
}

// usesDetours reports whether a request may have run over a connection of another daemon.
func (r *run) usesDetours(q request, x zpoutside.Run, until time.Time) bool {
	return r.hasFault(q.SentAt.Add(-faultSettleTime), until, func(t faultWindow) bool { return isStranded(t.Kind) && t.isCut(q.Daemon, r.endpointOf(x)) })
}

// isCut reports whether a daemon is cut off from an endpoint.
func (t faultWindow) isCut(daemon, endpoint int) bool {
	return slices.Contains(t.Stranded.Daemons, daemon) && (t.Stranded.Endpoints == nil || slices.Contains(t.Stranded.Endpoints, endpoint))
}
