package zpapp

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclock"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	zpplatform "github.com/zinniapaddle/zinniapaddle/platform"
)

type (
	// cacheFollowers runs the followers of the holders that are assigned to this
	// daemon. A holder is an engine or a KV cache store that has cached prompt parts;
	// a follower reads the cache events of one holder. A rendezvous hash over the
	// live daemons gives each holder one follower; having two for a short time is
	// harmless.
	cacheFollowers struct {
		daemon *GatewayDaemon
		memory *zpengine.Memory // for what engines and stores answer

		mu     sync.Mutex
		active map[string]*followedHolder
	}

	followedHolder struct {
		address string
		isStore bool
		cancel  context.CancelFunc
		state   zpparts.Store
	}
)

const (
	// assignInterval is the time between reassignments of followers.
	assignInterval = 500 * time.Millisecond
	// firstAssignDelay is the time after the start for daemons to discover each other.
	firstAssignDelay = 600 * time.Millisecond
)

func newCacheFollowers(d *GatewayDaemon) *cacheFollowers {
	return &cacheFollowers{daemon: d, memory: zpengine.NewMemory(zpplatform.QueryMemoryBytes), active: map[string]*followedHolder{}}
}

func (c *cacheFollowers) run(ctx context.Context) {
	pause := firstAssignDelay
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = assignInterval
		c.assign(ctx)
	}
}

// assign starts and stops followers to match the holders assigned to this daemon.
func (c *cacheFollowers) assign(ctx context.Context) {
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

// wanted returns the holders assigned to this daemon.
func (c *cacheFollowers) wanted() map[string]*followedHolder {
	out := map[string]*followedHolder{}
	catalog := c.daemon.catalog.Load()
	if catalog == nil || c.daemon.leaving.Load() {
		return out
	}
	names := []string{c.daemon.self.Name}
	for name := range c.daemon.alive() {
		names = append(names, name)
	}
	add := func(holder, address string, isStore bool) {
		if zpplace.RendezvousFirst(holder, names) == c.daemon.self.Name {
			out[holder] = &followedHolder{address: address, isStore: isStore}
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

func (c *cacheFollowers) follow(ctx context.Context, holder string, w *followedHolder) {
	ctx, w.cancel = context.WithCancel(ctx)
	c.active[holder] = w
	f := &zpparts.Follower{
		Holder: holder, Address: w.address, IsStore: w.isStore,
		Source: &zpplatform.CacheSource{Sender: c.daemon.sender, Memory: c.memory, Holder: holder, Notice: c.daemon.gateway.RecordNotice},
		Apply:  c.apply,
		Report: func(free, parts, staleParts int) {
			c.daemon.Log.Emit(zplog.StoreState, zplog.Fields{"store": holder, "free": free, "parts": parts, "retired": staleParts})
		},
		State:   func(s zpparts.Store) { c.setState(w, s) },
		IsStale: c.daemon.gateway.IsStalePart, Clock: zpclock.Now,
	}
	go f.Run(ctx)
}

// apply records the parts that a holder has gained or lost and sends the changes
// to the owners of the parts.
func (c *cacheFollowers) apply(holder string, changes []zpparts.Change, reset bool) {
	parts := c.daemon.gateway.Parts
	if reset {
		parts.Forget(holder)
		c.daemon.sharer.Add(zpshare.Message{ResetHolders: []string{holder}})
	}
	for _, change := range changes {
		parts.Apply(change)
	}
	for address, owned := range c.daemon.live.partOwners().Group(changes, c.daemon.self.Name) {
		c.daemon.sharer.AddTo(address, zpshare.Message{Parts: owned})
	}
}

// setState records the state of a store followed by this daemon and sends it to
// the other daemons.
func (c *cacheFollowers) setState(w *followedHolder, s zpparts.Store) {
	c.mu.Lock()
	w.state = s
	c.mu.Unlock()
	c.daemon.setStore(s, zpclock.Now())
	c.daemon.sharer.Add(zpshare.Message{Stores: []zpparts.Store{s}})
}

// states returns the known states of the stores followed by this daemon.
func (c *cacheFollowers) states() []zpparts.Store {
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
