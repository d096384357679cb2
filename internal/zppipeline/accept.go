package zppipeline

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

const cutOffRetryAfter = 2 * time.Second

var (
	// ErrNoConfig is the error of a daemon that has no configuration.
	ErrNoConfig = zperror.New(zperror.KindUnavailable, "no_configuration",
		"this daemon has no configuration yet", "send the request again; the balancer should skip daemons whose /readyz fails")
	errCutOff = zperror.New(zperror.KindUnavailable, "configuration_stale",
		"this daemon cannot prove that its configuration is the newest",
		"send the request again; another daemon may be able to")
)

// accept lets new work in if the configuration is proved fresh enough.
func (p *Pipeline) accept(_ context.Context, j *Job) error {
	j.Manifest = p.Fleet.Cache.Manifest()
	if j.Manifest == nil {
		return ErrNoConfig.WithRetryAfter(cutOffRetryAfter)
	}
	if !p.Fleet.Serves(p.Clock()) && !zpmutant.Active(zpmutant.Freshness) {
		return errCutOff.WithRetryAfter(cutOffRetryAfter)
	}
	return nil
}

// platformDown reports whether claims must be refused because the platform is
// known to be unreachable for all daemons.
func (p *Pipeline) platformDown() bool {
	return p.Fleet.Mode(p.Clock()) == zpconfig.ModePlatformDown
}
