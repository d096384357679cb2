package zpapp

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// upgrades moves pools to new software versions as the operator orders it. It reports this
// daemon's evidence to the judges, judges itself if it is one of them, and writes the status
// while it holds the duty.
type upgrades struct {
	daemon  *GatewayDaemon
	tracker *zpupgrade.Tracker // nil: the platform knows no roll-outs
	keeper  *zpduty.Keeper

	mu           sync.Mutex
	reporting    map[string]bool // judges that have not answered yet, by address
	reportedAt   time.Time
	runningSince time.Time // zero: no order is running
}

const (
	upgradeDuty = "duties/upgrades"
	// upgradeDutyValidity and upgradeDutyRenew are long, because the holder only writes a
	// status, which names the revision that it replaces.
	upgradeDutyValidity  = 2 * time.Second
	upgradeDutyRenew     = 700 * time.Millisecond
	upgradeDutyInterval  = 100 * time.Millisecond
	upgradeDutyRankDelay = 500 * time.Millisecond
	upgradeStepInterval  = 50 * time.Millisecond
	// upgradeJudges is the number of daemons that collect evidence. Two may be lost.
	upgradeJudges = 3
	// upgradeReportInterval is the interval between two reports to a judge, and
	// upgradeReportPerDaemon its minimum per daemon of the fleet, so that the judges can
	// follow in a large one.
	upgradeReportInterval  = 200 * time.Millisecond
	upgradeReportPerDaemon = 5 * time.Millisecond
	// upgradeSwitchFactor is how many times more often daemons report around the switch.
	upgradeSwitchFactor = 3
)

func newUpgrades(d *GatewayDaemon) *upgrades {
	u := &upgrades{daemon: d, reporting: map[string]bool{}}
	limits := d.Node.Bounds.Upgrade
	if limits.Share <= 0 {
		return u
	}
	u.tracker = zpupgrade.NewTracker(d.self.Instance, limits, func() (rank, daemons int) {
		names := d.members.Names()
		return zpplace.RendezvousRank(d.self.Name, upgradeDuty, names), len(names)
	})
	timing := zpduty.Timing{Validity: upgradeDutyValidity, RenewInterval: upgradeDutyRenew}
	u.keeper = zpduty.NewKeeper(upgradeDuty, d.self.Instance, timing, d.reads, d.Log, zpclock.Now)
	u.keeper.Peek, u.keeper.Eras = d.reads.GetStale, d.eras
	return u
}

// run maintains the orders until ctx ends.
func (u *upgrades) run(ctx context.Context) {
	if u.tracker == nil {
		return
	}
	var writing sync.WaitGroup
	writing.Go(func() { repeatEvery(ctx, upgradeDutyInterval, u.maintainDuty) })
	repeatEvery(ctx, upgradeStepInterval, u.step)
	writing.Wait()
}

// repeatEvery calls step at an interval until ctx ends.
func repeatEvery(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (u *upgrades) step(ctx context.Context) {
	d, now := u.daemon, zpclock.Now()
	if c := d.catalog.Load(); c != nil && d.registry.HasSynced() {
		for _, p := range c.Pools {
			u.tracker.SetVersions(p.Name, countVersions(d, p.Name, now), now)
		}
	}
	isRunning := u.tracker.HasRunning()
	u.noteRunning(isRunning, now)
	if !isRunning {
		return
	}
	judges := u.judges()
	rank := slices.IndexFunc(judges, func(m zpassign.Member) bool { return m.Instance == d.self.Instance })
	_, _, isHolder := u.keeper.Holds()
	role := zpupgrade.Role{IsJudge: rank >= 0, IsLeading: rank == 0, IsHolder: isHolder}
	live := map[string]bool{}
	for _, m := range d.live.list() {
		live[m.Instance] = true
	}
	if rank == 0 && d.live.isMajority() {
		u.tracker.SetContact(now)
	}
	u.logChanges(u.tracker.Step(role, live, now))
	u.report(ctx, judges, now)
}

// countVersions returns the number of a pool's serving endpoints by version.
func countVersions(d *GatewayDaemon, pool string, now time.Time) map[string]int {
	out := map[string]int{}
	for _, e := range d.registry.Serving(pool, now) {
		out[e.SoftwareVersion]++
	}
	return out
}

func (u *upgrades) noteRunning(isRunning bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !isRunning:
		u.runningSince = time.Time{}
	case u.runningSince.IsZero():
		u.runningSince = now
	}
}

// judges returns the daemons that collect the evidence, the leading one first. Those with
// more CPU cores come first.
func (u *upgrades) judges() []zpassign.Member {
	list := slices.Clone(u.daemon.live.list())
	slices.SortFunc(list, func(a, b zpassign.Member) int {
		if n := cmp.Compare(b.Cores, a.Cores); n != 0 {
			return n
		}
		return cmp.Compare(zpplace.RendezvousWeight(b.Name, upgradeDuty), zpplace.RendezvousWeight(a.Name, upgradeDuty))
	})
	return list[:min(len(list), upgradeJudges)]
}

// report sends this daemon's evidence to the judges and applies their decisions.
func (u *upgrades) report(ctx context.Context, judges []zpassign.Member, now time.Time) {
	d := u.daemon
	interval := max(upgradeReportInterval, time.Duration(len(d.members.Names()))*upgradeReportPerDaemon)
	if u.tracker.IsSwitching(now) {
		interval /= upgradeSwitchFactor
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.reportedAt) < interval {
		return
	}
	u.reportedAt = now
	m := zpshare.Message{Instance: d.self.Instance, Domain: d.self.Domain, Upgrades: u.tracker.Reports(now)}
	for i, judge := range judges {
		if judge.Instance == d.self.Instance || u.reporting[judge.PeerAddress] || len(m.Upgrades) == 0 {
			continue
		}
		u.reporting[judge.PeerAddress] = true
		go u.reportTo(ctx, judge.PeerAddress, m, i == 0)
	}
}

func (u *upgrades) reportTo(ctx context.Context, address string, m zpshare.Message, isLeading bool) {
	// An error is counted with the call; the next report holds the same counts.
	reply, err := u.daemon.shareWith(ctx, address, m)
	u.mu.Lock()
	delete(u.reporting, address)
	u.mu.Unlock()
	if err == nil {
		u.logChanges(u.tracker.Learn(reply.Upgrades, isLeading, zpclock.Now()))
	}
}

// answer records the reports of another daemon. A judge that does not hear most of the others
// decides nothing for those that are cut off with it.
func (u *upgrades) answer(reports []zpupgrade.Report) []zpupgrade.Decision {
	decisions := u.tracker.Answer(reports, zpclock.Now())
	if !u.daemon.live.isMajority() {
		return nil
	}
	return decisions
}

// maintainDuty acquires and renews the duty while an order is running, and writes the
// statuses that differ from the store's.
func (u *upgrades) maintainDuty(ctx context.Context) {
	u.mu.Lock()
	since := u.runningSince
	u.mu.Unlock()
	_, _, held := u.keeper.Holds()
	if since.IsZero() {
		if held {
			u.keeper.Step(ctx, false)
		}
		return
	}
	rank := slices.IndexFunc(u.judges(), func(m zpassign.Member) bool { return m.Instance == u.daemon.self.Instance })
	if !held && (rank < 0 || zpclock.Now().Sub(since) < time.Duration(rank)*upgradeDutyRankDelay) {
		return
	}
	u.keeper.Step(ctx, rank >= 0)
	if _, _, held = u.keeper.Holds(); !held {
		u.pause(ctx, time.Duration(rank)*upgradeDutyRankDelay)
		return
	}
	for _, o := range u.tracker.Unwritten() {
		u.writeStatus(ctx, o)
	}
}

func (u *upgrades) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// writeStatus writes the status of an order. If that fails, the entry is read again: the
// write may have been executed, or the operator may have replaced the order.
func (u *upgrades) writeStatus(ctx context.Context, o zpupgrade.Order) {
	fields := zplog.Fields{"pool": o.Pool, "version": o.To, "state": o.Status.State.String(), "revision": o.Revision}
	body, err := zpplatform.EncodeRolloutStatus(o.Status)
	if err == nil {
		var written zpobject.Object
		if written, err = u.daemon.store.PutStatus(ctx, zpplatform.RolloutPrefix+o.Pool, body, o.Revision); err == nil {
			u.daemon.Log.Emit(zplog.UpgradeStatus, fields)
			u.apply(written)
			return
		}
	}
	fields["error"] = err.Error()
	u.daemon.Log.Emit(zplog.UpgradeNotWritten, fields)
	if current, err := u.daemon.store.Get(ctx, zpplatform.RolloutPrefix+o.Pool); err == nil {
		u.apply(current)
	}
}

// listed applies a complete list of the orders.
func (u *upgrades) listed(objects []zpobject.Object) {
	var orders []zpupgrade.Order
	var unreadable []string
	now := zpclock.Now()
	for _, o := range objects {
		order, ok := u.decode(o)
		if !ok {
			unreadable = append(unreadable, zpplatform.NameOf(o))
			continue
		}
		orders = append(orders, order)
	}
	for _, pool := range u.tracker.Replace(orders, unreadable, now) {
		u.daemon.Log.Emit(zplog.UpgradeRemoved, zplog.Fields{"pool": pool})
	}
}

// apply applies a change of one order.
func (u *upgrades) apply(o zpobject.Object) {
	if o.Deleted {
		u.tracker.Remove(zpplatform.NameOf(o))
		u.daemon.Log.Emit(zplog.UpgradeRemoved, zplog.Fields{"pool": zpplatform.NameOf(o)})
		return
	}
	order, ok := u.decode(o)
	if ok && u.tracker.Put(order, zpclock.Now()) {
		u.daemon.Log.Emit(zplog.UpgradeOrdered, zplog.Fields{
			"pool": order.Pool, "version": order.To, "within_ms": order.Within.Milliseconds(), "revision": order.Revision,
		})
	}
}

func (u *upgrades) decode(o zpobject.Object) (zpupgrade.Order, bool) {
	order, err := zpplatform.DecodeRollout(o)
	if err != nil {
		u.daemon.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": o.Name, "revision": o.Revision, "error": err.Error()})
	}
	return order, err == nil
}

func (u *upgrades) logChanges(changes []zpupgrade.Change) {
	events := map[zpupgrade.State]zplog.Event{
		zpupgrade.StateRunning: zplog.UpgradeStopped, zpupgrade.StateCompleted: zplog.UpgradeCompleted, zpupgrade.StateRolledBack: zplog.UpgradeRolledBack,
	}
	for _, c := range changes {
		u.daemon.Log.Emit(events[c.State], zplog.Fields{"pool": c.Pool, "version": c.To, "reason": c.Reason})
	}
}
