package zpapp

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

type (
	// caches follow the engines and stores of KV cache that fall to this daemon. A
	// rendezvous hash over the daemons that answer gives each holder one follower;
	// two at a time do no harm.
	caches struct {
		daemon *GatewayDaemon
		source zpparts.Source

		mu     sync.Mutex
		active map[string]*following
	}

	following struct {
		address string
		isStore bool
		cancel  context.CancelFunc
		state   zpparts.Store
	}
)

const (
	// followPause is the pause between looks at who follows what.
	followPause = 500 * time.Millisecond
	// followDelay is the time after the start in which daemons find each other.
	followDelay = 600 * time.Millisecond
)

func newCaches(d *GatewayDaemon) *caches {
	return &caches{daemon: d, source: &zpplatform.CacheSource{Sender: d.sender}, active: map[string]*following{}}
}

func (c *caches) run(ctx context.Context) {
	pause := followDelay
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = followPause
		c.assign(ctx)
	}
}

// assign starts and ends followers, so that this daemon follows its share.
func (c *caches) assign(ctx context.Context) {
	wanted := c.wanted()
	c.mu.Lock()
	defer c.mu.Unlock()
	for holder, f := range c.active {
		if w, ok := wanted[holder]; !ok || w.address != f.address {
			f.cancel()
			delete(c.active, holder)
		}
	}
	for holder, w := range wanted {
		if _, ok := c.active[holder]; !ok {
			c.follow(ctx, holder, w)
		}
	}
}

// wanted returns the holders that fall to this daemon.
func (c *caches) wanted() map[string]*following {
	out := map[string]*following{}
	catalog := c.daemon.catalog.Load()
	if catalog == nil || c.daemon.leaving.Load() {
		return out
	}
	names := []string{c.daemon.self.Name}
	for name := range c.daemon.sharer.Alive() {
		names = append(names, name)
	}
	add := func(holder, address string, isStore bool) {
		if zpplace.First(holder, names) == c.daemon.self.Name {
			out[holder] = &following{address: address, isStore: isStore}
		}
	}
	for _, p := range catalog.Pools {
		if p.CacheStore != nil {
			add(p.Name, p.CacheStore.Address, true)
		}
		if p.Engine != nil {
			for _, e := range c.daemon.registry.Serving(p.Name, zpclock.Now()) {
				add(e.ID, e.Address, false)
			}
		}
	}
	return out
}

func (c *caches) follow(ctx context.Context, holder string, w *following) {
	ctx, w.cancel = context.WithCancel(ctx)
	c.active[holder] = w
	f := &zpparts.Follower{
		Holder: holder, Address: w.address, IsStore: w.isStore, Source: c.source,
		Apply: c.apply,
		Report: func(free, parts, retired int) {
			c.daemon.Log.Emit(zplog.StoreState, zplog.Fields{"store": holder, "free": free, "parts": parts, "retired": retired})
		},
		State:   func(s zpparts.Store) { c.setState(w, s) },
		IsStale: c.daemon.gateway.IsStalePart, Clock: zpclock.Now,
	}
	go f.Run(ctx)
}

// apply takes over what a holder has or has lost, and tells the owners of the
// parts.
func (c *caches) apply(holder string, changes []zpparts.Change, reset bool) {
	parts := c.daemon.gateway.Parts
	if reset {
		parts.Forget(holder)
		c.daemon.sharer.Add(zpshare.Message{Reset: []string{holder}})
	}
	for _, change := range changes {
		parts.Apply(change)
	}
	for address, owned := range c.daemon.answering.ownersOfParts().Group(changes, c.daemon.self.Name) {
		c.daemon.sharer.AddTo(address, zpshare.Message{Parts: owned})
	}
}

// setState tells the other daemons the state of a store that is followed here.
func (c *caches) setState(w *following, s zpparts.Store) {
	c.mu.Lock()
	w.state = s
	c.mu.Unlock()
	c.daemon.setStore(s, zpclock.Now())
	c.daemon.sharer.Add(zpshare.Message{Stores: []zpparts.Store{s}})
}

// states returns the states of the stores that are followed here.
func (c *caches) states() []zpparts.Store {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []zpparts.Store
	for _, f := range c.active {
		if f.isStore && f.state.Name != "" {
			out = append(out, f.state)
		}
	}
	return out
}
