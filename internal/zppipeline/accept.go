package zppipeline

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

const staleConfigRetryAfter = 2 * time.Second

var (
	// ErrNoConfig is returned while the daemon has no configuration.
	ErrNoConfig = zperror.New(zperror.KindUnavailable, "no_configuration",
		"this daemon has no configuration yet", "send the request again; the balancer should skip daemons whose /readyz fails")
	errConfigStale = zperror.New(zperror.KindUnavailable, "configuration_stale",
		"this daemon cannot prove that its configuration is the newest",
		"send the request again; another daemon may be able to")
)

// accept rejects new requests if the daemon has no configuration, or cannot prove
// that its configuration is recent enough.
func (p *Pipeline) accept(_ context.Context, j *Job) error {
	j.Manifest = p.Fleet.Cache.Manifest()
	if j.Manifest == nil {
		return ErrNoConfig.WithRetryAfter(staleConfigRetryAfter)
	}
	if !p.Fleet.AcceptsWork(p.Clock()) && !zpmutant.Active(zpmutant.Freshness) {
		return errConfigStale.WithRetryAfter(staleConfigRetryAfter)
	}
	return nil
}

// platformDown reports whether the platform is unreachable for all daemons, so
// that claims must be refused.
func (p *Pipeline) platformDown() bool {
	return p.Fleet.Mode(p.Clock()) == zpconfig.ModePlatformDown
}
