package zpapp

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

const (
	// versionsInterval is the interval at which the software versions of the pools are looked at.
	versionsInterval = 100 * time.Millisecond
	// meetTimeout is the time after its start in which a daemon hears from the others.
	meetTimeout = 3 * time.Second
)

func (d *GatewayDaemon) buildOrigins() {
	d.origins = &zporigin.Directory{
		Self: d.self, Ranked: d.rankKeepers,
		Tell: func(ctx context.Context, address string, origins []zporigin.Origin) error {
			return zppeer.RecordOrigins(ctx, d.dialer, address, origins)
		},
		Ask: func(ctx context.Context, address, request string) (zporigin.Origin, bool, error) {
			return zppeer.FindOrigin(ctx, d.dialer, address, request)
		},
		VersionsOf: func(pool string, now time.Time) []string {
			return slices.Sorted(maps.Keys(countVersions(d, pool, now)))
		},
		ListedAt: func() time.Time { return d.follower.PrefixReadAt(zpplatform.EndpointPrefix) },
		Table:    zporigin.NewTable(), Pools: zporigin.NewVersions(), Log: d.Log, Clock: zpclock.Now,
	}
	d.gateway.Origins = d.origins
}

// rankKeepers returns the daemons of each region in the order in which they keep what is known
// of a stream. A daemon that has just started takes all that are registered for alive.
func (d *GatewayDaemon) rankKeepers(request string) [][]zpassign.Member {
	if zpclock.Now().Sub(d.startedAt) < meetTimeout {
		return zplookup.NewOwners(append([]zpassign.Member{d.self}, d.members.Others()...)).Ranked(request)
	}
	return d.live.partOwners().Ranked(request)
}

// watchVersions keeps track of the software versions of the pools until ctx ends.
func (d *GatewayDaemon) watchVersions(ctx context.Context) {
	repeatEvery(ctx, versionsInterval, func(ctx context.Context) {
		c, now := d.catalog.Load(), zpclock.Now()
		if c == nil {
			return
		}
		for _, p := range c.Pools {
			d.origins.Observe(ctx, p.Name, now)
		}
	})
}

func (d *GatewayDaemon) keepOrigins(origins []zporigin.Origin) {
	now := zpclock.Now()
	for _, o := range origins {
		d.origins.Table.Record(o, now)
	}
}

func (d *GatewayDaemon) originOf(request string) (zporigin.Origin, bool) {
	return d.origins.Table.Find(request, zpclock.Now())
}
