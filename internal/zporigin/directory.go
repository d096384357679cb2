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
		Table      *Table
		Pools      *Versions
		Log        *zplog.Logger
		Clock      func() time.Time
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
		origin Origin
		known  bool
		err    error
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
	told := make(chan struct{}, keepersAtHome)
	isAwaiting := false
	for _, m := range d.keepers(o.Request) {
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
	if !isAwaiting {
		return
	}
	select {
	case <-told:
	case <-time.After(tellTimeout):
	}
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
	d.Observe(ctx, pool, d.Clock()) // a daemon that has just started may not have looked yet
	o, ok := d.Table.Find(request, d.Clock())
	isMixed, haveAllAnswered := d.Pools.IsMixed(pool), true
	if !ok && request != "" {
		// The others may have seen a new version before this daemon did.
		o, ok, haveAllAnswered = d.ask(ctx, request, isMixed)
	}
	switch {
	case !ok && !isMixed, ok && o.Pool != pool:
		return Finding{Status: StatusAny}
	case ok:
		d.Table.Record(o, d.Clock())
		return Finding{Status: StatusKnown, Version: o.Version}
	}
	if version, isAssumed := d.Pools.Assume(pool, d.Clock()); isAssumed && haveAllAnswered {
		return Finding{Status: StatusAssumed, Version: version}
	}
	return Finding{Status: StatusUnknown}
}

// ask asks the keepers of a request at once, in all regions or in this daemon's, and returns
// the first origin that one of them knows.
func (d *Directory) ask(ctx context.Context, request string, inAllRegions bool) (o Origin, ok, haveAllAnswered bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var addresses []string
	for _, region := range d.Ranked(request) {
		for _, m := range region[:min(len(region), asked)] {
			if m.Name != d.Self.Name && (inAllRegions || m.Region == d.Self.Region) {
				addresses = append(addresses, m.PeerAddress)
			}
		}
	}
	replies := make(chan reply, len(addresses))
	for _, address := range addresses {
		go func() {
			o, known, err := d.Ask(ctx, address, request)
			replies <- reply{o, known, err}
		}()
	}
	haveAllAnswered = true
	for range addresses {
		r := <-replies
		if r.known && r.err == nil {
			return r.origin, true, haveAllAnswered
		}
		haveAllAnswered = haveAllAnswered && r.err == nil
	}
	return Origin{}, false, haveAllAnswered
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
