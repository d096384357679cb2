package zpgateway

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

// findOrigin binds a stream that a caller takes up to the software version at which it began.
// It returns an error if that is not known and several versions or pools serve the route, or
// may do so without this daemon's knowledge.
func (g *Gateway) findOrigin(ctx context.Context, j *job) error {
	if j.route.Kind != zpcatalog.KindStream || j.request.LastEventID == "" {
		return nil
	}
	f := g.Origins.Find(ctx, j.request.ResumedID, j.pool.Name)
	j.origin = f.Status
	switch {
	case f.Status == zporigin.StatusKnown:
		return j.bindToOrigin(f)
	case hasLeft(ctx, j): // which ends the search, too
		return errCallerGone.WithState(j.runState)
	case f.Status == zporigin.StatusUnknown, f.Status == zporigin.StatusAny && !g.IsCatalogConfirmed(), hasStreamsOfSeveralPools(j.route, g.Clock()):
		return errOriginUnknown.WithRetryAfter(retryAfterUnavailable)
	case g.Origins != nil: // endpoints of other versions may join while the request waits
		j.bindTo(f.Version)
	}
	return nil
}

// bindToOrigin binds a stream to the pool and the software version at which it began. It
// returns an error if the pool does not serve the route any more.
func (j *job) bindToOrigin(f zporigin.Finding) error {
	pool, ok := j.catalog.PoolOf(f.Pool)
	if !ok || !j.route.HasPool(f.Pool) {
		return errOriginGone
	}
	j.pool = pool
	j.bindTo(f.Version)
	return nil
}

// recordOrigin binds a stream whose first event has arrived to the software version of its
// endpoint, and lets other daemons know where the stream began before the caller does.
func (g *Gateway) recordOrigin(ctx context.Context, j *job, e zpregistry.Endpoint) {
	if !j.route.Resumable {
		return
	}
	j.bindTo(e.SoftwareVersion)
	record := func(attempt string) {
		g.Origins.Record(ctx, zporigin.Origin{Request: attempt, Pool: j.pool.Name, Version: e.SoftwareVersion}, hasStreamsOfSeveralPools(j.route, g.Clock()))
	}
	record(j.request.ID)
	// A caller that takes the stream up again may name the attempt that began it, or this one.
	if j.request.LastEventID != "" && j.origin != zporigin.StatusKnown {
		record(j.request.ResumedID)
	}
}

// hasStreamsOfSeveralPools reports whether streams of several pools may be open on a route.
func hasStreamsOfSeveralPools(r *zpcatalog.Route, now time.Time) bool {
	return r.IsSplit() || now.Sub(r.MovedAt) < zporigin.Retention
}

func (j *job) bindTo(version string) { j.streamVersion, j.isBound = version, true }

// mayUse reports whether the request may run at a software version.
func (j *job) mayUse(version string) bool { return !j.isBound || version == j.streamVersion }
