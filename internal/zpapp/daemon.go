// Package zpapp builds a daemon from its settings, runs it, and shuts it down
// without interrupting open requests. It has two kinds of daemons: Daemon, built
// from zpsettings, and GatewayDaemon, which runs on the platform of package
// zpplatform.
//
// Mutation tests disable single mechanisms; zpmutant.Active reports which. It is
// always false in programs built without the tag zpmutant.
package zpapp

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfleet"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfront"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zpholding"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnode"
	"github.com/zinniapaddle/zinniapaddle/internal/zpowner"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zppipeline"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/internal/zptrace"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Daemon is one daemon instance and its components. GatewayDaemon is the other
// kind of daemon.
type Daemon struct {
	Settings *zpsettings.Settings
	Log      *zplog.Logger
	Metrics  *zpmetric.Metrics

	fleet        *zpfleet.Fleet
	owner        *zpowner.Owner
	pipeline     *zppipeline.Pipeline
	front        *zpfront.Server
	engine       *zpengine.Client
	dialer       *zppeer.Dialer
	exchange     *zppeer.ServiceResolver
	local        *zpnode.Local
	tracing      *zptrace.Tracing
	tls          *tls.Config
	openRequests atomic.Int64
	leaving      atomic.Bool
	leaseEnded   chan struct{}
	listeners    listeners
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	admin   net.Listener
}

const (
	hintCapacity        = 200_000 // conversations whose cache locations are remembered
	quarantineRetention = 24 * time.Hour
	instanceRandomBytes = 4
	idRandomBytes       = 12
)

// NewDaemon builds a new instance without starting it.
func NewDaemon(ctx context.Context, s *zpsettings.Settings, log *zplog.Logger) (*Daemon, error) {
	d := &Daemon{Settings: s, Log: log, Metrics: zpmetric.New(), leaseEnded: make(chan struct{}, 1)}
	var err error
	if !s.Peers.Insecure {
		if d.tls, err = zppeer.TLSConfig(s.Peers.CAFile, s.Peers.CertFile, s.Peers.KeyFile); err != nil {
			return nil, err
		}
	}
	self := zpassign.Member{
		Instance: s.Name + "." + randomHex(instanceRandomBytes), Name: s.Name, PeerAddress: s.Peers.Listen,
		CallerAddress: s.Callers.Listen, Region: s.Region, Domain: s.Domain, State: zpassign.MemberServing,
	}
	if d.tracing, err = zptrace.Open(ctx, s.Trace, self.Instance); err != nil {
		return nil, err
	}
	if err := d.build(self); err != nil {
		return nil, err
	}
	return d, nil
}

// LeaseEnded returns a channel that receives a value when another daemon has ended
// this instance's lease.
func (d *Daemon) LeaseEnded() <-chan struct{} { return d.leaseEnded }

func (d *Daemon) build(self zpassign.Member) error {
	s := d.Settings
	api := &zpobject.Client{
		BaseURL: s.Platform.Address, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		Timeout: s.Platform.Timeout, OnCall: d.countPlatform,
	}
	d.dialer = &zppeer.Dialer{TLS: d.tls, Timeout: s.Peers.CallTimeout, OnCall: d.countPeer, Tracer: d.tracing.Tracer}
	d.dialer.Open()
	d.exchange = &zppeer.ServiceResolver{Self: self.Instance, Dialer: d.dialer}
	d.engine = &zpengine.Client{ConnectTimeout: s.Endpoint.ConnectTimeout, Clock: time.Now}
	d.engine.Open()
	holdings := zpholding.NewRegistry(self.Instance)
	quarantine := zpquarantine.NewList(quarantineRetention)
	hints, err := zphint.NewTable(hintCapacity)
	if err != nil {
		return fmt.Errorf("build hint table: %w", err)
	}
	d.buildFleet(self, api)
	d.owner = &zpowner.Owner{
		StartDeadline: s.Reserve.StartDeadline, ReportInterval: s.Endpoint.Report,
		QueueLimit: s.Reserve.QueueLimit, Reporter: d.engine, Orderer: d.engine, FetchHoldings: d.exchange.HeldBy,
		Fleet: d.fleet, Log: d.Log, Clock: time.Now,
	}
	d.local = &zpnode.Local{
		Fleet: d.fleet, Owner: d.owner, Holdings: holdings, Hints: hints, Quarantine: quarantine,
		RunGuard: zpquarantine.NewRunGuard(), API: api, Retention: s.Claims.Retention, MaxAnswerBytes: s.Claims.MaxAnswerBytes, NewID: newID, Metrics: d.Metrics, Log: d.Log,
		Clock: time.Now, Open: &d.openRequests,
	}
	d.exchange.Local = d.local
	d.exchange.SelfAddress = self.PeerAddress
	d.pipeline = &zppipeline.Pipeline{
		Settings: s, Fleet: d.fleet, Exchange: d.exchange, Engine: d.engine, Holdings: holdings,
		Quarantine: quarantine, Retries: &zpretry.Budgets{Ratio: s.Retry.BudgetRatio, Burst: s.Retry.BudgetBurst},
		Log: d.Log, Metrics: d.Metrics, Tracer: d.tracing.Tracer, NewID: newID, Clock: time.Now, OpenRequests: &d.openRequests,
	}
	d.front = &zpfront.Server{
		Settings: s.Callers, Pipeline: d.pipeline, Fleet: d.fleet, Tracer: d.tracing.Tracer,
		Clock: time.Now, IsShuttingDown: d.leaving.Load,
		Guard: newMemoryGuard(callerPorts, s.Callers.MemoryBytes, s.Callers.MaxConnections, d.Log, d.Metrics),
	}
	d.front.Guard.Clock, d.front.Guard.Refusal = time.Now, zpfront.RefusalOf(zpmemory.ErrExhausted)
	return d.front.Build()
}

func (d *Daemon) buildFleet(self zpassign.Member, api zpobject.API) {
	s := d.Settings
	cache := zpconfig.NewCache()
	cache.OnManifest = d.recordManifest
	d.fleet = &zpfleet.Fleet{
		Self: self, API: api, PeerClient: d.exchange, Cache: cache,
		Freshness: zpconfig.FreshnessPolicy{
			Self: self.Instance, PlatformRegion: s.Platform.Region, MaxAge: s.Config.MaxAge,
			ContactWindow: s.Config.MaxAge, ServeLast: s.Config.CutOffPolicy == zpsettings.CutOffServeLast,
		},
		Timing: zplease.Timing{Duration: s.Lease.Duration, Margin: s.Lease.Margin},
		Intervals: zpfleet.Intervals{
			Renew: s.Lease.Renew, Compare: s.Config.Compare, WatchWait: s.Config.WatchWait,
			WatchersPerDomain: s.Config.WatchersPerDomain,
		},
		Log: d.Log, Metrics: d.Metrics, Clock: time.Now,
		Random:      mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 0)),
		OnLeaseLost: d.signalLeaseEnded,
	}
	if s.Peers.Seeds != "" {
		d.fleet.Seeds = strings.Split(s.Peers.Seeds, ",")
	}
	d.fleet.Open()
}

func (d *Daemon) recordManifest(m *zpmanifest.Manifest, err error) {
	if err != nil {
		d.Log.Emit(zplog.ConfigRefused, zplog.Fields{"error": err.Error()})
		return
	}
	d.Metrics.ConfigVersion.Set(float64(m.Version))
	d.Log.Emit(zplog.ConfigApplied, zplog.Fields{"version": m.Version})
}

func (d *Daemon) signalLeaseEnded() {
	select {
	case d.leaseEnded <- struct{}{}:
	default:
	}
}

func (d *Daemon) countPlatform(call string, err error) {
	d.Metrics.PlatformCalls.WithLabelValues(call, "", outcomeLabel(err)).Inc()
}

func (d *Daemon) countPeer(call string, err error) {
	d.Metrics.PeerCalls.WithLabelValues(call, outcomeLabel(err)).Inc()
	if err != nil {
		d.Log.Emit(zplog.PeerFailed, zplog.Fields{"call": call, "error": err.Error()})
	}
}

// listen opens all listeners. If one fails, those already open are closed.
func (d *Daemon) listen() error {
	var err error
	if d.listeners.callers, err = d.front.Listen(); err != nil {
		return err
	}
	if d.listeners.peers, err = zppeer.Listen(d.Settings.Peers.Listen, d.tls); err != nil {
		return errors.Join(err, d.listeners.callers.Close())
	}
	if d.listeners.admin, err = net.Listen("tcp", d.Settings.Admin.Listen); err != nil {
		return errors.Join(fmt.Errorf("listen on admin address: %w", err), d.listeners.callers.Close(), d.listeners.peers.Close())
	}
	return nil
}

func outcomeLabel(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}

func newID() string { return randomHex(idRandomBytes) }

func randomHex(n int) string {
	raw := make([]byte, n)
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
