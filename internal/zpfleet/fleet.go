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

		Own      *zplease.Own
		Promises *zplease.Promises
		Contacts *zpconfig.Contacts

		mu           sync.Mutex
		leaseRev     int64
		renewal      int64
		memberRev    int64
		state        zpassign.MemberState
		mode         zpconfig.Mode
		observations map[string]*zplease.Observation
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
	f.Own = &zplease.Own{Timing: f.Timing}
	f.Promises = &zplease.Promises{Timing: f.Timing}
	f.Contacts = zpconfig.NewContacts()
	f.observations = map[string]*zplease.Observation{}
	f.mode = zpconfig.ModeCutOff
	f.state = f.Self.State
}

// Run keeps the daemon's place until ctx ends. It does not give it up: that is
// done by Leave.
func (f *Fleet) Run(ctx context.Context) {
	f.workers.Go(func() { f.runWatch(ctx) })
	f.workers.Go(func() { f.runCompare(ctx) })
	f.workers.Go(func() { every(ctx, f.Renew, f.renew) })
	f.workers.Go(func() { every(ctx, f.Renew, f.askPromises) })
	f.workers.Go(func() { every(ctx, f.Renew, f.monitor) })
	f.workers.Go(func() { every(ctx, f.Renew/2, f.plan) })
	f.workers.Go(func() { every(ctx, f.Renew, f.publishLeaving) })
	f.workers.Wait()
}

// every calls act at once and then at each interval, until ctx ends.
func every(ctx context.Context, interval time.Duration, act func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		act(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
