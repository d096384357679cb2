// Package zpfleet manages this daemon's membership in the fleet. It renews the
// daemon's lease and member record, ends expired leases of other daemons, plans
// the ownership of partitions, and keeps the local copy of the objects that the
// fleet relays from the platform.
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
	// Comparison is a peer's answer to a comparison of revisions.
	Comparison struct {
		Instance string // of the peer
		Delta    zpconfig.Delta
		Promised bool // the peer promised not to end the caller's lease
	}

	// PeerClient calls other daemons.
	PeerClient interface {
		Compare(ctx context.Context, address string, revision int64, askPromise bool) (Comparison, error)
	}

	// Fleet is this daemon's membership in the fleet and its view of it. Set the
	// exported fields, call Open, then Run.
	Fleet struct {
		Self       zpassign.Member
		API        zpobject.API
		PeerClient PeerClient
		Cache      *zpconfig.Cache
		Freshness  zpconfig.FreshnessPolicy
		Timing     zplease.Timing
		Intervals
		Seeds       []string // peer addresses that are asked while no peer to compare with is known
		Log         *zplog.Logger
		Metrics     *zpmetric.Metrics
		Clock       func() time.Time
		Random      *rand.Rand // used by the watch; not safe for concurrent use
		OnLeaseLost func()     // called when another daemon has ended this daemon's lease

		Lease    *zplease.OwnLease
		Promises *zplease.Promises
		Contacts *zpconfig.Contacts

		mu                  sync.Mutex
		leaseRevision       int64
		renewalCount        int64
		memberRevision      int64
		state               zpassign.MemberState
		mode                zpconfig.Mode
		observations        map[string]*zplease.ObservedLease // by instance; used only by monitorLeases
		monitoredGeneration int64                             // fleet generation for which monitored was chosen
		monitored           []zpassign.Member
		assignedGeneration  int64 // cache generation for which assigned was computed
		assigned            map[string]zpowner.Assignment
		plannedGeneration   int64                // fleet generation for which no transfer is left
		goneSince           map[string]time.Time // by instance; used only by cleanUp
		unreferencedSince   map[int64]time.Time  // by a part's revision; used only by cleanUp
		workers             sync.WaitGroup
	}

	// Intervals holds the intervals of periodic work and the number of watchers.
	Intervals struct {
		Renew             time.Duration
		Compare           time.Duration
		WatchWait         time.Duration // how long one watch call waits for changes
		WatchersPerDomain int           // daemons of one failure domain that watch the platform
	}
)

// Open prepares the state that other methods use before Run is called.
func (f *Fleet) Open() {
	f.Lease = &zplease.OwnLease{Timing: f.Timing}
	f.Promises = &zplease.Promises{Timing: f.Timing}
	f.Contacts = zpconfig.NewContacts()
	f.observations = map[string]*zplease.ObservedLease{}
	f.mode = zpconfig.ModeCutOff
	f.state = f.Self.State
}

// Run maintains the membership until ctx ends. It does not end the membership;
// Leave does.
func (f *Fleet) Run(ctx context.Context) {
	f.workers.Go(func() { f.runWatch(ctx) })
	f.workers.Go(func() { f.runCompare(ctx) })
	f.workers.Go(func() { f.runEvery(ctx, f.scaledRenewInterval, f.renewLease) })
	f.workers.Go(func() { f.runEvery(ctx, f.renewInterval, f.requestPromises) })
	f.workers.Go(func() { f.runEvery(ctx, f.scaledRenewInterval, f.monitorLeases) })
	f.workers.Go(func() { f.runEvery(ctx, f.planInterval, f.planTransfers) })
	f.workers.Go(func() { f.runEvery(ctx, f.renewInterval, f.publishLeavingVMs) })
	f.workers.Go(func() { f.runEvery(ctx, f.cleanupInterval, f.cleanUp) })
	f.workers.Wait()
}

// runEvery calls action at once and then after each interval, until ctx ends.
func (f *Fleet) runEvery(ctx context.Context, interval func() time.Duration, action func(context.Context)) {
	for ctx.Err() == nil {
		action(ctx)
		sleep(ctx, interval())
	}
}

// scaledRenewInterval returns the interval of the calls that every daemon makes to
// the platform. It grows with the fleet, so that the rate of calls does not.
func (f *Fleet) scaledRenewInterval() time.Duration {
	return f.Renew * zplease.IntervalFactor(len(zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberServing)))
}

func (f *Fleet) renewInterval() time.Duration { return f.Renew }

func (f *Fleet) cleanupInterval() time.Duration { return cleanupPeriod }

func (f *Fleet) planInterval() time.Duration { return f.Renew / 2 }

func (f *Fleet) compareInterval() time.Duration { return f.Intervals.Compare }
