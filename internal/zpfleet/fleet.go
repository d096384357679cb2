// Package zpfleet keeps this daemon's place in the fleet: its lease and member
// record, the lapsed leases that it must end, the partitions that it owns, and
// its copy of what the fleet relays from the platform.
package zpfleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zpowner"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Comparison is a peer's answer to a comparison of versions.
	Comparison struct {
		Instance string
		Delta    zpconfig.Delta
		Promised bool
	}

	// Calls makes the calls to other daemons.
	Calls interface {
		Compare(ctx context.Context, address string, revision int64, askPromise bool) (Comparison, error)
	}

	// Fleet is this daemon's view of the fleet. Set the exported fields before
	// Run.
	Fleet struct {
		Self   zpassign.Member
		API    zpobject.API
		Calls  Calls
		Cache  *zpconfig.Cache
		Judge  zpconfig.Judge
		Timing zplease.Timing
		Intervals
		Seeds    []string // addresses asked while no members are known
		Log      *zplog.Logger
		Metrics  *zpmetric.Metrics
		Clock    func() time.Time
		Random   *rand.Rand // used by one goroutine
		Replaced func()     // called when the lease was ended by another daemon

		Own      *zplease.OwnLease
		Promises *zplease.Promises
		Contacts *zpconfig.Contacts

		mu           sync.Mutex
		leaseRev     int64
		renewal      int64
		memberRev    int64
		state        zpassign.MemberState
		mode         zpconfig.Mode
		observations map[string]*zplease.ObservedLease // used by monitor alone
		watchedAt    int64                             // generation of the cache at the last choice
		watchedNow   []zpassign.Member
		assignedAt   int64 // generation of the cache at the last Assigned
		assigned     map[string]zpowner.Assignment
		plannedAt    int64                // generation of the cache for which nothing is left to plan
		goneSince    map[string]time.Time // used by collect alone
		spareSince   map[int64]time.Time  // by revision of a part; used by collect alone
		workers      sync.WaitGroup
	}

	// Intervals are the times between the fleet's regular actions.
	Intervals struct {
		Renew             time.Duration
		Compare           time.Duration
		WatchWait         time.Duration
		WatchersPerDomain int
	}
)

// Open prepares the parts that answer before Run.
func (f *Fleet) Open() {
	f.Own = &zplease.OwnLease{Timing: f.Timing}
	f.Promises = &zplease.Promises{Timing: f.Timing}
	f.Contacts = zpconfig.NewContacts()
	f.observations = map[string]*zplease.ObservedLease{}
	f.mode = zpconfig.ModeCutOff
	f.state = f.Self.State
}

// Run keeps the daemon's place until ctx ends. It does not give it up: that is
// done by Leave.
func (f *Fleet) Run(ctx context.Context) {
	f.workers.Go(func() { f.runWatch(ctx) })
	f.workers.Go(func() { f.runCompare(ctx) })
	f.workers.Go(func() { f.every(ctx, f.stretched, f.renew) })
	f.workers.Go(func() { f.every(ctx, f.unstretched, f.askPromises) })
	f.workers.Go(func() { f.every(ctx, f.stretched, f.monitor) })
	f.workers.Go(func() { f.every(ctx, f.planInterval, f.plan) })
	f.workers.Go(func() { f.every(ctx, f.unstretched, f.publishLeaving) })
	f.workers.Go(func() { f.every(ctx, f.collectInterval, f.collect) })
	f.workers.Wait()
}

// every calls act at once and then after each interval, until ctx ends.
func (f *Fleet) every(ctx context.Context, interval func() time.Duration, act func(context.Context)) {
	for ctx.Err() == nil {
		act(ctx)
		pause(ctx, interval())
	}
}

// stretched is the interval of calls to the platform that each daemon makes: it
// grows with the fleet.
func (f *Fleet) stretched() time.Duration {
	return f.Renew * zplease.IntervalFactor(len(zpassign.Live(f.Cache.Members(), zpassign.MemberServing)))
}

func (f *Fleet) unstretched() time.Duration { return f.Renew }

func (f *Fleet) collectInterval() time.Duration { return collectEvery }

func (f *Fleet) planInterval() time.Duration { return f.Renew / 2 }

func (f *Fleet) compareInterval() time.Duration { return f.Intervals.Compare }
