package zpapp

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
)

// peerTimeout bounds a call to another daemon. News that take longer are old.
const peerTimeout = 400 * time.Millisecond

func (d *GatewayDaemon) buildSharing() {
	d.dialer = &zppeer.Dialer{Timeout: peerTimeout, OnCall: d.countPeer}
	d.dialer.Open()
	d.sharer = &zpshare.Sharer{
		Self: d.self.Instance, Domain: d.self.Domain, Usage: d.gateway.Usage, Others: d.members.Others,
		Send: func(ctx context.Context, address string, m zpshare.Message) (string, error) {
			return zppeer.Share(ctx, d.dialer, address, m)
		},
		Snapshot: d.snapshot, Log: d.Log, Clock: zpclock.Now,
	}
	d.caches = newCaches(d)
}

func (d *GatewayDaemon) servePeers(ctx context.Context, failed chan<- error) {
	lis, err := zppeer.Listen(d.Node.Settings.Peers.Listen, nil)
	if err == nil {
		err = zppeer.ServeSharing(ctx, lis, &zppeer.SharingHandler{Instance: d.self.Instance, Apply: d.applyNews})
	}
	if err != nil && ctx.Err() == nil {
		failed <- err
	}
}

// applyNews takes over what another daemon tells.
func (d *GatewayDaemon) applyNews(m zpshare.Message) {
	now := zpclock.Now()
	d.gateway.Usage.SetPeer(m.Instance, m.Uses, now)
	for _, x := range m.Stores {
		d.setStore(x, now)
	}
	for _, holder := range m.Reset {
		d.gateway.Parts.Forget(holder)
	}
	for _, c := range m.Parts {
		d.gateway.Parts.Apply(c)
	}
	for _, c := range m.Expected {
		d.gateway.Parts.Expect(c, now.Add(zpgateway.ReadLimit))
	}
	for _, c := range m.Saving {
		d.gateway.Stores.BeginSave(c, now)
	}
	for _, c := range m.Changing {
		d.noteChanging(c.Endpoint, c.Left, now)
	}
	for _, c := range m.Crashes {
		d.gateway.Quarantine.Note(c.Fingerprint, c.Crash, now)
	}
}

// setStore takes over the state of a store. Its parts are void after a restart
// and while it cannot be reached.
func (d *GatewayDaemon) setStore(x zpparts.Store, now time.Time) {
	if d.gateway.Stores.Set(x, now) {
		d.gateway.Parts.Forget(x.Name)
	}
}

func (d *GatewayDaemon) noteChanging(endpoint string, left time.Duration, now time.Time) {
	if left <= 0 {
		d.weights.SetChanging(endpoint, time.Time{})
		return
	}
	d.weights.SetChanging(endpoint, now.Add(left))
}

func (d *GatewayDaemon) announceParts(n zpgateway.News) {
	d.sharer.Add(zpshare.Message{Parts: n.Read, Expected: n.Expected, Saving: n.Saving})
}

func (d *GatewayDaemon) announceCrash(fingerprint, crash string) {
	d.sharer.Add(zpshare.Message{Crashes: []zpshare.Crash{{Fingerprint: fingerprint, Crash: crash}}})
}

func (d *GatewayDaemon) announceChange(endpoint string, left time.Duration) {
	d.sharer.Add(zpshare.Message{Changing: []zpshare.Changing{{Endpoint: endpoint, Left: left}}})
}

// snapshot is what a daemon needs that knows nothing yet: the parts of the
// holders that this daemon follows.
func (d *GatewayDaemon) snapshot() zpshare.Message {
	var m zpshare.Message
	for _, holder := range d.caches.followed() {
		m.Reset = append(m.Reset, holder)
		m.Parts = append(m.Parts, d.gateway.Parts.HeldBy(holder)...)
	}
	m.Stores = d.caches.states()
	return m
}

func (d *GatewayDaemon) countPeer(call string, err error) {
	d.Metrics.PeerCalls.WithLabelValues(call, outcomeLabel(err)).Inc()
}
