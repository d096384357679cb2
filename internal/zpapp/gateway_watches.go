package zpapp

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmirror"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// watches runs the store watches that this daemon needs. The configuration watch
// detects whether the store is available; the others restart when the store recovers.
//
// A response that is lost, on a connection that stays open, hides all changes until the
// watch times out. So the wait of each watch, plus storeTimeout, bounds how long this
// daemon goes without news.
type watches struct {
	daemon    *GatewayDaemon
	members   *zpmirror.Mirror
	config    *zpmirror.Mirror
	others    []*zpmirror.Mirror
	storeDown atomic.Bool

	mu        sync.Mutex
	evacuated map[string]bool // failure domains that are or were evacuated
}

const (
	// shortWatchWait is the wait of watches whose changes have a time limit of a few
	// seconds. A lost response is noticed before these limits hold again after a silence
	// of the store.
	shortWatchWait = 2 * time.Second
	// longWatchWait is the wait of watches whose changes have longer time limits, or
	// reach this daemon from the others as well.
	longWatchWait = 5 * time.Second
	// listPause limits the rate of watch calls while a fleet's lists change often.
	// It is short compared with the time for which an endpoint that is leaving may
	// still get requests.
	listPause = 400 * time.Millisecond

	// membersTimeout bounds the wait for the members after a restart.
	membersTimeout = 300 * time.Millisecond
	// registrationTimeout bounds the wait for the others at the first start of the fleet.
	registrationTimeout = time.Second
	// watcherTimeout bounds the wait for the first list of a watcher that starts at the same
	// time.
	watcherTimeout    = 400 * time.Millisecond
	conditionInterval = 20 * time.Millisecond
)

func newWatches(d *GatewayDaemon) *watches {
	w := &watches{daemon: d, evacuated: map[string]bool{}}
	w.config = &zpmirror.Mirror{
		API: d.follower, Prefix: zpplatform.ConfigPrefix, WatchWait: shortWatchWait,
		OnList: forEach(w.configChanged), OnChange: w.configChanged, OnUnavailable: w.storeUnavailable, OnAvailable: w.storeRecovered,
	}
	w.members = &zpmirror.Mirror{
		API: d.follower, Prefix: gatewayMemberPrefix, WatchWait: longWatchWait, ChangeDelay: listPause, OnList: w.membersListed, OnChange: w.memberChanged,
	}
	w.others = []*zpmirror.Mirror{
		{API: d.follower, Prefix: zpplatform.EndpointPrefix, WatchWait: shortWatchWait, ChangeDelay: listPause, OnList: w.endpointsListed, OnChange: w.endpointChanged},
		{API: d.follower, Prefix: zpplatform.EvacuationPrefix, WatchWait: shortWatchWait, OnList: w.evacuationsListed, OnChange: w.evacuationChanged},
		{API: d.follower, Prefix: zpplatform.WeightVersionPrefix, WatchWait: longWatchWait, OnList: w.weightsListed, OnChange: w.weightsChanged},
		{API: d.follower, Prefix: banPrefix, WatchWait: longWatchWait, OnList: d.bans.replaceAll, OnChange: d.bans.change},
		w.members,
	}
	if u := d.upgrades; u.tracker != nil {
		w.others = append(w.others, &zpmirror.Mirror{API: d.follower, Prefix: zpplatform.RolloutPrefix, WatchWait: shortWatchWait, OnList: u.listed, OnChange: u.apply})
	}
	for _, m := range append([]*zpmirror.Mirror{w.config}, w.others...) {
		m.OnWatchFailed = w.watchFailed
	}
	return w
}

// start starts the watches. That of the members comes first: it tells which daemons watch
// the store, so that this daemon can follow them instead of reading the store itself.
func (w *watches) start(ctx context.Context, workers *sync.WaitGroup) {
	workers.Go(func() { w.members.Run(ctx) })
	workers.Go(func() {
		w.awaitMembers(ctx)
		var mirrors sync.WaitGroup
		for _, m := range append([]*zpmirror.Mirror{w.config}, w.others...) {
			if m != w.members {
				mirrors.Go(func() { m.Run(ctx) })
			}
		}
		mirrors.Wait()
	})
}

// awaitMembers waits until the members are known, for a limited time. When the whole fleet
// starts, it also waits until the members have registered and, unless this daemon watches
// the store, until one that does has read it.
func (w *watches) awaitMembers(ctx context.Context) {
	d := w.daemon
	if !d.Node.FirstStart {
		waitUntil(ctx, membersTimeout, d.members.HasSynced)
		return
	}
	waitUntil(ctx, registrationTimeout, d.follower.CanFollow)
	ctx, cancel := context.WithTimeout(ctx, watcherTimeout)
	defer cancel()
	d.follower.AwaitWatcher(ctx)
}

// waitUntil waits until a condition holds, for at most the timeout or until ctx ends.
func waitUntil(ctx context.Context, timeout time.Duration, holds func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(conditionInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *watches) storeUnavailable(err error) {
	w.storeDown.Store(true)
	w.daemon.Log.Emit(zplog.StoreUnavailable, zplog.Fields{"error": err.Error(), "catalog": w.daemon.catalogVersion()})
}

func (w *watches) watchFailed(prefix string, unheardFor time.Duration, err error) {
	w.daemon.Log.Emit(zplog.WatchFailed, zplog.Fields{"prefix": prefix, "unheard_ms": unheardFor.Milliseconds(), "error": err.Error()})
}

func (w *watches) storeRecovered() {
	w.storeDown.Store(false)
	w.daemon.Log.Emit(zplog.StoreRecovered, zplog.Fields{"catalog": w.daemon.catalogVersion()})
	w.daemon.registry.StoreReturned(zpclock.Now())
	for _, m := range w.others {
		m.Restart()
	}
}

// catchUp reads from the store itself which endpoints and evacuations have changed since this
// daemon last heard of them. After a pause, the watches tell of that only once they have ended, or
// through a watcher that was paused, too.
func (w *watches) catchUp(ctx context.Context) error {
	var reads errgroup.Group
	for prefix, change := range map[string]func(o zpobject.Object){
		zpplatform.EndpointPrefix: w.endpointChanged, zpplatform.EvacuationPrefix: w.evacuationChanged,
	} {
		reads.Go(func() error {
			l, err := w.daemon.reads.Watch(ctx, prefix, w.daemon.follower.AppliedRevision(prefix), changesWait)
			if err == nil {
				forEach(change)(l.Objects)
			}
			return err
		})
	}
	return reads.Wait()
}

func (w *watches) configChanged(o zpobject.Object) { w.daemon.catalogs.apply(o, "") }

func (w *watches) endpointsListed(objects []zpobject.Object) {
	now := zpclock.Now()
	var list []zpregistry.Endpoint
	for _, o := range objects {
		if e, ok := w.decodeEndpoint(o, now); ok {
			list = append(list, e)
		}
	}
	w.daemon.endpointGap.listed(w.daemon.follower.AppliedRevision(zpplatform.EndpointPrefix), now)
	w.daemon.registry.Replace(list, now)
	for _, e := range list {
		w.daemon.origins.Saw(context.Background(), e.Pool, []string{e.SoftwareVersion}, now)
	}
}

func (w *watches) endpointChanged(o zpobject.Object) {
	now := zpclock.Now()
	if o.Deleted {
		w.daemon.registry.Remove(zpplatform.NameOf(o), now)
		return
	}
	e, ok := w.decodeEndpoint(o, now)
	if !ok {
		// An entry that cannot be used replaces the one before, as in a new list.
		w.daemon.registry.Remove(zpplatform.NameOf(o), now)
		return
	}
	w.daemon.registry.Put(e)
	w.daemon.origins.Saw(context.Background(), e.Pool, []string{e.SoftwareVersion}, now) // it may leave before the next look
	w.daemon.weights.Loaded(e.ID, e.Weights)
	w.daemon.Log.Emit(zplog.EndpointChanged, zplog.Fields{
		"endpoint": e.ID, "pool": e.Pool, "address": e.Address, "region": e.Region, "draining": e.State == zpregistry.StateDraining,
		"cold_ms": max(e.ColdUntil.Sub(now), 0).Milliseconds(), "weights": e.Weights, "born": e.StartedAtMS, "software_version": e.SoftwareVersion, "revision": o.Revision,
	})
}

func (w *watches) decodeEndpoint(o zpobject.Object, now time.Time) (zpregistry.Endpoint, bool) {
	e, err := zpplatform.DecodeEndpoint(o, w.daemon.Node.RegionOf, now)
	if err != nil {
		w.daemon.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": o.Name, "revision": o.Revision, "error": err.Error()})
	}
	if zpmutant.Active(zpmutant.OutOfService) {
		e.State = zpregistry.StateReady
	}
	return e, err == nil
}

func (w *watches) evacuationsListed(objects []zpobject.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = map[string]bool{}
	for _, o := range objects {
		w.evacuated[zpplatform.NameOf(o)] = true
	}
	w.applyEvacuations()
}

func (w *watches) evacuationChanged(o zpobject.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated[zpplatform.NameOf(o)] = !o.Deleted
	w.applyEvacuations()
}

// applyEvacuations passes the evacuated domains to the registry; w.mu must be held.
func (w *watches) applyEvacuations() {
	var domains []string
	for domain, isEvacuated := range w.evacuated {
		if isEvacuated && !zpmutant.Active(zpmutant.OutOfService) {
			domains = append(domains, domain)
		}
	}
	w.daemon.registry.SetEvacuated(domains)
	w.daemon.Log.Emit(zplog.EvacuationChanged, zplog.Fields{"failure_domains": domains})
}

func (w *watches) weightsListed(objects []zpobject.Object) {
	setTarget := w.daemon.weights.SetTarget
	if !w.daemon.weights.HasSynced() {
		setTarget = w.daemon.weights.SetInitialTarget
	}
	for _, o := range objects {
		w.applyTarget(o, setTarget)
	}
	w.daemon.weights.SetListed()
}

func (w *watches) weightsChanged(o zpobject.Object) { w.applyTarget(o, w.daemon.weights.SetTarget) }

func (w *watches) applyTarget(o zpobject.Object, setTarget func(model string, version int64, now time.Time) bool) {
	if o.Deleted {
		return
	}
	model, version, err := zpplatform.DecodeWeightVersion(o)
	if err != nil {
		w.daemon.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": o.Name, "revision": o.Revision, "error": err.Error()})
		return
	}
	if setTarget(model, version, zpclock.Now()) {
		w.daemon.Log.Emit(zplog.WeightsNamed, zplog.Fields{
			"model": model, "version": version, "revision": o.Revision, "estimated": !w.daemon.weights.HasSynced(),
		})
	}
}

func (w *watches) membersListed(objects []zpobject.Object) {
	var list []zpassign.Member
	for _, o := range objects {
		if m, ok := w.decodeMember(o); ok {
			list = append(list, m)
		}
	}
	w.daemon.members.replace(list, zpclock.Now())
}

func (w *watches) memberChanged(o zpobject.Object) {
	if o.Deleted {
		w.daemon.members.remove(zpplatform.NameOf(o), zpclock.Now())
		return
	}
	if m, ok := w.decodeMember(o); ok {
		w.daemon.members.put(m)
	}
}

func (w *watches) decodeMember(o zpobject.Object) (zpassign.Member, bool) {
	m, err := zpassign.DecodeMember(o.Body)
	if err != nil {
		w.daemon.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": o.Name, "revision": o.Revision, "error": err.Error()})
	}
	return m, err == nil
}

// forEach adapts a function for one object to a list of objects.
func forEach(change func(zpobject.Object)) func([]zpobject.Object) {
	return func(objects []zpobject.Object) {
		for _, o := range objects {
			change(o)
		}
	}
}
