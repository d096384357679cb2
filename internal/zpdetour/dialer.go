package zpdetour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

type (
	// Dialer connects to endpoints, through another daemon where this one cannot. Set the
	// exported fields before use.
	Dialer struct {
		Tracker *Tracker
		Direct  func(ctx context.Context, network, address string) (net.Conn, error)
		Open    OpenFunc
		Domain  string // failure domain of this daemon
		Region  string
		Peers   func() []Peer // daemons that may be asked, without this one
		// Registered returns all other daemons, whether they answer or not; nil: those of Peers.
		Registered func() []Peer
		// Endpoints returns the addresses of all endpoints; nil: only those that were reached
		// lately are known.
		Endpoints func() []string
		Log       *zplog.Logger
		Clock     func() time.Time
		// OnDetour is called for each connection through another daemon, and each that failed;
		// for metrics. It may be nil.
		OnDetour func(peer string, took time.Duration, err error)

		mu    sync.Mutex
		peers map[string]*peerState // by address
	}

	// verdicts are what other daemons found at an endpoint to which they did not connect. Those of
	// one failure domain may be cut off together.
	verdicts struct {
		count      int
		needed     int
		needsOther bool // daemons of other failure domains exist
		hasOther   bool
		err        error
	}

	// detourConn counts as open until it is closed.
	detourConn struct {
		net.Conn
		through string // name of the other daemon
		release func()
	}
)

const (
	// deadVerdicts is how many daemons must have failed to connect, one of them of another
	// failure domain, before an endpoint counts as down.
	deadVerdicts = 2
	// openTimeout bounds one of these questions: the other daemon's connect and two round trips
	// between regions.
	openTimeout = 300 * time.Millisecond
	// reachTimeout bounds the connects to other endpoints that show whether a refusal counts.
	reachTimeout = 100 * time.Millisecond
)

// DialContext connects to an endpoint. The error after a detour that failed, too, is that of
// the connect of this daemon.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch {
	case IsDirectOnly(ctx):
		return d.DialDirect(ctx, network, address)
	case isAfterConnect(ctx):
		return d.detourUnlessDead(ctx, address)
	}
	if d.Tracker.IsBlocked(address, d.Clock()) && len(d.Peers()) > 0 {
		return d.detour(ctx, address)
	}
	conn, err := d.DialDirect(ctx, network, address)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if conn, detourErr := d.detourUnlessDead(ctx, address); detourErr == nil {
		return conn, nil
	}
	return nil, err
}

// detourUnlessDead connects through another daemon, unless one has just failed to.
func (d *Dialer) detourUnlessDead(ctx context.Context, address string) (net.Conn, error) {
	if !d.Tracker.MayDetour(address, d.Clock()) {
		return nil, ErrNoPath
	}
	return d.detour(ctx, address)
}

// DialDirect connects without a detour, and records the result.
func (d *Dialer) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Direct(ctx, network, address)
	switch {
	case err == nil:
		d.connected(address)
	case !errors.Is(ctx.Err(), context.Canceled): // else the caller has left
		d.Tracker.RecordFailure(address, d.Clock())
	}
	return conn, err
}

// IsRefusing reports whether an address that has refused a connection of this daemon refuses
// those of others, too. If none could tell, the refusal counts while this daemon connects to
// other endpoints.
func (d *Dialer) IsRefusing(ctx context.Context, address string, watch time.Duration) bool {
	if refusing, ok := d.AskRefusing(ctx, address, watch); ok {
		return refusing
	}
	return len(d.registered()) == 0 || d.reachesOther(ctx, address)
}

// AskRefusing asks other daemons whether an address refuses their connections, or does so after
// one that it accepted has ended within the watch. ok is false if none could tell.
func (d *Dialer) AskRefusing(ctx context.Context, address string, watch time.Duration) (refusing, ok bool) {
	conn, err := d.detour(ctx, address)
	if err == nil {
		if !zpnet.EndsWithin(conn, watch) {
			return false, true
		}
		if conn, err = d.detour(ctx, address); err == nil {
			_ = conn.Close()
			return false, true
		}
	}
	isRefused := errors.Is(err, syscall.ECONNREFUSED)
	return isRefused, isRefused || errors.Is(err, ErrNoPath)
}

func (d *Dialer) registered() []Peer {
	if d.Registered == nil {
		return d.Peers()
	}
	return d.Registered()
}

// reachesOther reports whether this daemon connects to any endpoint but the one at an address.
func (d *Dialer) reachesOther(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reachTimeout)
	defer cancel()
	others := d.Tracker.Reached(address)
	if d.Endpoints != nil {
		all := slices.DeleteFunc(d.Endpoints(), func(a string) bool { return a == address })
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		others = append(others, all[:min(len(all), maxReached)]...)
	}
	for _, other := range others {
		if err := d.probe(ctx, other); err == nil {
			return true
		}
	}
	return false
}

// RunProbes looks for the way back to blocked endpoints until ctx ends.
func (d *Dialer) RunProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if address, ok := d.Tracker.NextProbe(d.Clock()); ok {
			_ = d.probe(ctx, address) // it stays blocked
		}
	}
}

func (d *Dialer) probe(ctx context.Context, address string) error {
	conn, err := d.Direct(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close()
	d.connected(address)
	return nil
}

// connected records a connect of this daemon. What else is blocked is probed at once.
func (d *Dialer) connected(address string) {
	probe, wasCut := d.Tracker.RecordConnect(address, d.Clock())
	if wasCut {
		d.Log.Emit(zplog.EndpointsReachable, zplog.Fields{"address": address, "blocked": len(probe)})
	}
	for _, other := range probe {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
			defer cancel()
			_ = d.probe(ctx, other) // it stays blocked
		}()
	}
}

// detour connects to an endpoint through another daemon. The error is syscall.ECONNREFUSED or
// ErrNoPath if the endpoint seems to be down, and ErrNoPeer if too few daemons could tell.
func (d *Dialer) detour(ctx context.Context, address string) (net.Conn, error) {
	v := d.newVerdicts(ctx)
	for _, p := range d.rank(d.peersFor(ctx)) {
		conn, err := d.open(ctx, p, address)
		now := d.Clock()
		if err == nil {
			if d.Tracker.RecordDetour(address, now) {
				d.Log.Emit(zplog.EndpointsUnreachable, zplog.Fields{"address": address, "blocked": d.Tracker.Reach(now).Blocked, "through": p.Name})
			}
			return conn, nil
		}
		if v.add(p.Domain != d.Domain, err) {
			d.Tracker.RecordDead(address, now)
			return nil, v.err
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
	return nil, ErrNoPeer
}

// newVerdicts returns verdicts without any. Daemons that are silent count among those that exist:
// the ones that answer may be cut off together with this one.
func (d *Dialer) newVerdicts(ctx context.Context) verdicts {
	allowed := slices.DeleteFunc(slices.Clone(d.registered()), func(p Peer) bool { return !AllowsRegion(ctx, p.Region) })
	return verdicts{needed: min(deadVerdicts, len(allowed)), needsOther: slices.ContainsFunc(allowed, func(p Peer) bool { return p.Domain != d.Domain })}
}

// add counts the failure of another daemon to connect to an endpoint, and reports whether the
// endpoint seems to be down.
func (v *verdicts) add(isOther bool, err error) bool {
	isRefused := errors.Is(err, syscall.ECONNREFUSED)
	if !isRefused && !errors.Is(err, ErrNoPath) {
		return false
	}
	v.count++
	v.hasOther = v.hasOther || isOther
	if v.err == nil || isRefused {
		v.err = err
	}
	return v.count >= v.needed && (v.hasOther || !v.needsOther)
}

func (d *Dialer) open(ctx context.Context, p Peer, address string) (net.Conn, error) {
	startedAt := d.Clock()
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := d.Open(openCtx, p.Address, address)
	now := d.Clock()
	took := now.Sub(startedAt)
	if d.OnDetour != nil {
		d.OnDetour(p.Name, took, err)
	}
	d.record(p, took, err, now)
	if err != nil {
		return nil, fmt.Errorf("through %s: %w", p.Name, err)
	}
	return &detourConn{Conn: conn, through: p.Name, release: sync.OnceFunc(func() { d.release(p) })}, nil
}

// Through returns the name of the daemon through which the connection leads.
func (c *detourConn) Through() string { return c.through }

// Read reads bytes. The end of a connection to the endpoint that was reset is an error, also if
// a write has got the kernel's report of the reset.
func (c *detourConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && zpnet.WasReset(c.Conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Close closes the connection.
func (c *detourConn) Close() error {
	c.release()
	return c.Conn.Close()
}
