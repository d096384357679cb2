package zpapp

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// trialRequestTimeout bounds the wait for the grant of a trial, as a request waits for it. It
// allows for the round trip between regions.
const trialRequestTimeout = 200 * time.Millisecond

// peerTimeout bounds a call to another daemon. State that takes longer to arrive
// is out of date.
const peerTimeout = 400 * time.Millisecond

// maxSnapshotFingerprints bounds what a snapshot tells of crashes, to some 25 KB. A daemon that
// starts, or whose link was full for a while, gets one from each of the others.
const maxSnapshotFingerprints = 256

// buildReads builds the circuit breaker before reads of the store.
func (d *GatewayDaemon) buildReads() {
	d.reads = &zprelay.GuardedStore{
		API: d.store, Stale: d.store.GetStale, Breaker: &zprelay.Breaker{Random: rand.Float64}, Log: d.Log, Clock: zpclock.Now,
		Probe:     func(ctx context.Context) error { return d.store.Probe(ctx, zpplatform.ConfigName) },
		WasPaused: d.catalogs.wasPaused,
	}
}

func (d *GatewayDaemon) buildSharing() {
	d.dialer = &zppeer.Dialer{Timeout: peerTimeout, OnCall: d.countPeer}
	d.dialer.Open()
	d.sharer = &zpshare.Sharer{
		Self: d.self.Instance, Domain: d.self.Domain, Region: d.self.Region, Usage: d.gateway.Usage, Others: d.members.Others,
		Send:      d.share,
		Speeds:    func() []zpspeed.Report { return d.gateway.Speed.Reports(zpclock.Now()) },
		SendsLoad: func() bool { return !d.exchange.IsActive() },
		Snapshot:  d.snapshot, Log: d.Log, Clock: zpclock.Now,
	}
	d.hub = zpdigest.NewHub(d.self.Instance, d.self.Domain)
	d.exchange = &zpdigest.Exchange{
		Self: d.self, Hub: d.hub, Usage: d.gateway.Usage, Speed: d.gateway.Speed, Others: d.members.Others, Log: d.Log, Clock: zpclock.Now,
		ReportLoad: func(ctx context.Context, address string, r zpdigest.Report) (zpdigest.Digest, error) {
			startedAt := zpclock.Now()
			digest, reply, err := zppeer.ReportLoad(ctx, d.dialer, address, r)
			d.mergeTargets(address, reply.Targets)
			d.catalogs.learn(address, reply, startedAt)
			return digest, err
		},
		ExchangeSums: func(ctx context.Context, address string, s zpdigest.Sum) (zpdigest.Sum, error) {
			return zppeer.ExchangeSums(ctx, d.dialer, address, s)
		},
	}
	d.live = &liveDaemons{daemon: d}
	d.recorder = &zprelay.CachingStore{API: d.reads, HeartbeatPrefix: zpplatform.ConfigPrefix, Clock: zpclock.Now, ExpectsFollowers: func() bool { return d.follower.CanFollow() && d.follower.IsWatcher() }, WasPaused: d.catalogs.wasPaused}
	d.lookup = &zplookup.Client{
		Self: d.self, Owners: d.live.partOwners, Learn: d.mergeParts, Log: d.Log, Clock: zpclock.Now,
		Call: func(ctx context.Context, address string, keys []zpparts.Key) (zpparts.Knowledge, error) {
			return zppeer.Recall(ctx, d.dialer, address, keys)
		},
	}
	d.follower = &zprelay.Follower{
		API: d.recorder, Self: d.self, HeartbeatPrefix: zpplatform.ConfigPrefix, Daemons: d.live.list, IsAnswering: d.reads.IsAnswering, AnswersSince: d.reads.AnswersSince, Log: d.Log, Clock: zpclock.Now,
		Call: func(ctx context.Context, address, prefix string, since int64, wait time.Duration) (zprelay.Update, error) {
			update, err := zppeer.Follow(ctx, d.dialer, address, prefix, since, wait)
			if era := zpobject.EraOf(update.Revision); err == nil && era > 0 {
				d.eras.Observe(era, address, zpclock.Now())
			}
			return update, err
		},
	}
	d.caches = newCacheFollowers(d)
}

// share sends a message to another daemon, learns from its reply, and returns its instance.
func (d *GatewayDaemon) share(ctx context.Context, address string, m zpshare.Message) (instance string, err error) {
	reply, err := d.shareWith(ctx, address, m)
	return reply.Instance, err
}

// shareWith is share with the whole reply.
func (d *GatewayDaemon) shareWith(ctx context.Context, address string, m zpshare.Message) (zpshare.Reply, error) {
	startedAt := zpclock.Now()
	reply, err := zppeer.Share(ctx, d.dialer, address, m)
	d.mergeTargets(address, reply.Targets)
	d.catalogs.learn(address, reply, startedAt)
	return reply, err
}

// query asks the daemons that own prompt parts which holders have them.
func (d *GatewayDaemon) query(ctx context.Context, keys [][]zpparts.Key) { d.lookup.Query(ctx, keys) }

func (d *GatewayDaemon) lookUpParts(keys []zpparts.Key) zpparts.Knowledge {
	return zpparts.Collect(d.gateway.Parts, d.gateway.Stores, keys, zpclock.Now())
}

func (d *GatewayDaemon) mergeParts(keys []zpparts.Key, k zpparts.Knowledge, now time.Time) {
	zpparts.Merge(d.gateway.Parts, d.gateway.Stores, keys, k, now, now.Add(zpgateway.ReadLimit))
}

func (d *GatewayDaemon) servePeers(ctx context.Context, failed chan<- error) {
	lis, err := zppeer.Listen(d.Node.Settings.Peers.Listen, nil)
	if err == nil {
		err = zppeer.ServeSharing(ctx, lis, &zppeer.SharingHandler{
			Instance: d.self.Instance, Apply: d.applyMessage, CatalogVersion: d.catalogVersion, CatalogConfirmed: d.catalogs.isRecent, CatalogAge: d.catalogs.age, Catalog: d.catalogs.current, LookUpParts: d.lookUpParts, WatchObjects: d.recorder.Follow,
			OpenEndpoint: d.connector.Open,
			Targets:      func() []zprollout.Target { return d.weights.Recent(zpclock.Now()) },
			GrantTrial:   d.grantTrial, KeepOrigins: d.keepOrigins, OriginOf: d.originOf, Digest: d.answerReport, Upgrades: d.upgrades.answer, MergeSum: d.mergeSum,
		})
	}
	if err != nil && ctx.Err() == nil {
		failed <- err
	}
}

// mergeTargets takes over the recent target weight versions that another daemon knows.
func (d *GatewayDaemon) mergeTargets(address string, targets []zprollout.Target) {
	now := zpclock.Now()
	for _, t := range targets {
		if d.weights.MergeTarget(t, now) {
			d.Log.Emit(zplog.WeightsNamed, zplog.Fields{"model": t.Model, "version": t.Version, "address": address, "age_ms": t.Age.Milliseconds(), "estimated": t.Estimated})
		}
	}
}

// answerReport records the load that another daemon has reported and returns that of all
// others.
func (d *GatewayDaemon) answerReport(r zpdigest.Report) zpdigest.Digest {
	now := zpclock.Now()
	d.hub.AddReport(r, now)
	return d.hub.Digest(r.Name, r.KnownAlive, now)
}

// mergeSum records the sum of another relay and returns that of this one.
func (d *GatewayDaemon) mergeSum(s zpdigest.Sum) zpdigest.Sum {
	now := zpclock.Now()
	d.hub.AddSum(s, now)
	return d.hub.Sum(now)
}

// alive returns the names of the other daemons that answered recently.
func (d *GatewayDaemon) alive() map[string]bool {
	if d.exchange.IsActive() {
		return d.exchange.Alive()
	}
	return d.sharer.Alive()
}

// applyMessage applies a state message from another daemon.
func (d *GatewayDaemon) applyMessage(m zpshare.Message) {
	now := zpclock.Now()
	if m.Uses != nil && !d.exchange.IsActive() {
		d.gateway.Usage.SetPeer(m.Instance, m.Uses, now)
	}
	d.gateway.Speed.MergeAll(m.Speeds, now)
	for _, x := range m.Stores {
		d.setStore(x, now)
	}
	for _, holder := range m.ResetHolders {
		d.gateway.Parts.Forget(holder)
	}
	for _, c := range m.Parts {
		d.gateway.Parts.Apply(c)
	}
	for _, c := range m.Expected {
		d.gateway.Parts.Expect(c, now, now.Add(zpgateway.ReadLimit))
	}
	for _, c := range m.Saving {
		d.gateway.Stores.BeginSave(c, now)
	}
	for _, c := range m.Changing {
		d.setChanging(c.Endpoint, c.Left, now)
	}
	for _, endpoint := range m.Unreachable {
		d.gateway.RecordUnreachable(endpoint, m.Domain)
	}
	for _, c := range m.Crashes {
		d.gateway.MergeCrash(c, m.Instance)
		d.bans.crashReported(c, false)
	}
	d.gateway.MergeHarmless(m.Harmless, m.Instance)
}

// setStore records the state of a KV cache store. The parts of the store are removed
// from the directory of prompt parts after the store restarted and while it is
// unreachable.
func (d *GatewayDaemon) setStore(x zpparts.Store, now time.Time) {
	if staleHolder := d.gateway.Stores.Set(x, now); staleHolder != "" {
		d.gateway.Parts.Forget(staleHolder)
	}
}

func (d *GatewayDaemon) setChanging(endpoint string, left time.Duration, now time.Time) {
	if left <= 0 {
		d.weights.SetChanging(endpoint, time.Time{})
		return
	}
	d.weights.SetChanging(endpoint, now.Add(left))
}

// announceParts sends changes of parts to the daemons that own them.
func (d *GatewayDaemon) announceParts(n zpgateway.PartChanges) {
	owners := d.live.partOwners()
	for address, changes := range owners.Group(n.Read, d.self.Name) {
		d.sharer.AddTo(address, zpshare.Message{Parts: changes})
	}
	for address, changes := range owners.Group(n.Expected, d.self.Name) {
		d.sharer.AddTo(address, zpshare.Message{Expected: changes})
	}
	for address, changes := range owners.Group(n.Saving, d.self.Name) {
		d.sharer.AddTo(address, zpshare.Message{Saving: changes})
	}
}

func (d *GatewayDaemon) announceCrash(r zpquarantine.Report) {
	d.sharer.Add(zpshare.Message{Crashes: []zpquarantine.Report{r}})
	d.bans.crashReported(r, true)
}

func (d *GatewayDaemon) announceHarmless(fingerprints []string) {
	d.sharer.Add(zpshare.Message{Harmless: fingerprints})
	d.bans.lift(fingerprints)
}

// requestTrial asks the daemon that grants the trials of a fingerprint for one. A daemon that
// does not hear most of the others gets none: those that are cut off from each other would each
// have a granter of their own.
func (d *GatewayDaemon) requestTrial(ctx context.Context, fingerprint string) bool {
	if !d.live.isMajority() {
		return false
	}
	granter, ok := d.live.partOwners().First(fingerprint)
	if !ok || granter.Name == d.self.Name {
		return d.grantTrial(fingerprint)
	}
	ctx, cancel := context.WithTimeout(ctx, trialRequestTimeout)
	defer cancel()
	granted, err := zppeer.RequestTrial(ctx, d.dialer, granter.PeerAddress, fingerprint)
	if err != nil {
		d.Log.Emit(zplog.PeerFailed, zplog.Fields{"call": "request_trial", "address": granter.PeerAddress, "error": err.Error()})
	}
	return granted
}

func (d *GatewayDaemon) grantTrial(fingerprint string) bool {
	return d.trials.Grant(fingerprint, zpclock.Now())
}

// announceUnreachable tells other daemons of an endpoint that this one and another could not
// connect to. A daemon that is cut off from all endpoints knows nothing of them.
func (d *GatewayDaemon) announceUnreachable(endpoint string) {
	if d.detour.Tracker.IsCut(zpclock.Now()) {
		return
	}
	d.sharer.Add(zpshare.Message{Unreachable: []string{endpoint}})
}

func (d *GatewayDaemon) announceWeightChange(endpoint string, left time.Duration) {
	d.sharer.Add(zpshare.Message{Changing: []zpshare.Changing{{Endpoint: endpoint, Left: left}}})
}

// snapshot returns the initial state for a daemon that has none: the states of
// the stores that this daemon follows, those of their parts that the new daemon
// owns, and what is known of crashes of endpoints.
func (d *GatewayDaemon) snapshot(to zpassign.Member) zpshare.Message {
	m := zpshare.Message{Stores: d.caches.states()}
	owners := zplookup.NewOwners(append(slices.Clone(d.live.list()), to))
	for _, x := range m.Stores {
		m.ResetHolders = append(m.ResetHolders, x.Holder())
		m.Parts = append(m.Parts, owners.Group(d.gateway.Parts.HeldBy(x.Holder()), d.self.Name)[to.PeerAddress]...)
	}
	now := zpclock.Now()
	m.Crashes, m.Harmless = d.gateway.Quarantine.Reports(maxSnapshotFingerprints, now), d.gateway.Quarantine.Cleared(now)
	return m
}

func (d *GatewayDaemon) countPeer(call string, err error) {
	d.Metrics.PeerCalls.WithLabelValues(call, outcomeLabel(err)).Inc()
}
