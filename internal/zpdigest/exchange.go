package zpdigest

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Exchange reports this daemon's load and learns that of the others. Set the
	// exported fields before Run.
	Exchange struct {
		Self         zpassign.Member
		Hub          *Hub
		Usage        *zpusage.Tracker
		Speed        *zpspeed.Tracker // nil: speeds are not exchanged
		Others       func() []zpassign.Member
		ReportLoad   func(ctx context.Context, address string, r Report) (Digest, error)
		ExchangeSums func(ctx context.Context, address string, s Sum) (Sum, error)
		Log          *zplog.Logger
		Clock        func() time.Time

		mu           sync.Mutex
		failures     map[string]int       // calls in a row that a relay did not answer, by instance
		avoidedUntil map[string]time.Time // by instance
		orders       map[string]relayOrder
		ordersOf     []zpassign.Member // the result of Others from which orders was made
		digest       Digest            // Alive is always filled in
		digestAt     time.Time         // zero if there is none
		aliveSum     uint64            // AliveChecksum of the digest
	}
)

const (
	// MinFleet is the number of other daemons from which loads go through relays. In a
	// smaller fleet each daemon tells all others; in a larger one, such loads would come
	// only when they lapse.
	MinFleet = 90

	// reportInterval and sumInterval are the intervals between calls to a relay, and
	// between calls from one relay to another.
	reportInterval = 200 * time.Millisecond
	sumInterval    = 200 * time.Millisecond
	// maxFailures is the number of calls in a row without an answer after which a relay is
	// avoided for avoidDuration. A single one is often due to a busy caller.
	maxFailures   = 2
	avoidDuration = 3 * time.Second
	// fleetSource is the name under which the digest is kept in Usage.
	fleetSource = "fleet"
)

// IsActive reports whether loads go through relays.
func (x *Exchange) IsActive() bool { return len(x.Others()) >= MinFleet }

// Run exchanges loads until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { x.repeat(ctx, reportInterval, x.Report) })
	loops.Go(func() { x.repeat(ctx, sumInterval, x.MergeSums) })
	loops.Wait()
}

// repeat calls step at an interval while loads go through relays.
func (x *Exchange) repeat(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if x.IsActive() {
			step(ctx)
		}
	}
}

// Report sends this daemon's load to its relay and takes over the digest. If the relay
// does not answer, the previous digest counts until it lapses.
func (x *Exchange) Report(ctx context.Context) {
	uses, _ := x.Usage.Own()
	r := Report{Name: x.Self.Name, Instance: x.Self.Instance, Uses: uses, KnownAlive: x.knownAlive()}
	now := x.Clock()
	if x.Speed != nil {
		r.Speeds = x.Speed.Reports(now)
	}
	relay, ok := x.ownRelay(now)
	if !ok || relay.Instance == x.Self.Instance {
		x.Hub.AddReport(r, now)
		x.apply(x.Hub.Digest(r.Name, r.KnownAlive, now), now)
		return
	}
	x.Hub.RemoveReport(r.Name)
	d, err := x.ReportLoad(ctx, relay.PeerAddress, r)
	x.recordCall(ctx, relay, err)
	if err == nil {
		x.apply(d, x.Clock())
	}
}

// MergeSums tells the other relays the sum of the daemons that report to this one, and
// learns theirs. It does nothing on a daemon to which none reports.
func (x *Exchange) MergeSums(ctx context.Context) {
	now := x.Clock()
	if !x.Hub.HasReports(now) {
		return
	}
	s := x.Hub.Sum(now)
	var calls sync.WaitGroup
	for _, relays := range x.relays(now) {
		for _, relay := range relays {
			if relay.Instance == x.Self.Instance {
				continue
			}
			calls.Go(func() {
				theirs, err := x.ExchangeSums(ctx, relay.PeerAddress, s)
				x.recordCall(ctx, relay, err)
				if err == nil {
					x.Hub.AddSum(theirs, x.Clock())
				}
			})
		}
	}
	calls.Wait()
}

// relays returns the relays of each failure domain that this daemon uses now.
func (x *Exchange) relays(now time.Time) map[string][]zpassign.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateOrders()
	out := make(map[string][]zpassign.Member, len(x.orders))
	for domain, order := range x.orders {
		out[domain] = order.choose(x.isAvoided(now))
	}
	return out
}

// ownRelay returns the relay to which this daemon reports now.
func (x *Exchange) ownRelay(now time.Time) (zpassign.Member, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateOrders()
	order := x.orders[x.Self.Domain]
	return order.relayFor(x.Self.Name, order.choose(x.isAvoided(now)))
}

// updateOrders makes the orders anew if the members have changed; x.mu must be held.
func (x *Exchange) updateOrders() {
	others := x.Others()
	if x.orders == nil || len(others) != len(x.ordersOf) || len(others) > 0 && &others[0] != &x.ordersOf[0] {
		x.orders, x.ordersOf = relaysByDomain(append(slices.Clone(others), x.Self)), others
	}
}

func (x *Exchange) isAvoided(now time.Time) func(m zpassign.Member) bool {
	return func(m zpassign.Member) bool { return now.Before(x.avoidedUntil[m.Instance]) }
}

// recordCall records whether a relay has answered, and avoids it after maxFailures.
func (x *Exchange) recordCall(ctx context.Context, m zpassign.Member, err error) {
	if ctx.Err() != nil {
		return
	}
	now := x.Clock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil {
		delete(x.failures, m.Instance)
		return
	}
	if x.failures == nil {
		x.failures, x.avoidedUntil = map[string]int{}, map[string]time.Time{}
	}
	x.failures[m.Instance]++
	if x.failures[m.Instance] < maxFailures {
		return
	}
	delete(x.failures, m.Instance)
	maps.DeleteFunc(x.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	x.avoidedUntil[m.Instance] = now.Add(avoidDuration)
	x.Log.Emit(zplog.RelayAvoided, zplog.Fields{"instance": m.Instance, "failure_domain": m.Domain, "avoided_ms": avoidDuration.Milliseconds(), "error": err.Error()})
}

// apply takes over a digest. The loads of an incomplete one are not used: the previous
// ones are closer to the truth, until they lapse in Usage.
func (x *Exchange) apply(d Digest, now time.Time) {
	if !d.Incomplete {
		x.Usage.SetPeer(fleetSource, d.Uses, now)
	}
	if x.Speed != nil {
		x.Speed.MergeAll(d.Speeds, now)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if d.AliveUnchanged {
		d.Alive = x.digest.Alive
	}
	x.digest, x.digestAt, x.aliveSum = d, now, AliveChecksum(d.Alive)
}

func (x *Exchange) knownAlive() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aliveSum
}

// Alive returns the names of the other daemons that are alive by the last digest. Before
// the first one these are all: most of them are.
func (x *Exchange) Alive() map[string]bool {
	now := x.Clock()
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]bool{}
	known := !x.digestAt.IsZero()
	if known && now.Sub(x.digestAt) >= aliveTimeout {
		return out
	}
	for _, m := range x.Others() {
		_, ok := slices.BinarySearch(x.digest.Alive, InstanceHash(m.Instance))
		if ok || !known {
			out[m.Name] = true
		}
	}
	return out
}
