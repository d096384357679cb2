package zpapp

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

// catalogs applies configurations, from the store or from other daemons. It is safe for
// concurrent use.
type catalogs struct {
	daemon *GatewayDaemon

	mu        sync.Mutex
	object    zpobject.Object // of the configuration in use
	isFetched bool            // a newer configuration is being fetched from another daemon
}

// peerCatalogDelay is the time in which the store should report a configuration that
// another daemon uses already. After it, the configuration is read from that daemon: the
// store may be out of reach. It is well below the time in which a change must apply.
const peerCatalogDelay = 800 * time.Millisecond

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

// learnVersion learns the version that another daemon uses. If it is newer and the store
// does not report it, the configuration is read from that daemon.
func (c *catalogs) learnVersion(address string, version int64) {
	if version <= c.daemon.catalogVersion() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isFetched {
		c.isFetched = true
		time.AfterFunc(peerCatalogDelay, func() { c.fetch(address, version) })
	}
}

func (c *catalogs) fetch(address string, version int64) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isFetched = false
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

func (d *GatewayDaemon) catalogVersion() int64 {
	if c := d.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}
