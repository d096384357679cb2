package zporigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// past holds what other daemons have told of the versions before this daemon read all
	// changes of the endpoints itself.
	past struct {
		mu    sync.Mutex
		pools map[string]inheritance
	}

	// inheritance is what another daemon has seen of a pool.
	inheritance struct {
		since   time.Time // since when it has seen all versions
		until   time.Time // when it last heard of the endpoints
		askedAt time.Time
		isOlder bool // it is of a release that does not tell since when it has seen them, and counts as one that has
	}
)

const (
	// inheritInterval is the interval at which others are asked for the past, as long as nobody
	// that has seen it answers.
	inheritInterval = time.Second
	// inheritFrom is how many daemons are asked at once.
	inheritFrom = 2
)

// InheritPast asks other daemons which versions a pool has had within the last minute, if this
// one has not seen that. What daemons have seen outlasts their restarts by that, unless all restart
// at once.
func (d *Directory) InheritPast(ctx context.Context, pool string, now time.Time) {
	if d.hasSeenPast(pool, now) || d.keptFor(now) <= 0 || !d.past.mayAsk(pool, now) {
		return
	}
	q := inquiry{versions: map[string]time.Duration{}}
	members := slices.DeleteFunc(slices.Concat(d.Alive(pool)...), func(m zpassign.Member) bool { return m.Name == d.Self.Name })
	d.ask(ctx, "", pool, members[:min(len(members), inheritFrom)], &q)
	d.learn(ctx, pool, &q)
	for _, x := range q.pasts {
		d.past.record(pool, x)
	}
}

// isPastSeen reports whether this daemon or one that answered has seen the versions of the last
// minute. The store does not tell of endpoints that have left.
func (d *Directory) isPastSeen(pool string, q inquiry) bool {
	now, seesSince := d.Clock(), d.SeesSince()
	return d.hasSeenPast(pool, now) || zpmutant.Active(zpmutant.Silence) || zpmutant.Active(zpmutant.PastSeen) ||
		slices.ContainsFunc(q.pasts, func(x inheritance) bool {
			return x.isOlder || x.covers(seesSince) && now.Sub(x.since) >= Retention
		})
}

// hasSeenPast reports whether no version can have come and gone within the last minute without
// this daemon's knowledge.
func (d *Directory) hasSeenPast(pool string, now time.Time) bool {
	return now.Sub(d.seesSince(pool)) >= Retention
}

// seesSince returns since when this daemon knows all versions of a pool and the routes that it
// serves, by itself or by the word of others.
func (d *Directory) seesSince(pool string) time.Time {
	since := d.SeesSince()
	d.past.mu.Lock()
	x, ok := d.past.pools[pool]
	d.past.mu.Unlock()
	if ok && x.covers(since) && x.since.Before(since) {
		since = x.since
	}
	if d.ServesSince != nil {
		if at := d.ServesSince(pool); at.After(since) {
			return at
		}
	}
	return since
}

// pastOf returns what a daemon has seen that was asked at startedAt and has answered by now.
func pastOf(r Reply, startedAt, now time.Time) inheritance {
	if r.SeenFor == UnknownTime {
		return inheritance{until: startedAt, isOlder: true}
	}
	return inheritance{since: now.Add(-r.SeenFor), until: startedAt.Add(-r.SeenAge)}
}

// covers reports whether what the other daemon has seen reaches to the time since when this one
// has read all changes itself.
func (x inheritance) covers(since time.Time) bool { return !x.until.Before(since) }

// mayAsk reports whether others may be asked for the past of a pool again.
func (p *past) mayAsk(pool string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools == nil {
		p.pools = map[string]inheritance{}
	}
	x := p.pools[pool]
	if now.Sub(x.askedAt) < inheritInterval {
		return false
	}
	x.askedAt = now
	p.pools[pool] = x
	return true
}

// record takes over what another daemon has seen, if it has seen more or heard of the endpoints
// later.
func (p *past) record(pool string, x inheritance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.pools[pool]; known.until.IsZero() || x.since.Before(known.since) || x.until.After(known.until) && !x.since.After(known.until) {
		x.askedAt = known.askedAt
		p.pools[pool] = x
	}
}
