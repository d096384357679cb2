package zpapp

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// catalogs applies configurations, from the store or from other daemons. It is safe for
// concurrent use.
type catalogs struct {
	daemon *GatewayDaemon
	guard  zpcatalog.FreshnessGuard
	outage zpcatalog.OutageVotes

	mu           sync.Mutex
	object       zpobject.Object // of the configuration in use
	isFetching   bool            // a newer configuration is being fetched from another daemon
	isConfirming bool            // confirm runs
	caughtUpAt   time.Time       // end of the last pause after which changes were read
}

// peerCatalogDelay is the time in which the store should report a configuration that
// another daemon uses already. After it, the configuration is read from that daemon: the
// store may be out of reach. It is well below the time in which a change must apply.
const peerCatalogDelay = 800 * time.Millisecond

const (
	// askInterval is the interval between calls to daemons chosen at random.
	askInterval = 400 * time.Millisecond
	// maxAsked bounds the daemons that are asked at once.
	maxAsked          = 3
	confirmRetryDelay = 100 * time.Millisecond
	// maxCatalogAge is the time since the last word of the store up to which this daemon
	// confirms the catalog of another one: one watch and the time of a slow response.
	maxCatalogAge = shortWatchWait + 500*time.Millisecond
)

// run asks daemons chosen at random which version they use while the store does not confirm
// this one and loads go through relays: the relay may be without the store, too. The word of
// each failure domain counts once, so those not heard of come first.
func (c *catalogs) run(ctx context.Context) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if c.daemon.exchange.IsActive() && !c.isRecent() {
			c.ask(ctx)
		}
	}
}

func (c *catalogs) ask(ctx context.Context) {
	var calls sync.WaitGroup
	for _, m := range c.toAsk(c.daemon.members.Others()) {
		calls.Go(func() {
			// If it does not answer, another one is asked next.
			_, _ = c.daemon.share(ctx, m.PeerAddress, zpshare.Message{Instance: c.daemon.self.Instance, Domain: c.daemon.self.Domain})
		})
	}
	calls.Wait()
}

// toAsk returns a daemon of each of several failure domains that were not heard of, or else
// any one.
func (c *catalogs) toAsk(others []zpassign.Member) []zpassign.Member {
	silent := c.outage.Silent(c.otherDomains(), zpclock.Now())
	var out []zpassign.Member
	for _, i := range rand.Perm(len(others)) {
		if m := others[i]; silent[m.Domain] && len(out) < maxAsked {
			out = append(out, m)
			delete(silent, m.Domain)
		}
	}
	if len(out) == 0 && len(others) > 0 {
		out = append(out, others[rand.IntN(len(others))])
	}
	return out
}

func (c *catalogs) otherDomains() []string {
	var out []string
	for _, m := range c.daemon.members.Others() {
		out = append(out, m.Domain)
	}
	return out
}

// heard returns the number of other daemons that have answered recently.
func (c *catalogs) heard() int { return len(c.daemon.live.list()) - 1 }

// domainOf returns the failure domain of the daemon with an address, or "" if it is unknown.
func (c *catalogs) domainOf(address string) string {
	for _, m := range c.daemon.members.Others() {
		if m.PeerAddress == address {
			return m.Domain
		}
	}
	return ""
}

// apply applies a configuration unless it is older than the one in use. address is that of
// the daemon that it was read from, or empty for the store.
func (c *catalogs) apply(o zpobject.Object, address string) {
	d := c.daemon
	if o.Name != zpplatform.ConfigName || o.Deleted {
		return
	}
	catalog, err := zpplatform.DecodeCatalog(o.Body)
	if err != nil {
		d.Log.Emit(zplog.ConfigRefused, zplog.Fields{"error": err.Error(), "revision": o.Revision, "address": address})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if catalog.Version <= d.catalogVersion() || zpmutant.Active(zpmutant.Freshness) && d.catalogVersion() > 0 {
		return
	}
	c.object = o
	catalog.RecordMoves(d.catalog.Load(), zpclock.Now())
	d.catalog.Store(catalog)
	d.Metrics.ConfigVersion.Set(float64(catalog.Version))
	d.Log.Emit(zplog.ConfigApplied, zplog.Fields{
		"version": catalog.Version, "revision": o.Revision, "routes": len(catalog.Routes), "restricted_routes": catalog.RestrictedRoutes(), "address": address,
	})
}

// current returns the configuration in use, without a name if there is none.
func (c *catalogs) current() zpobject.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.object
}

// learn learns from the reply of another daemon to a call that began at startedAt which
// version that daemon uses. If it is newer and the store does not report it, the
// configuration is read from that daemon.
func (c *catalogs) learn(address string, reply zpshare.Reply, startedAt time.Time) {
	current := c.daemon.catalogVersion()
	switch {
	case reply.CatalogVersion == 0 || reply.CatalogVersion < current:
		// A daemon that has missed a change knows nothing of later ones.
		return
	case reply.CatalogVersion == current && reply.CatalogConfirmed:
		c.outage.RecordConfirmed(c.domainOf(address))
		c.guard.RecordRelayed(startedAt, reply.CatalogAge)
		return
	case reply.CatalogVersion == current:
		c.outage.RecordUnconfirmed(c.domainOf(address), startedAt)
		if c.outage.IsOutage(c.otherDomains(), c.heard(), startedAt) {
			c.guard.RecordOutage(startedAt)
		}
		return
	}
	c.guard.RecordNewer(reply.CatalogVersion, zpclock.Now())
	delay := peerCatalogDelay
	if !c.isConfirmed() {
		delay = 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isFetching {
		return
	}
	c.isFetching = true
	time.AfterFunc(delay, func() { c.fetch(address, reply.CatalogVersion) })
}

func (c *catalogs) fetch(address string, version int64) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isFetching = false
	}()
	if version <= c.daemon.catalogVersion() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	o, err := zppeer.ReadCatalog(ctx, c.daemon.dialer, address)
	if err != nil {
		c.daemon.Log.Emit(zplog.PeerCatalogUnread, zplog.Fields{"address": address, "version": version, "catalog": c.daemon.catalogVersion(), "error": err.Error()})
		return
	}
	c.apply(o, address)
}

// await waits until the catalog is confirmed after a pause of the process, for at most
// zpcatalog.MaxPauseWait.
func (c *catalogs) await(ctx context.Context) {
	now := zpclock.Now()
	c.recordActive(now)
	if c.guard.MustWait(now) {
		waitUntil(ctx, zpcatalog.MaxPauseWait, func() bool { return !c.guard.MustWait(zpclock.Now()) })
	}
}

// recordActive records that the process runs. After a pause it reads the configuration from
// the store itself, as what it follows may have been paused, too.
func (c *catalogs) recordActive(now time.Time) {
	if c.guard.RecordActive(now) {
		c.startConfirming()
	}
}

// isConfirmed reports whether the catalog is known to be the newest one. If not, it is
// read again. A daemon without others cannot tell an outage of the store from its own, and one
// that does not hear most of the others forgets what it was told of an outage.
// c.mu must not be held.
func (c *catalogs) isConfirmed() bool {
	d, now := c.daemon, zpclock.Now()
	if !d.live.isMajority() {
		c.guard.EndOutage()
	}
	isRecent := c.guard.IsRecent(d.follower.ReadAt(), now) || len(d.members.Others()) == 0
	if isRecent && c.guard.IsConfirmed(now) && !c.guard.IsReplaced(d.catalogVersion(), now) {
		return true
	}
	c.startConfirming()
	return false
}

func (c *catalogs) startConfirming() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isConfirming {
		c.isConfirming = true
		go c.confirm()
	}
}

// confirm reads the configuration until it is confirmed or the daemon stops.
func (c *catalogs) confirm() {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isConfirming = false
	}()
	resumedAt, before := zpclock.Now(), c.daemon.catalogVersion()
	for attempts := 1; !c.daemon.leaving.Load(); attempts++ {
		err := c.read()
		if c.isConfirmed() {
			c.daemon.Log.Emit(zplog.CatalogConfirmed, zplog.Fields{
				"before": before, "catalog": c.daemon.catalogVersion(), "attempts": attempts, "took_ms": zpclock.Now().Sub(resumedAt).Milliseconds(),
			})
			return
		}
		if c.daemon.reads.IsAnswering() {
			c.daemon.Log.Emit(zplog.CatalogUnconfirmed, zplog.Fields{"catalog": c.daemon.catalogVersion(), "attempts": attempts, "error": fmt.Sprint(err)})
		}
		time.Sleep(confirmRetryDelay)
	}
}

func (c *catalogs) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	startedAt := zpclock.Now()
	var catchingUp sync.WaitGroup
	catchingUp.Go(func() { c.catchUp(ctx) })
	l, err := c.daemon.reads.List(ctx, zpplatform.ConfigPrefix)
	catchingUp.Wait()
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		c.apply(o, "")
	}
	c.guard.RecordConfirmed(startedAt)
	return nil
}

// catchUp reads what else has changed during the last pause, unless that was done. In a large
// fleet, most of which may be paused together, these reads would be too many for the store.
func (c *catalogs) catchUp(ctx context.Context) {
	if c.daemon.exchange.IsActive() {
		return
	}
	resumedAt := c.guard.ResumedAt()
	c.mu.Lock()
	isDone := !resumedAt.After(c.caughtUpAt)
	c.mu.Unlock()
	if isDone || c.daemon.watches.catchUp(ctx) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.caughtUpAt = resumedAt
}

// wasPaused reports whether the process was paused since a time.
func (c *catalogs) wasPaused(since time.Time) bool {
	c.recordActive(zpclock.Now())
	return c.guard.ResumedAt().After(since)
}

// isRecent reports whether the store has confirmed the catalog recently, and since the last
// pause.
func (c *catalogs) isRecent() bool {
	now := zpclock.Now()
	return c.guard.IsConfirmed(now) && !c.guard.IsReplaced(c.daemon.catalogVersion(), now) && now.Sub(c.daemon.follower.ReadAt()) <= maxCatalogAge
}

// age returns the time since the store last confirmed the catalog.
func (c *catalogs) age() time.Duration { return zpclock.Now().Sub(c.daemon.follower.ReadAt()) }

func (d *GatewayDaemon) catalogVersion() int64 {
	if c := d.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}
