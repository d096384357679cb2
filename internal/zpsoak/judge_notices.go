package zpsoak

import (
	"net/http"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

// Documented limits on requests to an endpoint that wants none for a while: from quietDelay
// after it has said so, at most maxQuietArrivals of one daemon reach it.
const (
	quietDelay       = 500 * time.Millisecond
	maxQuietArrivals = 2
)

// daemonAtEndpoint identifies what one daemon has heard of one endpoint.
type daemonAtEndpoint struct {
	daemon   int
	endpoint string
}

// checkNotices checks that daemons follow what endpoints say of themselves in their
// responses: that they leave, or for how long they want no requests.
func (r *run) checkNotices(runs []zpoutside.Run, violation reportFunc) {
	requests := map[string]request{}
	for _, q := range r.requestLog.requests {
		requests[q.ID] = q
	}
	runCount := map[string]int{}
	for _, x := range runs {
		runCount[x.Request]++
	}
	leftAt, quiet := map[daemonAtEndpoint]time.Time{}, map[daemonAtEndpoint][]zpoutside.Notice{}
	for _, n := range r.cluster.log.Notices() {
		q, known := requests[n.Request]
		if !known {
			continue
		}
		key := daemonAtEndpoint{q.Daemon, n.Endpoint}
		// The endpoint or the link may have cut other responses before the daemon read them. The
		// response to a request that ran on several endpoints is that of any of them.
		isPassedOn := q.Status == http.StatusOK && runCount[n.Request] == 1
		if at, heard := leftAt[key]; n.Leaving && isPassedOn && (!heard || q.DoneAt.Before(at)) {
			leftAt[key] = q.DoneAt
		}
		if !n.QuietUntil.IsZero() {
			quiet[key] = append(quiet[key], n)
		}
	}
	for _, x := range runs {
		q, known := requests[x.Request]
		at, heard := leftAt[daemonAtEndpoint{q.Daemon, x.Endpoint}]
		if known && heard && q.SentAt.After(at.Add(zpoutside.DrainMS*time.Millisecond+timingTolerance)) && !r.hasForgotten(q.Daemon, at, x.At) {
			violation("leaving", "%s ran on %s %s after that had told daemon %d that it leaves", x.Request, x.Endpoint, x.At.Sub(at), q.Daemon)
		}
	}
	for key, list := range quiet {
		r.checkQuiet(key, list, violation)
	}
}

// checkQuiet checks how many requests of a daemon an endpoint has rejected, oldest first,
// because it wanted none.
func (r *run) checkQuiet(key daemonAtEndpoint, rejected []zpoutside.Notice, violation reportFunc) {
	first, arrivals := rejected[0], 0
	for _, n := range rejected[1:] {
		if n.At.After(first.QuietUntil) {
			first, arrivals = n, 0
			continue
		}
		from := first.At.Add(quietDelay + timingTolerance)
		if n.At.Before(from) || r.mayHaveMissed(first, key.daemon, n.At) || r.hasForgotten(key.daemon, first.At, n.At) || r.mayBeDelayed(zpoutside.Run{Endpoint: n.Endpoint, At: first.At}, n.At) {
			continue
		}
		if arrivals++; arrivals > maxQuietArrivals {
			violation("quiet", "%s is request %d of daemon %d to %s, which had asked it for none until %s later", n.Request, arrivals, key.daemon, n.Endpoint, first.QuietUntil.Sub(n.At))
		}
	}
}

// hasForgotten reports whether a daemon may have restarted or paused between two times.
func (r *run) hasForgotten(daemon int, from, to time.Time) bool {
	return r.hasFault(from, to, func(t faultWindow) bool {
		return t.Target == daemon && (t.Kind == DaemonStop || t.Kind == DaemonKill || t.Kind == DaemonPause)
	})
}

// mayHaveMissed reports whether a daemon may have received a notice late, or not at all.
func (r *run) mayHaveMissed(n zpoutside.Notice, daemon int, until time.Time) bool {
	endpoint := r.endpointOf(zpoutside.Run{Endpoint: n.Endpoint})
	return r.hasFault(n.At, until, func(t faultWindow) bool {
		isEarly := n.At.Before(t.From.Add(stableWindow))
		return t.Kind == EndpointSilent && t.Target == endpoint || isEarly && (t.Kind == StrandedHang || t.Kind == StrandedReset) && t.isCut(daemon, endpoint)
	})
}
