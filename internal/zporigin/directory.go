package zporigin

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Directory finds the origins of streams in the whole fleet. Each origin has a few
	// keepers: the daemons in each region that rendezvous hashing ranks first for the request.
	// Set the exported fields before use. It is safe for concurrent use.
	Directory struct {
		Self zpassign.Member
		// Alive returns the daemons of each region that this one takes for alive, in the order
		// in which they keep what is known of a key.
		Alive func(key string) [][]zpassign.Member
		// Registered is Alive for all registered daemons. One that does not answer is among
		// them, so that its silence is noticed.
		Registered func(key string) [][]zpassign.Member
		Others     func() []zpassign.Member // all other registered daemons
		// HearsAll reports whether all registered daemons have answered recently, and none has
		// left within Retention.
		HearsAll func() bool
		Tell     func(ctx context.Context, address string, origins []Origin) error
		Ask      func(ctx context.Context, address, request, pool string) (Reply, error)
		// VersionsOf returns the software versions that a pool's endpoints have now, as far as
		// this daemon knows.
		VersionsOf func(pool string, now time.Time) []string
		// ReadVersions returns the software versions in entries of a pool's endpoints that the
		// store has and this daemon may not know of.
		ReadVersions func(ctx context.Context, pool string) ([]string, error)
		// ListedAt returns when the list of endpoints was last read or confirmed.
		ListedAt func() time.Time
		// KeepsSince returns when this daemon started or was last paused, or the zero time while
		// it has not read the endpoints.
		KeepsSince func() time.Time
		// SeesSince returns since when this daemon has seen each version of a pool, or the zero
		// time if it has since the fleet first started.
		SeesSince func() time.Time
		// ServesSince returns since when a pool has served its routes, as far as this daemon has
		// seen that change. It may be nil.
		ServesSince func(pool string) time.Time
		Table       *Table
		Pools       *Versions
		Log         *zplog.Logger
		Clock       func() time.Time

		past   past
		untold untold
	}

	// Reply is what a daemon knows of a stream and of the pool in which it is taken up.
	Reply struct {
		Origin  Origin
		IsKnown bool
		// KeptFor is the time since the daemon started, was last paused, or had no room for an
		// origin that began then. Zero means that it cannot tell whether the stream exists, and says
		// nothing of the versions.
		KeptFor time.Duration
		// SeenFor is the time for which the daemon has read all changes of the endpoints, so that
		// no version came and went unseen, and for which the pool has served its routes.
		// UnknownTime: it is of a release that does not say.
		SeenFor  time.Duration
		SeenAge  time.Duration            // since it last heard of the endpoints
		Versions map[string]time.Duration // software versions of which streams may be open, and the time since each was last seen
		MixedFor time.Duration            // since the daemon knew of several versions; zero: it knows one
	}

	// Finding is what is known of the origin of a stream.
	Finding struct {
		Status Status
		Pool   string // in which the stream began, if the status is StatusKnown
		// Version is the only one at which the stream may go on, unless the status is
		// StatusUnknown. It is empty where endpoints name none.
		Version string
	}

	// Status says how a finding came about.
	Status int
)

// Statuses of a finding.
const (
	StatusAny     Status = iota // the pool has one version
	StatusKnown                 // a daemon knows the stream
	StatusAssumed               // no daemon knows it, so it began before the pool had several versions
	StatusUnknown               // it can't be told, so the stream must not go on
)

// UnknownTime is a time that a daemon of an earlier release does not tell.
const UnknownTime time.Duration = -1

const (
	// settleTime is how long a daemon must have run for its word that it does not know a stream:
	// it has the endpoints that joined meanwhile, and the streams of the versions that may be assumed.
	settleTime = 2 * assumeFor
	// readTimeout bounds the wait for the store.
	readTimeout = 300 * time.Millisecond
)

// Find returns what is known of the origin of a stream that a caller takes up in a pool. It
// asks other daemons if this one does not know it, and the store whether the pool has one
// version.
// request is empty if the caller does not name the attempt that began the stream.
func (d *Directory) Find(ctx context.Context, request, pool string) Finding {
	if d == nil {
		return Finding{Status: StatusAny}
	}
	request = keyOf(request)
	startedAt := d.Clock()
	d.Observe(ctx, pool, startedAt) // a daemon that has just started may not have looked yet
	q := inquiry{}
	if q.origin, q.isKnown = d.Table.Find(request, startedAt); !q.isKnown {
		q = d.askKeepers(ctx, request, pool)
	}
	f, isRead := d.conclude(ctx, request, pool, &q)
	d.logSought(request, pool, f, q, isRead, startedAt)
	return f
}

// Answer returns what this daemon knows of a stream that is taken up in a pool elsewhere.
func (d *Directory) Answer(request, pool string, now time.Time) Reply {
	r := Reply{KeptFor: d.keptFor(now), SeenFor: now.Sub(d.seesSince(pool)), SeenAge: now.Sub(d.ListedAt()), Versions: d.Pools.LastSeen(pool, now), MixedFor: d.Pools.MixedFor(pool, now)}
	r.Origin, r.IsKnown = d.Table.Find(request, now)
	return r
}

// conclude returns what follows from what other daemons said of a stream, and whether the
// store was read for that.
func (d *Directory) conclude(ctx context.Context, request, pool string, q *inquiry) (f Finding, isRead bool) {
	d.learn(ctx, pool, q)
	isProven, isRead := d.prove(ctx, request, pool, q)
	if !isProven && !q.isKnown && request != "" {
		d.askRest(ctx, request, pool, q) // one that is no keeper may have begun the stream
	}
	now := d.Clock()
	only, hasOne := d.Pools.Only(pool)
	before, mayAssume := d.Pools.Assume(pool, now)
	switch {
	case q.isKnown:
		d.Table.Record(q.origin, now)
		return Finding{Status: StatusKnown, Pool: q.origin.Pool, Version: q.origin.Version}, isRead
	case isProven && hasOne:
		return Finding{Status: StatusAny, Version: only}, isRead
	case isProven && mayAssume && request != "" && q.mixedFor < assumeFor:
		return Finding{Status: StatusAssumed, Version: before}, isRead
	default:
		return Finding{Status: StatusUnknown}, isRead
	}
}

// prove reports whether a stream that nobody knows can only have begun at the version that its
// pool has, or had before it became mixed, and whether the store was read for that. q holds
// what all that were asked said, also those that prove asks.
func (d *Directory) prove(ctx context.Context, request, pool string, q *inquiry) (isProven, isRead bool) {
	if !q.isKnown && !d.Pools.IsMixed(pool) {
		isRead = true
		isProven = d.readVersions(ctx, pool) && d.provePastSeen(ctx, request, pool, q) || d.proveAbsence(ctx, request, pool, q)
	}
	// The store or the others may have told of a second version meanwhile.
	if _, ok := d.Pools.Assume(pool, d.Clock()); ok && !q.isKnown && request != "" {
		isProven = d.proveAbsence(ctx, request, pool, q) && len(q.asked) >= len(d.Others())
	}
	return isProven, isRead
}

// learn takes over the software versions that other daemons have seen in a pool.
func (d *Directory) learn(ctx context.Context, pool string, q *inquiry) {
	now := d.Clock()
	d.tellIfMixed(ctx, pool, d.Pools.Learn(pool, q.versions, now), now)
}

// proveAbsence asks all daemons that were not asked yet, in a fleet of up to maxAskedAll, and
// reports whether none of them can have begun the stream: one that was cut off just now may
// have begun it and have told nobody, while it still counts as heard.
func (d *Directory) proveAbsence(ctx context.Context, request, pool string, q *inquiry) bool {
	if d.isAbsenceProven(*q, d.Clock()) {
		d.askRest(ctx, request, pool, q)
	}
	return !q.isKnown && d.isAbsenceProven(*q, d.Clock()) && (d.isPastSeen(pool, *q) || d.haveKeptAll(*q, d.Clock()))
}

// haveKeptAll reports whether the streams of the last minute are known to those that were asked
// or to this daemon, as none of them has started, or was paused, since they began.
func (d *Directory) haveKeptAll(q inquiry, now time.Time) bool {
	return d.keptFor(now) >= Retention && q.leastKept() >= Retention
}

// provePastSeen asks all daemons that were not asked yet, in a fleet of up to maxAskedAll, if
// none of the others has seen the versions of the last minute, and reports whether one has.
func (d *Directory) provePastSeen(ctx context.Context, request, pool string, q *inquiry) bool {
	if !d.isPastSeen(pool, *q) {
		d.askRest(ctx, request, pool, q)
	}
	return d.isPastSeen(pool, *q)
}

// askRest asks all daemons that were not asked yet, in a fleet of up to maxAskedAll.
func (d *Directory) askRest(ctx context.Context, request, pool string, q *inquiry) {
	others := d.Others()
	if len(others) > maxAskedAll || zpmutant.Active(zpmutant.Rest) {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(others), func(m zpassign.Member) bool { return slices.Contains(q.asked, m.Name) })
	d.ask(ctx, request, pool, rest, q)
	d.learn(ctx, pool, q)
}

// isAbsenceProven reports whether all that were asked have answered, and no daemon may be out
// of their reach. That nobody was asked, or that nobody answered, proves nothing, unless this
// daemon is the only one.
func (d *Directory) isAbsenceProven(q inquiry, now time.Time) bool {
	return zpmutant.Active(zpmutant.Silence) || (q.isComplete() || len(d.Others()) == 0) && (d.HearsAll() || zpmutant.Active(zpmutant.Contact)) && d.keptFor(now) >= settleTime
}

// readVersions reads the endpoints' versions from the store and reports whether it answered.
func (d *Directory) readVersions(ctx context.Context, pool string) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if zpmutant.Active(zpmutant.Silence) || zpmutant.Active(zpmutant.StoreWord) {
		return true
	}
	versions, err := d.ReadVersions(ctx, pool)
	now := d.Clock()
	// The changes that the store told before are in the list of endpoints by now.
	versions = slices.Concat(versions, d.VersionsOf(pool, now)) // others have the same slice
	d.tellIfMixed(ctx, pool, d.Pools.Observe(pool, versions, now), now)
	return err == nil
}

// keptFor returns for how long this daemon has kept all origins; zero if it cannot tell.
func (d *Directory) keptFor(now time.Time) time.Duration {
	since := d.KeepsSince()
	if since.IsZero() {
		return 0
	}
	if at := d.Table.KeepsSince(); at.After(since) {
		since = at
	}
	return now.Sub(since)
}

func (d *Directory) logSought(request, pool string, f Finding, q inquiry, isRead bool, startedAt time.Time) {
	now := d.Clock()
	seen := map[string]int64{}
	for version, age := range d.Pools.SeenFor(pool, now) {
		seen[version] = age.Milliseconds()
	}
	d.Log.Emit(zplog.OriginSought, zplog.Fields{
		"request": request, "pool": pool, "origin": f.Status.String(), "software_version": f.Version, "began_in": f.Pool, "seen_ms": seen,
		"asked": q.asked, "answered": q.answered, "unsettled": q.unsettled, "versions": slices.Sorted(maps.Keys(q.versions)), "mixed_ms": q.mixedFor.Milliseconds(),
		"kept_ms": d.keptFor(now).Milliseconds(), "list_ms": now.Sub(d.ListedAt()).Milliseconds(), "store_read": isRead,
		"hears_all": d.HearsAll(), "took_ms": now.Sub(startedAt).Milliseconds(),
	})
}

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"any", "known", "assumed", "unknown"}[s]
}
