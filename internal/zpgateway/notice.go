package zpgateway

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// Notice is what an endpoint says of itself in a response, whatever the response is to.
type Notice struct {
	Leaving bool
	// QuietFor is the time for which the endpoint wants no requests from this daemon.
	QuietFor time.Duration
	Load     zpspeed.Load
	// IsBrittle says that the endpoints of the pool fall over when one of them refuses more than
	// MaxRefusals requests in a second.
	IsBrittle   bool
	MaxRefusals int
}

const (
	// maxQuiet bounds the time for which an endpoint can keep requests away.
	maxQuiet = time.Hour
	// maxRetryAfterDivisor divides the time that a caller has left into the longest time for
	// which it heeds Retry-After.
	maxRetryAfterDivisor = 3
)

var errQuiet = zperror.New(zperror.KindUnavailable, "endpoints_quiet",
	"all endpoints want no requests for a while", "send the request again after the time in Retry-After")

// RecordNotice records what an endpoint has said of itself. source names the kind of
// response.
func (g *Gateway) RecordNotice(endpoint, source string, n Notice) {
	if n.Leaving && !zpmutant.Active(zpmutant.Leaving) && g.Registry.SetLeaving(endpoint) {
		g.Log.Emit(zplog.EndpointLeaving, zplog.Fields{"endpoint": endpoint, "source": source})
	}
	g.recordLoad(endpoint, source, n.Load)
	g.recordBrittle(endpoint, source, n)
	if n.QuietFor <= 0 || zpmutant.Active(zpmutant.Quiet) {
		return
	}
	quietFor, now := min(n.QuietFor, maxQuiet), g.Clock()
	if g.Health.RecordQuiet(endpoint, now.Add(quietFor), now) {
		g.Log.Emit(zplog.EndpointQuiet, zplog.Fields{"endpoint": endpoint, "source": source, "quiet_ms": quietFor.Milliseconds()})
	}
}

// recordLoad records what an endpoint has said of its load and speed.
func (g *Gateway) recordLoad(endpoint, source string, l zpspeed.Load) {
	if l == (zpspeed.Load{}) {
		return
	}
	fields := func() zplog.Fields {
		return zplog.Fields{
			"endpoint": endpoint, "source": source, "percent": l.Percent, "running": l.Running, "waiting": l.Waiting, "slots": l.Slots,
		}
	}
	if l.IsBad {
		g.Metrics.LoadWords.WithLabelValues("bad").Inc()
		g.Log.Emit(zplog.BadLoad, fields())
		return
	}
	e, ok := g.Registry.Find(endpoint)
	if !ok {
		return
	}
	g.Metrics.LoadWords.WithLabelValues("used").Inc()
	if g.Speed.Record(endpoint, e.StartedAtMS, l, g.Clock()) {
		g.Log.Emit(zplog.EndpointSlow, fields())
	}
}

// refuseQuiet returns an error if all endpoints that may serve a request want no requests
// until its objective has passed.
func (g *Gateway) refuseQuiet(j *job, now time.Time) error {
	if !g.Health.HasQuiet(now) {
		return nil
	}
	earliest, t := time.Time{}, &terms{demand: g.demandOf(j), regions: g.regionsOf(j), versions: g.versionsOf(j, now)}
	for _, e := range g.Registry.Serving(j.pool.Name, now) {
		if _, ok := g.evaluate(j, e, t, now); !ok {
			continue
		}
		until := g.Health.QuietUntil(e.ID, now)
		if until.IsZero() {
			return nil
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	if earliest.IsZero() || earliest.Before(j.request.ReceivedAt.Add(j.route.TargetLatency)) {
		return nil
	}
	// The random part keeps the callers from returning at the same moment.
	wait := time.Duration(float64(earliest.Sub(now)) * (1 + g.Random()/2))
	return errQuiet.WithRetryAfter(min(wait, j.remaining(now)/maxRetryAfterDivisor))
}
