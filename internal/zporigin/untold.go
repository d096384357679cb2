package zporigin

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

type (
	// untold holds the origins of streams that began at this daemon and that no other one has
	// confirmed yet, a limited number of them. The zero value is empty. It is safe for
	// concurrent use.
	untold struct {
		mu      sync.Mutex
		entries *lru.Cache[string, *untoldOrigin] // by request, oldest first
	}

	untoldOrigin struct {
		origin   Origin
		at       time.Time
		isNeeded bool // others must know it although its pool has one version
		tries    int
		nextAt   time.Time
	}
)

const (
	// firstRetry and maxRetry bound the interval after which an origin is told to another daemon.
	firstRetry = 200 * time.Millisecond
	maxRetry   = time.Second
	// maxToldAgain bounds the daemons that are told again at the same time.
	maxToldAgain = 8
	// handOverPause is the pause between two attempts to hand over to daemons that fail at once.
	handOverPause = 20 * time.Millisecond
)

// TellAgain tells other daemons of streams that began here and that no other one has confirmed:
// if this daemon dies, nobody else can tell where they began. It must be called regularly.
func (d *Directory) TellAgain(ctx context.Context) {
	now := d.Clock()
	d.untold.mu.Lock()
	var due []*untoldOrigin
	for _, x := range d.untold.list(now) {
		if !now.Before(x.nextAt) && (x.isNeeded || d.Pools.IsMixed(x.origin.Pool)) {
			due = append(due, x)
		}
	}
	batches := d.batch(due, maxToldAgain, now)
	d.untold.mu.Unlock()
	d.tellAll(ctx, batches)
}

// HandOver tells other daemons of all streams that began here and that no other one has
// confirmed, until there is none left or ctx ends.
func (d *Directory) HandOver(ctx context.Context) {
	for ctx.Err() == nil {
		now := d.Clock()
		d.untold.mu.Lock()
		batches := d.batch(d.untold.list(now), len(d.Others()), now)
		d.untold.mu.Unlock()
		if len(batches) == 0 {
			return
		}
		d.tellAll(ctx, batches)
		select {
		case <-time.After(handOverPause):
		case <-ctx.Done():
		}
	}
}

// batch returns the origins that are to be told to each of several daemons, by address, the
// next in rank for each origin. d.untold.mu must be held.
func (d *Directory) batch(list []*untoldOrigin, maxAddresses int, now time.Time) map[string][]Origin {
	out := map[string][]Origin{}
	for _, x := range list {
		candidates := d.successors(x.origin.Request)
		if len(candidates) == 0 {
			continue
		}
		address := candidates[x.tries%len(candidates)].PeerAddress
		if _, ok := out[address]; !ok && len(out) >= maxAddresses {
			continue
		}
		out[address] = append(out[address], x.origin)
		x.nextAt = now.Add(min(firstRetry<<min(x.tries, 10), maxRetry))
		x.tries++
	}
	return out
}

func (d *Directory) tellAll(ctx context.Context, batches map[string][]Origin) {
	var calls sync.WaitGroup
	for address, list := range batches {
		calls.Go(func() {
			isConfirmed := d.publish(ctx, address, list)
			d.Log.Emit(zplog.OriginsToldAgain, zplog.Fields{"address": address, "streams": len(list), "confirmed": isConfirmed})
		})
	}
	calls.Wait()
}

// successors returns the daemons that may be told of a request's stream, in the order in which
// they are: its keepers, those of this region first, and others that are asked for it.
func (d *Directory) successors(request string) []zpassign.Member {
	var out []zpassign.Member
	add := func(list []zpassign.Member) {
		for _, m := range list {
			if m.Name != d.Self.Name && !isNamed(out, m.Name) {
				out = append(out, m)
			}
		}
	}
	keepers := d.keepers(request)
	add(slices.DeleteFunc(slices.Clone(keepers), func(m zpassign.Member) bool { return m.Region != d.Self.Region }))
	add(keepers)
	add(d.keepersToAsk(request))
	if others := d.Others(); len(others) <= maxAskedAll {
		add(others)
	}
	return out
}

// add adds the origin of a stream that begins here. It is due when its keepers have had the
// time to confirm it.
func (u *untold) add(o Origin, isNeeded bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.entries == nil {
		u.entries = newCache[*untoldOrigin](nil)
	}
	if !u.entries.Contains(o.Request) {
		u.entries.Add(o.Request, &untoldOrigin{origin: o, at: now, isNeeded: isNeeded, nextAt: now.Add(askTimeout)})
	}
}

// confirm removes origins that another daemon has confirmed.
func (u *untold) confirm(list []Origin) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.entries == nil {
		return
	}
	for _, o := range list {
		u.entries.Remove(o.Request)
	}
}

// list returns the origins that count still, and removes the others; u.mu must be held.
func (u *untold) list(now time.Time) []*untoldOrigin {
	if u.entries == nil {
		return nil
	}
	var out []*untoldOrigin
	for _, x := range u.entries.Values() {
		if now.Sub(x.at) >= Retention {
			u.entries.Remove(x.origin.Request)
			continue
		}
		out = append(out, x)
	}
	return out
}
