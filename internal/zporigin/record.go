package zporigin

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

const (
	keepersAtHome    = 2 // in this daemon's region, besides this daemon
	keepersElsewhere = 1 // in each other region
	// tellTimeout bounds the delay of the first event if no keeper in this region answers.
	tellTimeout = 30 * time.Millisecond
	// publishBatch is how many origins one message tells.
	publishBatch = 256
)

// Observe looks at the software versions that a pool's endpoints have. When the pool becomes
// mixed, it tells the keepers of the streams that began before.
func (d *Directory) Observe(ctx context.Context, pool string, now time.Time) {
	d.Saw(ctx, pool, d.VersionsOf(pool, now), now)
}

// Saw is Observe for versions of endpoints that may have left since.
func (d *Directory) Saw(ctx context.Context, pool string, versions []string, now time.Time) {
	d.tellIfMixed(ctx, pool, d.Pools.Observe(pool, versions, now), now)
}

// tellIfMixed tells the keepers of the recent streams in a pool if it has become mixed.
func (d *Directory) tellIfMixed(ctx context.Context, pool string, becameMixed bool, now time.Time) {
	if !becameMixed {
		return
	}
	origins := d.Table.Recent(pool, now)
	d.Log.Emit(zplog.VersionsMixed, zplog.Fields{"pool": pool, "software_versions": slices.Sorted(maps.Keys(d.Pools.LastSeen(pool, now))), "streams": len(origins)})
	byAddress := map[string][]Origin{}
	for _, o := range origins {
		for _, m := range d.keepers(o.Request) {
			byAddress[m.PeerAddress] = append(byAddress[m.PeerAddress], o)
		}
	}
	ctx = context.WithoutCancel(ctx)
	for address, list := range byAddress {
		go d.publish(ctx, address, list)
	}
}

// publish tells a daemon of origins and reports whether it has confirmed all.
func (d *Directory) publish(ctx context.Context, address string, list []Origin) bool {
	for len(list) > 0 {
		n := min(len(list), publishBatch)
		if !d.tell(ctx, address, list[:n]) {
			return false
		}
		list = list[n:]
	}
	return true
}

// Record records that a stream begins. While its pool is mixed, or may have been within the last
// minute for all that this daemon has seen, or if streams of several pools may be open on its
// route, Record returns once a keeper in this region knows it, or after
// tellTimeout: the caller must not get an event before, since it may take the stream up
// elsewhere as soon as it has one. TellAgain goes on if no keeper has confirmed it.
func (d *Directory) Record(ctx context.Context, o Origin, hasSeveralPools bool) {
	if d == nil || o.Request == "" {
		return
	}
	o.Request = keyOf(o.Request)
	now := d.Clock()
	d.Table.Record(o, now)
	isNeeded := hasSeveralPools || !d.hasSeenPast(o.Pool, now)
	d.untold.add(o, isNeeded, now)
	// The endpoint's version may have appeared since the versions were last looked at.
	d.Saw(ctx, o.Pool, []string{o.Version}, now)
	if !isNeeded && !d.Pools.IsMixed(o.Pool) {
		return
	}
	// The keepers are told even if the caller leaves: it may come back.
	ctx = context.WithoutCancel(ctx)
	told := make(chan struct{}, keepersAtHome)
	isAwaiting := false
	keepers := d.keepers(o.Request)
	for _, m := range keepers {
		isAtHome := m.Region == d.Self.Region
		isAwaiting = isAwaiting || isAtHome
		go func() {
			if d.tell(ctx, m.PeerAddress, []Origin{o}) && isAtHome {
				told <- struct{}{}
			}
		}()
	}
	isConfirmed := false
	if isAwaiting {
		select {
		case <-told:
			isConfirmed = true
		case <-time.After(tellTimeout):
		}
	}
	d.Log.Emit(zplog.OriginTold, zplog.Fields{
		"request": o.Request, "pool": o.Pool, "software_version": o.Version, "keepers": namesOf(keepers), "confirmed": isConfirmed,
		"took_ms": d.Clock().Sub(now).Milliseconds(),
	})
}

func namesOf(members []zpassign.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

func (d *Directory) tell(ctx context.Context, address string, list []Origin) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := d.Tell(ctx, address, list)
	if err == nil {
		d.untold.confirm(list)
	} else {
		d.Log.Emit(zplog.PeerFailed, zplog.Fields{"call": "record_origins", "address": address, "error": err.Error()})
	}
	return err == nil
}

// keepers returns the daemons that keep the origin of a request's stream, besides this one.
// Where too few are alive, those that are registered follow: this daemon may be the one that
// hears nobody.
func (d *Directory) keepers(request string) []zpassign.Member {
	left := map[string]int{} // by region
	var out []zpassign.Member
	for _, region := range slices.Concat(d.Alive(request), d.Registered(request)) {
		for _, m := range region {
			if _, ok := left[m.Region]; !ok {
				left[m.Region] = keepersElsewhere
				if m.Region == d.Self.Region {
					left[m.Region] = keepersAtHome
				}
			}
			if left[m.Region] > 0 && m.Name != d.Self.Name && !isNamed(out, m.Name) {
				out = append(out, m)
				left[m.Region]--
			}
		}
	}
	return out
}
