package zpapp

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpbrittle"
	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstall"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/internal/zpwhere"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// GatewayDaemon is a daemon that runs on the platform of package zpplatform: it
// routes requests of callers to endpoints and loads new weights into engines.
type GatewayDaemon struct {
	Node    *zpplatform.Node
	Log     *zplog.Logger
	Metrics *zpmetric.Metrics

	self        zpassign.Member
	startedAt   time.Time // when the daemon was built
	store       *zpplatform.Store
	eras        *zpobject.EraTracker
	sender      *zpengine.Sender
	detour      *zpdetour.Dialer // connects to endpoints through others
	connector   *zpdetour.Server // connects to endpoints for others
	catalog     atomic.Pointer[zpcatalog.Catalog]
	registry    *zpregistry.Registry
	weights     *zprollout.WeightVersions
	members     *members
	watches     *watches
	gateway     *zpgateway.Gateway
	rollout     *zprollout.Rollout
	dialer      *zppeer.Dialer
	sharer      *zpshare.Sharer
	hub         *zpdigest.Hub
	exchange    *zpdigest.Exchange
	lookup      *zplookup.Client
	reads       *zprelay.GuardedStore
	recorder    *zprelay.CachingStore
	follower    *zprelay.Follower
	live        *liveDaemons
	catalogs    *catalogs
	bans        *bans
	trials      *zpquarantine.Trials
	origins     *zporigin.Directory
	endpointGap endpointGap
	upgrades    *upgrades
	caches      *cacheFollowers
	leaving     atomic.Bool
	memory      memoryGuards
	// recordRevision is the revision of this daemon's record in the store; zero until it is written.
	recordRevision atomic.Int64
	callers        *http.Server
	ready          *http.Server
	admin          *http.Server
}

const (
	storeTimeout          = 1500 * time.Millisecond // of a call to the store; three times the duration of a slow response
	lapsedEntryGrace      = 2 * time.Second         // time for endpoints whose entries expired to register again after a store outage
	usageMaxAge           = 2 * time.Second         // maximum age of load reported by peers
	maxPartsPerHolder     = 1024                    // directory entries for one engine or KV cache store
	cacheStoreStateMaxAge = 2 * time.Second         // age at which the reported state of a KV cache store expires
	cacheStoreSettleDelay = 3 * time.Second         // from a restart of a KV cache store until parts are saved to it; longer than any daemon uses an outdated state
	crashRetention        = time.Hour
	retryShare            = 0.9                    // share of the fleet's retry budget in use; leaves room for daemons whose views differ
	retryBurst            = 4                      // unused retries that a daemon may accumulate
	shutdownMargin        = 300 * time.Millisecond // time left between the end of the shutdown and SIGKILL
	originsTimeout        = 500 * time.Millisecond // for the origins of streams, at the end of a stop
	answerMargin          = 200 * time.Millisecond // time before shutdownMargin to answer what endpoints have not answered
	defaultBodyLimit      = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultHeaderBytes    = 16 << 10
	maxHeaderBytes        = 1 << 20 // beyond any max-header-bytes of a configuration

	// oldWeightsShare is the share of OldWeightsGrace, the time for which requests may
	// start on superseded weights, in which requests may still be sent to an engine
	// with old weights; the rest is for requests that wait at the engine.
	oldWeightsShare = 0.8

	weightDuty         = "duties/weights"
	dutyValidity       = 800 * time.Millisecond // of the duty's lease; a successor waits this long plus the handover delay
	dutyRenew          = 250 * time.Millisecond // two lost renewals in a row do not end the lease
	dutyMargin         = 300 * time.Millisecond // added to the minimum interval between orders of two holders, for orders still in flight
	weightPollInterval = 200 * time.Millisecond // between reports of an engine that loads weights; reports are up to this much out of date
	orderRetryInterval = 3 * time.Second        // before an order without effect is repeated; time for running requests to finish and for the weights to load
)

// NewGatewayDaemon builds a daemon without starting it.
func NewGatewayDaemon(n *zpplatform.Node, log *zplog.Logger) *GatewayDaemon {
	s := n.Settings
	d := &GatewayDaemon{
		Node: n, Log: log, Metrics: zpmetric.New(), startedAt: zpclock.Now(),
		self: zpassign.Member{
			Instance: s.Name + "." + randomHex(instanceRandomBytes), Name: s.Name, PeerAddress: s.Peers.Listen,
			CallerAddress: s.Callers.Listen, Region: s.Region, Domain: s.Domain, State: zpassign.MemberServing, Cores: n.Cores, PeerVersion: zppeer.Version,
		},
		registry: zpregistry.New(lapsedEntryGrace), weights: zprollout.NewWeightVersions(time.Duration(float64(n.Bounds.OldWeightsGrace) * oldWeightsShare)), members: newMembers(s.Name),
	}
	d.eras = &zpobject.EraTracker{OnChange: d.storeRestored}
	d.store = &zpplatform.Store{BaseURL: s.Platform.Address, Timeout: storeTimeout, OnCall: d.countStore, Eras: d.eras, OnBadEra: d.storeEraUnusable, Clock: zpclock.Now}
	d.store.Open()
	d.buildDetours()
	d.sender = d.newSender()
	d.gateway = &zpgateway.Gateway{
		Domain: s.Domain, Region: s.Region, RegionOf: n.RegionOf, Catalog: d.catalog.Load, CatalogConfirmedAt: func() time.Time { return d.follower.ReadAt() },
		AwaitCatalog: func(ctx context.Context) { d.catalogs.await(ctx) }, IsCatalogConfirmed: func() bool { return d.catalogs.isConfirmed() }, Registry: d.registry, IsListCurrent: d.isEndpointListCurrent, HasSynced: d.hasSynced,
		Weights: d.weights, Usage: zpusage.NewTracker(usageMaxAge), Parts: zpparts.NewDirectory(maxPartsPerHolder),
		Stores: zpparts.NewStores(cacheStoreStateMaxAge, cacheStoreSettleDelay), AnnounceParts: d.announceParts, RefreshParts: d.query,
		Health: zpgateway.NewHealthTracker(), Speed: zpspeed.NewTracker(), Cold: &zpplace.ColdLimiter{Self: s.Name}, Brittle: zpbrittle.New(s.Name), Daemons: d.members.Names,
		Quarantine: zpquarantine.NewTracker(crashRetention), AnnounceCrash: d.announceCrash, AnnounceHarmless: d.announceHarmless, RequestTrial: d.requestTrial, IsRefusing: d.sender.IsRefusing, AnnounceUnreachable: d.announceUnreachable,
		Reach:   d.detour.Tracker,
		Retries: &zpretry.Budgets{Ratio: n.Bounds.RetryRatio * retryShare, Burst: retryBurst},
		Runner:  &zpplatform.Runner{Sender: d.sender}, ResponseMemory: zpengine.NewMemory(zpmemory.PlanFor(n.Memory).Responses), Rates: zpplace.DefaultRates(),
		Log: log, Metrics: d.Metrics, Clock: zpclock.Now, Random: rand.Float64,
	}
	d.registry.OnRemoved = d.endpointGone
	d.catalogs = &catalogs{daemon: d, outage: zpcatalog.OutageVotes{Domain: s.Domain}}
	d.catalogs.recordActive(zpclock.Now())
	d.bans, d.trials = newBans(d), zpquarantine.NewTrials()
	d.buildReads()
	d.upgrades = newUpgrades(d)
	d.gateway.Upgrades = d.upgrades.tracker
	d.buildSharing()
	d.buildOrigins()
	d.buildRollout()
	d.watches = newWatches(d)
	d.memory = newMemoryGuards(n, log, d.Metrics)
	d.memory.callers.MaxHeadBytes, d.memory.callers.TooLarge = d.headerLimit, []byte(headTooLarge)
	d.gateway.ResponseMemory.Relieve = func() bool { return d.memory.callers.Budget.EvictWriters(zpclock.Now()) }
	d.Metrics.Registry.MustRegister(&stateCollector{daemon: d})
	d.buildServers()
	return d
}

func (d *GatewayDaemon) buildServers() {
	d.callers = &http.Server{
		Handler: zpnet.CancelOnClose(&zpplatform.Ingress{
			Gateway: d.gateway, MaxBodyBytes: d.bodyLimit, BodyTimeout: d.bodyTimeout, Clock: zpclock.Now, ShuttingDown: d.leaving.Load,
		}),
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: d.memory.callers.ConnContext, ConnState: d.memory.callers.ConnState,
	}
	d.ready = &http.Server{
		Handler: http.HandlerFunc(d.serveReadiness), ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: controlHeaderBytes, ConnState: d.memory.control.ConnState,
	}
	metrics := promhttp.HandlerFor(d.Metrics.Registry, promhttp.HandlerOpts{})
	admin := http.NewServeMux()
	admin.Handle("/", metrics)
	admin.Handle(zpwhere.Path, &zpwhere.Handler{Where: d.gateway.Where, Catalog: d.catalog.Load, Clock: zpclock.Now})
	d.admin = &http.Server{Handler: admin, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: controlHeaderBytes, ConnState: d.memory.control.ConnState}
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *GatewayDaemon) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	failed := make(chan error, 4)
	if err := d.listen(failed); err != nil {
		return err
	}
	var workers sync.WaitGroup
	d.watches.start(work, &workers)
	workers.Go(func() { d.join(work) })
	workers.Go(func() { d.sharer.Run(work) })
	workers.Go(func() { d.exchange.Run(work) })
	workers.Go(func() { d.catalogs.run(work) })
	workers.Go(func() { d.servePeers(work, failed) })
	workers.Go(func() { d.caches.run(work) })
	workers.Go(func() { d.bans.run(work) })
	workers.Go(func() { d.upgrades.run(work) })
	workers.Go(func() { d.watchVersions(work) })
	workers.Go(func() { d.inheritPasts(work) })
	workers.Go(func() { repeatEvery(work, versionsInterval, d.origins.TellAgain) })
	workers.Go(func() { d.detour.RunProbes(work) })
	stalls := &zpstall.Detector{Log: d.Log, Clock: zpclock.Now, Observe: func(late time.Duration) {
		d.Metrics.StallSeconds.Observe(late.Seconds())
		d.catalogs.recordActive(zpclock.Now())
	}}
	workers.Go(func() { stalls.Run(work) })
	duties, stopDuties := context.WithCancel(work)
	defer stopDuties()
	workers.Go(func() { d.rollout.Run(duties) })
	d.Log.Emit(zplog.Started, zplog.Fields{"instance": d.self.Instance, "callers": d.Node.Settings.Callers.Listen})
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopDuties()
	d.stop()
	stopWork()
	workers.Wait()
	d.Log.Emit(zplog.Stopped, zplog.Fields{"instance": d.self.Instance})
	return err
}

// handOver tells others where streams began, for a limited time: a daemon that reaches nobody
// must not take all of its grace period to stop.
func (d *GatewayDaemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	d.origins.HandOver(ctx)
}

// stop shuts down without interrupting requests: it signals the load balancer
// and callers to use other daemons, then closes connections as they become idle.
func (d *GatewayDaemon) stop() {
	startedAt := time.Now()
	d.leaving.Store(true)
	d.Log.Emit(zplog.Stopping, zplog.Fields{"open_requests": d.gateway.OpenRequests.Load()})
	now := zpclock.Now()
	d.gateway.StopBy(now.Add(d.Node.Bounds.StopGrace-shutdownMargin-answerMargin), now)
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(d.Node.Bounds.StopGrace-shutdownMargin))
	defer cancel()
	go d.origins.HandOver(ctx)
	d.unregister(ctx)
	if zpmutant.Active(zpmutant.Drain) {
		_ = d.callers.Close()
		return
	}
	time.Sleep(max(d.Node.Settings.Drain.Notice-time.Since(startedAt), 0))
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Log.Emit(zplog.DrainTimedOut, zplog.Fields{"open_requests": d.gateway.OpenRequests.Load()})
	}
	d.handOver(ctx) // streams that began while this daemon was stopping
	// Until here, daemons that are cut off from endpoints may have no other way than this one.
	d.connector.Shutdown(ctx)
	// These servers have no requests that need a graceful shutdown.
	_ = d.ready.Close()
	_ = d.admin.Close()
}

func (d *GatewayDaemon) listen(failed chan<- error) error {
	addresses := map[*http.Server]string{d.callers: d.Node.Settings.Callers.Listen, d.admin: d.Node.Settings.Admin.Listen}
	if d.Node.ReadyListen != "" {
		addresses[d.ready] = d.Node.ReadyListen
	}
	for server, address := range addresses {
		lis, err := zpnet.NewListenConfig().Listen(context.Background(), "tcp", address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		guard := d.memory.control
		if server == d.callers {
			guard = d.memory.callers
		}
		go d.serve(server, guard.Listener(lis), failed)
	}
	return nil
}

func (d *GatewayDaemon) serve(server *http.Server, lis net.Listener, failed chan<- error) {
	if err := server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		d.Log.Emit(zplog.ServerFailed, zplog.Fields{"error": err.Error()})
		failed <- err
	}
}

// serveReadiness is the readiness check of the load balancer.
func (d *GatewayDaemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || d.catalog.Load() == nil || !d.hasSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// hasSynced reports whether everything that decides where a request may be sent was
// read from the store at least once, except the catalog.
func (d *GatewayDaemon) hasSynced() bool {
	return d.registry.HasSynced() && d.weights.HasSynced() && d.members.HasSynced() && d.bans.HasSynced() && d.upgrades.tracker.HasSynced()
}

func (d *GatewayDaemon) bodyLimit() int64 {
	if c := d.catalog.Load(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyLimit
}

func (d *GatewayDaemon) headerLimit() int {
	if c := d.catalog.Load(); c != nil && c.Limits.HeaderBytes > 0 {
		return c.Limits.HeaderBytes
	}
	return defaultHeaderBytes
}

func (d *GatewayDaemon) bodyTimeout() time.Duration {
	if c := d.catalog.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// buildRollout builds the rollout that loads the configured weights into the
// engines. Only one daemon at a time does this.
func (d *GatewayDaemon) buildRollout() {
	holder := d.self.Name + "@" + d.self.PeerAddress
	timing := zpduty.Timing{Validity: dutyValidity, RenewInterval: dutyRenew, HandoverDelay: d.Node.Bounds.MinOrderInterval + dutyMargin}
	keeper := zpduty.NewKeeper(weightDuty, holder, timing, d.reads, d.Log, zpclock.Now)
	keeper.Peek, keeper.Eras = d.reads.GetStale, d.eras
	orderer := &zpplatform.Orderer{Sender: d.sender, Clock: zpclock.Now, Notice: d.gateway.RecordNotice}
	d.gateway.ReadStart = orderer.StartedAtMS
	d.rollout = &zprollout.Rollout{
		Self: holder, Keeper: keeper,
		WeightVersions: d.weights, Engines: d.engines, Models: d.models,
		Load:       func(endpoint string, now time.Time) int { return d.gateway.Usage.Total(endpoint, now).Requests },
		SetWeights: d.registry.SetWeights, Announce: d.announceWeightChange, Orderer: orderer,
		Reaches: func(address string, now time.Time) bool { return !d.detour.Tracker.IsBlocked(address, now) },
		Rank:    func() int { return zpplace.RendezvousRank(d.self.Name, weightDuty, d.members.Names()) },
		Timing:  zprollout.Timing{PollInterval: weightPollInterval, RepeatDelay: orderRetryInterval}, Log: d.Log, Clock: zpclock.Now,
	}
}

// engines returns the serving endpoints of all engine pools.
func (d *GatewayDaemon) engines(now time.Time) []zpregistry.Endpoint {
	c := d.catalog.Load()
	if c == nil {
		return nil
	}
	var out []zpregistry.Endpoint
	for _, p := range c.Pools {
		if p.Engine != nil {
			out = append(out, d.registry.Serving(p.Name, now)...)
		}
	}
	return out
}

// models returns the models that the engines of a pool serve.
func (d *GatewayDaemon) models(pool string) []string {
	if c := d.catalog.Load(); c != nil {
		if p, ok := c.PoolOf(pool); ok && p.Engine != nil {
			return p.Engine.Models
		}
	}
	return nil
}

func (d *GatewayDaemon) countStore(call, kind string, err error) {
	d.Metrics.PlatformCalls.WithLabelValues(call, kind, outcomeLabel(err)).Inc()
}

// storeRestored is called when the store has come back from an older copy, before any of its
// content is used. Watches and duties take the era from the tracker itself.
func (d *GatewayDaemon) storeRestored(c zpobject.EraChange) {
	now := zpclock.Now()
	d.registry.StoreRestored(now)
	time.AfterFunc(d.members.storeRestored(now).Sub(now), d.watches.members.Restart)
	d.Log.Emit(zplog.StoreRestored, zplog.Fields{
		"era_before": c.Before, "era": c.After, "source": c.Source, "catalog": d.catalogVersion(),
		"catalog_revision": zpobject.PlainRevision(d.catalogs.current().Revision),
	})
}

func (d *GatewayDaemon) storeEraUnusable(text string) {
	era, _ := d.eras.Current()
	d.Log.Emit(zplog.StoreEraUnusable, zplog.Fields{"text": text, "era": era})
}

func (d *GatewayDaemon) endpointGone(e zpregistry.Endpoint) {
	d.Log.Emit(zplog.EndpointGone, zplog.Fields{"endpoint": e.ID, "address": e.Address})
	d.gateway.HandleEndpointRemoved(e)
}

// Reload reads the settings file again. A running process keeps its addresses,
// so Reload only reports whether the file is valid.
func (d *GatewayDaemon) Reload(path string) {
	if _, err := zpplatform.LoadNode(path); err != nil {
		d.Log.Emit(zplog.ReloadFailed, zplog.Fields{"error": zperror.Of(err).Error()})
		return
	}
	d.Log.Emit(zplog.Reloaded, zplog.Fields{"path": path})
}
