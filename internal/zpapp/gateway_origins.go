package zpapp

import (
	"context"
	"errors"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

const (
	// versionsInterval is the interval at which the software versions of the pools are looked at.
	versionsInterval = 100 * time.Millisecond
	// meetTimeout is the time after its start in which a daemon hears from the others.
	meetTimeout = 3 * time.Second
	// changesWait is the shortest wait of a watch, for the changes that the store has already.
	changesWait = time.Millisecond
	// changesPerDaemon spreads reads of changes, so that those of the whole fleet are a part of
	// what the store takes. maxChangesPause is well below the time for which requests wait.
	changesPerDaemon = 2 * time.Millisecond
	maxChangesPause  = 200 * time.Millisecond
	// maxListAge is the age up to which the list of endpoints is current: its watch ends without
	// changes after its wait.
	maxListAge = shortWatchWait + 500*time.Millisecond
)

var (
	// errNotWatching is returned before the endpoints are watched.
	errNotWatching = errors.New("the endpoints are not watched yet")
	// errLacksEntries is returned while endpoints may not have written their entries again.
	errLacksEntries = errors.New("the store may lack entries of endpoints after an outage")
)

func (d *GatewayDaemon) buildOrigins() {
	changes := &zporigin.Reader{Read: d.readVersionChanges, Pause: func() time.Duration {
		return min(time.Duration(len(d.members.Names()))*changesPerDaemon, maxChangesPause)
	}}
	d.origins = &zporigin.Directory{
		Self: d.self, Alive: d.rankKeepers, Registered: func(request string) [][]zpassign.Member { return d.live.registeredOwners().Ranked(request) },
		Others: d.members.Others, HearsAll: d.hearsAll,
		Tell: func(ctx context.Context, address string, origins []zporigin.Origin) error {
			return zppeer.RecordOrigins(ctx, d.dialer, address, origins)
		},
		Ask: func(ctx context.Context, address, request, pool string) (zporigin.Reply, error) {
			return zppeer.FindOrigin(ctx, d.dialer, address, request, pool)
		},
		VersionsOf: d.registry.SoftwareVersions,
		ReadVersions: func(ctx context.Context, pool string) ([]string, error) {
			versions, err := changes.Latest(ctx)
			return versions[pool], err
		},
		ListedAt:   func() time.Time { return d.follower.PrefixReadAt(zpplatform.EndpointPrefix) },
		KeepsSince: d.keepsSince, SeesSince: d.seesSince, ServesSince: d.servesSince,
		Table: zporigin.NewTable(), Pools: zporigin.NewVersions(), Log: d.Log, Clock: zpclock.Now,
	}
	d.gateway.Origins = d.origins
}

// hearsAll reports whether all daemons that may have begun a stream have answered recently. One
// that has left can't be asked any more.
func (d *GatewayDaemon) hearsAll() bool {
	return len(d.live.list()) == len(d.members.Names()) && !d.members.haveLeft(zpclock.Now())
}

// rankKeepers returns the daemons of each region in the order in which they keep what is known
// of a stream. A daemon that has just started takes all that are registered for alive.
func (d *GatewayDaemon) rankKeepers(request string) [][]zpassign.Member {
	if zpclock.Now().Sub(d.startedAt) < meetTimeout {
		return d.live.registeredOwners().Ranked(request)
	}
	return d.live.partOwners().Ranked(request)
}

// keepsSince returns when this daemon started or was last paused, or the zero time while it
// does not know the endpoints. Before the fleet first started there was nothing to keep.
func (d *GatewayDaemon) keepsSince() time.Time {
	since := d.runsSince()
	if !d.registry.HasSynced() {
		return time.Time{}
	}
	if d.Node.FirstStart && since.Equal(d.startedAt) {
		return since.Add(-zporigin.Retention)
	}
	return since
}

// seesSince returns since when this daemon has read all changes of the endpoints: since it
// first listed them, was last paused, or missed some. It returns the zero time if it has read them
// since the fleet first started.
func (d *GatewayDaemon) seesSince() time.Time {
	since, listedAt := d.runsSince(), d.endpointGap.firstListedAt()
	switch {
	case listedAt.IsZero():
		return zpclock.Now()
	case d.Node.FirstStart && since.Equal(d.startedAt) && listedAt.Sub(d.startedAt) < meetTimeout:
		since = time.Time{}
	case listedAt.After(since):
		since = listedAt
	}
	if _, until := d.endpointGap.last(zpclock.Now()); until.After(since) {
		since = until
	}
	return since
}

// servesSince returns since when a pool has served its routes. A daemon that knows no route to it
// may be about to read a configuration that has one.
func (d *GatewayDaemon) servesSince(pool string) time.Time {
	if c := d.catalog.Load(); c != nil {
		if movedAt, ok := c.ServesSince(pool); ok {
			return movedAt
		}
	}
	return zpclock.Now()
}

// runsSince returns when this daemon started or was last paused.
func (d *GatewayDaemon) runsSince() time.Time {
	d.catalogs.recordActive(zpclock.Now()) // this may be the first thing that it does after a pause
	if at := d.catalogs.guard.ResumedAt(); at.After(d.startedAt) {
		return at
	}
	return d.startedAt
}

// isEndpointListCurrent reports whether the list of endpoints is as new as its watch keeps it
// while the store answers.
func (d *GatewayDaemon) isEndpointListCurrent() bool {
	now := zpclock.Now()
	return !d.watches.storeDown.Load() && !d.registry.MayLackEntries(now) && now.Sub(d.follower.PrefixReadAt(zpplatform.EndpointPrefix)) < maxListAge
}

// readVersionChanges reads from the store itself which endpoints have changed since this
// daemon last heard of them, and returns their software versions by pool. It includes the
// changes that the daemon has missed, if the store still has them.
func (d *GatewayDaemon) readVersionChanges(ctx context.Context) (map[string][]string, error) {
	if from, until := d.endpointGap.last(zpclock.Now()); from != 0 {
		out, err := d.readVersionsSince(ctx, from)
		if err == nil {
			d.endpointGap.close(until)
		}
		if !zpobject.IsNotFound(err) { // the history is there
			return out, err
		}
	}
	return d.readVersionsSince(ctx, d.follower.AppliedRevision(zpplatform.EndpointPrefix))
}

// readVersionsSince returns the software versions of the endpoints that have changed since a
// revision, by pool.
func (d *GatewayDaemon) readVersionsSince(ctx context.Context, from int64) (map[string][]string, error) {
	if from == 0 {
		return nil, errNotWatching
	}
	l, err := d.reads.Watch(ctx, zpplatform.EndpointPrefix, from, changesWait)
	out := map[string][]string{}
	now := zpclock.Now()
	if err == nil && (d.registry.MayLackEntries(now) || now.Sub(d.reads.AnswersSince()) < lapsedEntryGrace) {
		err = errLacksEntries
	}
	for _, o := range l.Objects {
		if e, decodeErr := zpplatform.DecodeEndpoint(o, d.Node.RegionOf, now); !o.Deleted && decodeErr == nil {
			out[e.Pool] = append(out[e.Pool], e.SoftwareVersion)
		}
	}
	for pool, versions := range out {
		d.origins.Saw(ctx, pool, versions, now)
	}
	return out, err
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

// inheritPasts learns from others which versions the pools have had, until ctx ends.
func (d *GatewayDaemon) inheritPasts(ctx context.Context) {
	repeatEvery(ctx, versionsInterval, func(ctx context.Context) {
		c := d.catalog.Load()
		if c == nil {
			return
		}
		for _, p := range c.Pools {
			d.origins.InheritPast(ctx, p.Name, zpclock.Now())
		}
	})
}

func (d *GatewayDaemon) keepOrigins(origins []zporigin.Origin) {
	now := zpclock.Now()
	for _, o := range origins {
		d.origins.Table.Record(o, now)
	}
}

func (d *GatewayDaemon) originOf(request, pool string) zporigin.Reply {
	return d.origins.Answer(request, pool, zpclock.Now())
}
