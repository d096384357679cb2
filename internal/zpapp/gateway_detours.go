package zpapp

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

const (
	// bytesPerDetour is the memory that a connection for another daemon may take, and
	// detourMemoryShare the share of the VM's memory for all of them.
	bytesPerDetour    = 128 << 10
	detourMemoryShare = 0.1
	minDetours        = 16
	maxDetours        = 512
)

// buildDetours builds what connects to endpoints through other daemons, and for them.
func (d *GatewayDaemon) buildDetours() {
	tracker := &zpdetour.Tracker{}
	d.detour = &zpdetour.Dialer{
		Tracker: tracker, Domain: d.self.Domain, Region: d.self.Region, Peers: d.detourPeers, Registered: d.registeredPeers, Endpoints: d.registry.Addresses, Log: d.Log, Clock: zpclock.Now, OnDetour: d.countDetour,
		Open: func(ctx context.Context, peer, endpoint string) (net.Conn, error) {
			return zppeer.OpenEndpoint(ctx, d.dialer, peer, endpoint)
		},
	}
	d.connector = &zpdetour.Server{
		Tracker: tracker, Dial: d.detour.DialDirect, IsEndpoint: d.isEndpoint, Log: d.Log, Clock: zpclock.Now,
		MaxOpen: min(max(int(float64(d.Node.Memory)*detourMemoryShare)/bytesPerDetour, minDetours), maxDetours),
	}
}

func (d *GatewayDaemon) newSender() *zpengine.Sender {
	if zpmutant.Active(zpmutant.Detour) {
		return zpplatform.NewSender(nil)
	}
	return zpplatform.NewSender(d.detour)
}

// detourPeers returns the other daemons that answered recently.
func (d *GatewayDaemon) detourPeers() []zpdetour.Peer {
	return d.peersOf(d.live.list())
}

// registeredPeers returns the other daemons, whether they answer or not.
func (d *GatewayDaemon) registeredPeers() []zpdetour.Peer { return d.peersOf(d.members.Others()) }

func (d *GatewayDaemon) peersOf(members []zpassign.Member) []zpdetour.Peer {
	var out []zpdetour.Peer
	for _, m := range members {
		if m.Name != d.self.Name {
			out = append(out, zpdetour.Peer{Name: m.Name, Address: m.PeerAddress, Domain: m.Domain, Region: m.Region, Cores: m.Cores})
		}
	}
	return out
}

// isEndpoint reports whether an address belongs to an endpoint or a KV cache store.
func (d *GatewayDaemon) isEndpoint(address string) bool {
	if d.registry.HasAddress(address) {
		return true
	}
	catalog := d.catalog.Load()
	return catalog != nil && slices.ContainsFunc(catalog.Pools, func(p zpcatalog.Pool) bool {
		return p.CacheStore != nil && p.CacheStore.Address == address
	})
}

func (d *GatewayDaemon) countDetour(peer string, took time.Duration, err error) {
	d.Metrics.Detours.WithLabelValues(outcomeLabel(err)).Inc()
	if err != nil {
		d.Log.Emit(zplog.DetourFailed, zplog.Fields{"through": peer, "took_ms": took.Milliseconds(), "error": err.Error()})
		return
	}
	d.Metrics.DetourSeconds.Observe(took.Seconds())
}
