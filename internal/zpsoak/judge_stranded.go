package zpsoak

import (
	"fmt"
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
	// maxServiceTime is the timeout of most routes.
	maxServiceTime = 4 * time.Second
	// wayBackLimit is how long after a cut requests may still go through other daemons.
	wayBackLimit = time.Second
)

// tally counts the first attempts of clients.
type tally struct{ sent, served int }

func (t tally) failed() int { return t.sent - t.served }

func (t *tally) add(other tally) {
	t.sent += other.sent
	t.served += other.served
}

// String returns the share of attempts that were served.
func (t tally) String() string { return fmt.Sprintf("%d of %d", t.served, t.sent) }

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
			outcome.Stranded.add(cut)
			outcome.Others.add(others)
		}
		allowed := strandedAllowance + (cut.sent+others.sent)/strandedAllowanceOneIn
		if 3*cut.served*others.sent < 2*others.served*cut.sent && cut.failed() > allowed {
			violation("stranded-service", "daemons %v served %s first attempts, the others %s, from %s after %s", t.Stranded.Daemons, cut, others, stableWindow, t.Kind)
		}
	}
}

// countFirstAttempts counts first attempts at daemons that are cut off and at others. Those at
// daemons that have, or had shortly before, a fault of their own are left out, and those at a time
// at which all daemons that are not cut off do.
func (r *run) countFirstAttempts(stranded []int, from, to time.Time) (cut, others tally) {
	for _, q := range r.requestLog.requests {
		isCounted := !q.IsRetry && q.Kind != "cfg" && !q.isDeadly() && q.CanceledAt.IsZero() && !q.SentAt.Before(from) && q.SentAt.Before(to)
		if !isCounted || !r.isSound(q.Daemon, q) || !r.hasSoundOther(stranded, q) {
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

// hasSoundOther reports whether a daemon that is not cut off is sound during a request.
func (r *run) hasSoundOther(stranded []int, q request) bool {
	for d := range r.cluster.Daemons {
		if !slices.Contains(stranded, d) && r.isSound(d, q) {
			return true
		}
	}
	return false
}

// isSound reports whether a daemon has no fault of its own for as long as a request may take,
// and had none shortly before. The time does not depend on the outcome of the request.
func (r *run) isSound(daemon int, q request) bool {
	return !r.hasOwnFault(daemon, q.SentAt.Add(-stableWindow), q.SentAt.Add(maxServiceTime))
}

// hasOwnFault reports whether a daemon may have had a fault other than being cut off from
// endpoints during the period.
func (r *run) hasOwnFault(daemon int, from, to time.Time) bool {
	return r.hasFault(from, to, func(t faultWindow) bool { return isOwnFault(t.Kind) && t.Target == daemon })
}

func isOwnFault(k Kind) bool {
	switch k {
	case DaemonStop, DaemonKill, DaemonPause, StoreCut, StoreOneWay, StoreSilent, StoreReset, PeerCut, PeerSlow, PeersCut, PeersMute, PeersDeaf:
		return true
	default:
		return false
	}
}

// mayBeHeld reports whether data that a daemon sent to an endpoint for a request, before until,
// may have been held on their link. Requests that came later than stableWindow after a daemon
// was cut off are not sent over that.
func (r *run) mayBeHeld(q request, x zpoutside.Run, until time.Time) bool {
	return r.mayBeHeldBetween(q, x, q.SentAt, until)
}

func (r *run) mayBeHeldBetween(q request, x zpoutside.Run, from, until time.Time) bool {
	return r.hasFault(from, until, func(t faultWindow) bool {
		return t.Kind == StrandedHang && t.isCut(q.Daemon, r.endpointOf(x)) && q.SentAt.Before(t.From.Add(stableWindow))
	}) || r.mayBeHeldByOther(q, x, from, until)
}

// mayBeHeldByOther reports whether data may have been held on its way through another daemon,
// to which data is held, or that is paused.
func (r *run) mayBeHeldByOther(q request, x zpoutside.Run, from, until time.Time) bool {
	return r.usesDetours(q, x, until) && r.hasFault(from, until, func(t faultWindow) bool {
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
	return r.hasFault(q.SentAt.Add(-wayBackLimit), until, func(t faultWindow) bool { return isStranded(t.Kind) && t.isCut(q.Daemon, r.endpointOf(x)) })
}

// isCut reports whether a daemon is cut off from an endpoint.
func (t faultWindow) isCut(daemon, endpoint int) bool {
	return slices.Contains(t.Stranded.Daemons, daemon) && (t.Stranded.Endpoints == nil || slices.Contains(t.Stranded.Endpoints, endpoint))
}
