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
		// HearsAll reports whether all registered daemons have answered recently.
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
		Table      *Table
		Pools      *Versions
		Log        *zplog.Logger
		Clock      func() time.Time
	}

	// Reply is what a daemon knows of a stream and of the pool in which it is taken up.
	Reply struct {
		Origin  Origin
		IsKnown bool
		// KeptFor is the time since the daemon started or was last paused. Zero means that it
		// cannot tell whether the stream exists, and says nothing of the versions.
		KeptFor  time.Duration
		Versions map[string]time.Duration // software versions of which streams may be open, and the time since each was last seen
		MixedFor time.Duration            // since the daemon knew of several versions; zero: it knows one
	}

	// Finding is what is known of the origin of a stream.
	Finding struct {
		Status  Status
		Version string // if the status is StatusKnown or StatusAssumed
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

const (
	// settleTime is how long a daemon must have run for its word that it does not know a stream:
	// it has the endpoints that joined meanwhile, and the streams of the versions that may be assumed.
	settleTime = 2 * assumeFor
	// readTimeout bounds the wait for the store.
	readTimeout = 300 * time.Millisecond
)

// Find returns what is known of the origin of a stream that a caller takes up in a pool. It
// asks other daemons if this one does not know it, and the store if not all of them answer.
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
		q = d.ask(ctx, request, pool)
	}
	f, isRead := d.conclude(ctx, request, pool, q)
	d.logSought(request, pool, f, q, isRead, startedAt)
	return f
}

// Answer returns what this daemon knows of a stream that is taken up in a pool elsewhere.
func (d *Directory) Answer(request, pool string, now time.Time) Reply {
	r := Reply{KeptFor: d.keptFor(now), Versions: d.Pools.LastSeen(pool, now), MixedFor: d.Pools.MixedFor(pool, now)}
	r.Origin, r.IsKnown = d.Table.Find(request, now)
	return r
}

// conclude returns what follows from what other daemons said of a stream, and whether the
// store was read for that.
func (d *Directory) conclude(ctx context.Context, request, pool string, q inquiry) (f Finding, isRead bool) {
	now := d.Clock()
	if q.isKnown && q.origin.Pool != pool {
		return Finding{Status: StatusAny}, false
	}
	if q.isKnown {
		d.Table.Record(q.origin, now)
		return Finding{Status: StatusKnown, Version: q.origin.Version}, false
	}
	d.tellIfMixed(ctx, pool, d.Pools.Learn(pool, q.versions, now), now)
	if !d.Pools.IsMixed(pool) && !d.isAbsenceProven(q, now) {
		isRead = true
		if !d.readVersions(ctx, pool) {
			return Finding{Status: StatusUnknown}, isRead
		}
	}
	if !d.Pools.IsMixed(pool) {
		return Finding{Status: StatusAny}, isRead
	}
	if version, ok := d.Pools.Assume(pool, now); ok && request != "" && d.mayAssume(q, now) {
		return Finding{Status: StatusAssumed, Version: version}, isRead
	}
	return Finding{Status: StatusUnknown}, isRead
}

// isAbsenceProven reports whether the daemons that would know the stream have answered. That
// nobody was asked, or that nobody answered, proves nothing.
func (d *Directory) isAbsenceProven(q inquiry, now time.Time) bool {
	return q.isComplete() && d.keptFor(now) >= settleTime
}

// mayAssume reports whether a stream that nobody knows began before the pool had several
// versions: no daemon could have begun one since without telling those that were asked.
func (d *Directory) mayAssume(q inquiry, now time.Time) bool {
	return d.isAbsenceProven(q, now) && q.mixedFor < assumeFor && (d.HearsAll() || zpmutant.Active(zpmutant.Silence))
}

// readVersions reads the endpoints' versions from the store and reports whether it answered.
func (d *Directory) readVersions(ctx context.Context, pool string) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	versions, err := d.ReadVersions(ctx, pool)
	now := d.Clock()
	// The changes that the store told before are in the list of endpoints by now.
	versions = append(versions, d.VersionsOf(pool, now)...)
	d.tellIfMixed(ctx, pool, d.Pools.Observe(pool, versions, now), now)
	return err == nil
}

// keptFor returns for how long this daemon has kept origins; zero if it cannot tell.
func (d *Directory) keptFor(now time.Time) time.Duration {
	since := d.KeepsSince()
	if since.IsZero() {
		return 0
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
		"request": request, "pool": pool, "origin": f.Status.String(), "software_version": f.Version, "seen_ms": seen,
		"asked": q.asked, "answered": q.answered, "unsettled": q.unsettled, "versions": slices.Sorted(maps.Keys(q.versions)), "mixed_ms": q.mixedFor.Milliseconds(),
		"kept_ms": d.keptFor(now).Milliseconds(), "list_ms": now.Sub(d.ListedAt()).Milliseconds(), "store_read": isRead,
		"hears_all": d.HearsAll(), "took_ms": now.Sub(startedAt).Milliseconds(),
	})
}

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"any", "known", "assumed", "unknown"}[s]
}
