package zpapp

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

const (
	handOverTimeout      = 10 * time.Second
	handOverPollInterval = 50 * time.Millisecond
	leaveTimeout         = 3 * time.Second
)

// Run runs a daemon until ctx ends. It starts a new instance each time another
// daemon has ended the lease of the previous one.
func Run(ctx context.Context, s *zpsettings.Settings, log *zplog.Logger) error {
	for {
		d, err := NewDaemon(ctx, s, log)
		if err != nil {
			return err
		}
		if err := d.Run(ctx); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// Run serves until ctx ends or another daemon ends its lease, then shuts
// down gracefully: open requests have drain.timeout_ms to finish.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var workers sync.WaitGroup
	failed := make(chan error, 3)
	workers.Go(func() { d.fleet.Run(work) })
	workers.Go(func() { d.owner.Run(work) })
	workers.Go(func() { d.servePeers(work, failed) })
	admin := d.serveAdmin(&workers, failed)
	workers.Go(func() { d.reportFailure(failed, d.front.Serve(d.listeners.callers)) })
	d.Log.Emit(zplog.Started, zplog.Fields{"instance": d.fleet.Self.Instance, "callers": d.Settings.Callers.Listen})

	var err error
	select {
	case <-ctx.Done():
	case <-d.leaseEnded:
	case err = <-failed:
	}
	d.drain()
	stopWork()
	err = errors.Join(err, admin.Close())
	workers.Wait()
	d.close()
	return err
}

// drain shuts down in an order that interrupts no request: it stops receiving new
// work, waits for open requests, hands its partitions over to other daemons, and
// finally releases its lease.
func (d *Daemon) drain() {
	d.leaving.Store(true)
	d.Log.Emit(zplog.Stopping, zplog.Fields{"open_requests": d.openRequests.Load()})
	d.setState(zpassign.MemberLeaving)
	if zpmutant.Active(zpmutant.Drain) {
		_ = d.front.Close()
		return
	}
	time.Sleep(d.Settings.Drain.Notice)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Drain.Timeout)
	defer cancel()
	if err := d.front.Shutdown(ctx); err != nil {
		d.Log.Emit(zplog.DrainTimedOut, zplog.Fields{"open_requests": d.openRequests.Load()})
	}
	d.pipeline.Wait()
	d.handOver()
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := d.fleet.Leave(leave); err != nil {
		d.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"error": err.Error()})
	}
	d.Log.Emit(zplog.Stopped, zplog.Fields{"instance": d.fleet.Self.Instance})
}

func (d *Daemon) setState(state zpassign.MemberState) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.fleet.SetState(ctx, state); err != nil {
		d.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"error": err.Error()})
	}
}

// handOver waits until other daemons own this one's partitions. It does not wait
// if there are no other daemons or the lease was ended, and gives up after
// handOverTimeout, as a daemon cut off from the platform cannot hand over.
func (d *Daemon) handOver() {
	deadline := time.Now().Add(handOverTimeout)
	for d.fleet.OwnedPartitions() > 0 && d.fleet.HasOtherServingMember() && time.Now().Before(deadline) && !d.fleet.Lease.Ended() {
		time.Sleep(handOverPollInterval)
	}
}

func (d *Daemon) servePeers(ctx context.Context, failed chan<- error) {
	h := &zppeer.Handler{Service: d.local, Clock: time.Now}
	err := zppeer.Serve(ctx, d.listeners.peers, h)
	if ctx.Err() == nil {
		d.reportFailure(failed, err)
	}
}

func (d *Daemon) serveAdmin(workers *sync.WaitGroup, failed chan<- error) *http.Server {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.Metrics.Registry, promhttp.HandlerOpts{})))
	server := &http.Server{Handler: app, ReadHeaderTimeout: d.Settings.Callers.HeaderTimeout}
	workers.Go(func() {
		if err := app.Build(); err != nil {
			d.reportFailure(failed, err)
			return
		}
		if err := server.Serve(d.listeners.admin); !errors.Is(err, http.ErrServerClosed) {
			d.reportFailure(failed, err)
		}
	})
	return server
}

func (d *Daemon) reportFailure(failed chan<- error, err error) {
	if err == nil {
		return
	}
	d.Log.Emit(zplog.ServerFailed, zplog.Fields{"error": err.Error()})
	select {
	case failed <- err:
	default:
	}
}

func (d *Daemon) close() {
	d.engine.Close()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// Errors are ignored: at most a peer connection or the last spans are lost.
	_ = d.dialer.Close()
	_ = d.tracing.Close(ctx)
}
