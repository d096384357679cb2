package zporigin

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

type (
	// Directory finds the origins of streams in the whole fleet. Each origin has a few
	// keepers: the daemons in each region that rendezvous hashing ranks first for the request.
	// Set the exported fields before use. It is safe for concurrent use.
	Directory struct {
		Self zpassign.Member
		// Ranked returns the daemons of each region in the order in which they keep what is
		// known of a key.
		Ranked func(key string) [][]zpassign.Member
		Tell   func(ctx context.Context, address string, origins []Origin) error
		Ask    func(ctx context.Context, address, request string) (Origin, bool, error)
		// VersionsOf returns the software versions that a pool's endpoints have now.
		VersionsOf func(pool string, now time.Time) []string
		// ListedAt returns when the list of endpoints was last read or confirmed.
		ListedAt func() time.Time
		Table    *Table
		Pools    *Versions
		Log      *zplog.Logger
		Clock    func() time.Time
	}

	// Finding is what is known of the origin of a stream.
	Finding struct {
		Status  Status
		Version string // if the status is StatusKnown or StatusAssumed
	}

	// Status says how a finding came about.
	Status int

	// reply is one keeper's reply to a question.
	reply struct {
		from   string // name
		origin Origin
		known  bool
		err    error
	}

	// inquiry is what other daemons said of a stream.
	inquiry struct {
		origin   Origin
		isKnown  bool
		asked    []string // names
		answered []string // names, up to the first that knows the stream
	}
)

// Statuses of a finding.
const (
	StatusAny     Status = iota // the pool has one version
	StatusKnown                 // a daemon knows the stream
	StatusAssumed               // no daemon knows it, so it began before the pool had several versions
	StatusUnknown               // it can't be told, so the stream must not go on
)

const (
	keepersAtHome    = 2 // in this daemon's region, besides this daemon
	keepersElsewhere = 1 // in each other region
	// asked is how many daemons of a region are asked. It is higher than the number of keepers,
	// as the one that served the stream keeps nothing for others, and others come back
	// after a restart without what they kept.
	asked = 3
	// tellTimeout bounds the delay of the first event if no keeper in this region answers.
	tellTimeout = 30 * time.Millisecond
	// askTimeout allows for the round trip between regions.
	askTimeout = 150 * time.Millisecond
	// publishBatch is how many origins one message tells.
	publishBatch = 256
)

// Observe looks at the software versions that a pool's endpoints have. When the pool becomes
// mixed, it tells the keepers of the streams that began before.
func (d *Directory) Observe(ctx context.Context, pool string, now time.Time) {
	versions := d.VersionsOf(pool, now)
	if !d.Pools.Observe(pool, versions, now) {
		return
	}
	origins := d.Table.Recent(pool, now)
	d.Log.Emit(zplog.VersionsMixed, zplog.Fields{"pool": pool, "software_versions": versions, "streams": len(origins)})
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

func (d *Directory) publish(ctx context.Context, address string, list []Origin) {
	for len(list) > 0 {
		n := min(len(list), publishBatch)
		if !d.tell(ctx, address, list[:n], askTimeout) {
			return
		}
		list = list[n:]
	}
}

// Record records that a stream begins. While its pool is mixed, Record returns once a keeper
// in this region knows it, or after tellTimeout: the caller must not get an event before,
// since it may take the stream up elsewhere as soon as it has one.
func (d *Directory) Record(ctx context.Context, o Origin) {
	if d == nil || o.Request == "" {
		return
	}
	o.Request = keyOf(o.Request)
	d.Table.Record(o, d.Clock())
	if !d.Pools.IsMixed(o.Pool) {
		return
	}
	// The keepers are told even if the caller leaves: it may come back.
	ctx = context.WithoutCancel(ctx)
	startedAt := d.Clock()
	told := make(chan struct{}, keepersAtHome)
	isAwaiting := false
	keepers := d.keepers(o.Request)
	for _, m := range keepers {
		isAtHome := m.Region == d.Self.Region
		isAwaiting = isAwaiting || isAtHome
		timeout := askTimeout
		if isAtHome {
			timeout = tellTimeout
		}
		go func() {
			if d.tell(ctx, m.PeerAddress, []Origin{o}, timeout) && isAtHome {
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
		"took_ms": d.Clock().Sub(startedAt).Milliseconds(),
	})
}

func namesOf(members []zpassign.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

func (d *Directory) tell(ctx context.Context, address string, list []Origin, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := d.Tell(ctx, address, list)
	if err != nil {
		d.Log.Emit(zplog.PeerFailed, zplog.Fields{"call": "record_origins", "address": address, "error": err.Error()})
	}
	return err == nil
}

// Find returns what is known of the origin of a stream that a caller takes up in a pool. It
// asks other daemons if this one does not know it.
func (d *Directory) Find(ctx context.Context, request, pool string) Finding {
	if d == nil {
		return Finding{Status: StatusAny}
	}
	request = keyOf(request)
	startedAt := d.Clock()
	d.Observe(ctx, pool, startedAt) // a daemon that has just started may not have looked yet
	q := inquiry{}
	q.origin, q.isKnown = d.Table.Find(request, startedAt)
	if !q.isKnown && request != "" {
		// The others may have seen a new version before this daemon did.
		q = d.ask(ctx, request, d.Pools.IsMixed(pool))
	}
	f := d.conclude(q, pool)
	d.logSought(request, pool, f, q, startedAt)
	return f
}

// conclude returns what follows from what other daemons said of a stream.
func (d *Directory) conclude(q inquiry, pool string) Finding {
	now := d.Clock()
	switch {
	case !q.isKnown && !d.Pools.IsMixed(pool), q.isKnown && q.origin.Pool != pool:
		return Finding{Status: StatusAny}
	case q.isKnown:
		d.Table.Record(q.origin, now)
		return Finding{Status: StatusKnown, Version: q.origin.Version}
	}
	if version, isAssumed := d.Pools.Assume(pool, now); isAssumed && len(q.answered) == len(q.asked) {
		return Finding{Status: StatusAssumed, Version: version}
	}
	return Finding{Status: StatusUnknown}
}

func (d *Directory) logSought(request, pool string, f Finding, q inquiry, startedAt time.Time) {
	now := d.Clock()
	seen := map[string]int64{}
	for version, age := range d.Pools.SeenFor(pool, now) {
		seen[version] = age.Milliseconds()
	}
	fields := zplog.Fields{
		"request": request, "pool": pool, "origin": f.Status.String(), "software_version": f.Version, "seen_ms": seen,
		"asked": q.asked, "answered": q.answered, "took_ms": now.Sub(startedAt).Milliseconds(),
	}
	if d.ListedAt != nil {
		fields["list_ms"] = now.Sub(d.ListedAt()).Milliseconds()
	}
	d.Log.Emit(zplog.OriginSought, fields)
}

// ask asks the keepers of a request at once, in all regions or in this daemon's, and returns
// the first origin that one of them knows.
func (d *Directory) ask(ctx context.Context, request string, inAllRegions bool) inquiry {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := inquiry{}
	replies := make(chan reply)
	for _, region := range d.Ranked(request) {
		for _, m := range region[:min(len(region), asked)] {
			if m.Name == d.Self.Name || !inAllRegions && m.Region != d.Self.Region {
				continue
			}
			q.asked = append(q.asked, m.Name)
			go func() {
				o, known, err := d.Ask(ctx, m.PeerAddress, request)
				select {
				case replies <- reply{m.Name, o, known, err}:
				case <-ctx.Done():
				}
			}()
		}
	}
	for range q.asked {
		var r reply
		select {
		case r = <-replies:
		case <-ctx.Done():
			return q
		}
		if r.err != nil {
			continue
		}
		q.answered = append(q.answered, r.from)
		if r.known {
			q.origin, q.isKnown = r.origin, true
			return q
		}
	}
	return q
}

// keepers returns the daemons that keep the origin of a request's stream, besides this one.
func (d *Directory) keepers(request string) []zpassign.Member {
	var out []zpassign.Member
	for _, region := range d.Ranked(request) {
		left := keepersElsewhere
		if len(region) > 0 && region[0].Region == d.Self.Region {
			left = keepersAtHome
		}
		for _, m := range region {
			if left > 0 && m.Name != d.Self.Name {
				out = append(out, m)
				left--
			}
		}
	}
	return out
}

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"any", "known", "assumed", "unknown"}[s]
}
