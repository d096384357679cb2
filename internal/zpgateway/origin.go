package zpgateway

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

// findOrigin binds a stream that a caller takes up to the software version at which it began.
// It returns an error if several versions serve the pool and it is not known which one that
// was.
func (g *Gateway) findOrigin(ctx context.Context, j *job) error {
	if j.route.Kind != zpcatalog.KindStream || j.request.LastEventID == "" {
		return nil
	}
	f := g.Origins.Find(ctx, j.request.ResumedID, j.pool.Name)
	j.origin = f.Status
	switch f.Status {
	case zporigin.StatusUnknown:
		return errOriginUnknown.WithRetryAfter(retryAfterUnavailable)
	case zporigin.StatusKnown, zporigin.StatusAssumed:
		j.bindTo(f.Version)
	}
	return nil
}

// recordOrigin binds a stream whose first event has arrived to the software version of its
// endpoint, and lets other daemons know where the stream began before the caller does.
func (g *Gateway) recordOrigin(ctx context.Context, j *job, e zpregistry.Endpoint) {
	if !j.route.Resumable || j.isBound {
		return
	}
	j.bindTo(e.SoftwareVersion)
	if j.request.LastEventID == "" {
		g.Origins.Record(ctx, zporigin.Origin{Request: j.request.ID, Pool: j.pool.Name, Version: e.SoftwareVersion})
	}
}

func (j *job) bindTo(version string) { j.streamVersion, j.isBound = version, true }

// mayUse reports whether the request may run at a software version.
func (j *job) mayUse(version string) bool { return !j.isBound || version == j.streamVersion }
