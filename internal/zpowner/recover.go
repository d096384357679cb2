package zpowner

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporder"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// readReports starts a read of each owned endpoint's report that is not still
// being read.
func (o *Owner) readReports(ctx context.Context) {
	for _, e := range o.startReports() {
		o.upkeep.Go(func() {
			r, err := o.Reporter.Report(ctx, e)
			o.takeReport(e.Name, r, err)
			if err == nil {
				o.giveOrder(ctx, e, r)
			}
		})
	}
}

func (o *Owner) startReports() []zpmanifest.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []zpmanifest.Endpoint
	for _, d := range o.desks {
		if !d.reporting {
			d.reporting = true
			out = append(out, d.endpoint)
		}
	}
	return out
}

func (o *Owner) takeReport(name string, r zpadmission.Report, err error) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.desks[name]
	if d == nil {
		return
	}
	d.reporting = false
	before := d.ledger.Phase()
	if err != nil {
		d.ledger.Unreachable(now)
	} else {
		if d.counting {
			d.ledger.ExpectForeign(r.Running, now)
		}
		d.ledger.Report(r)
	}
	o.notePhase(d, before)
	o.advance(d, now)
}

// giveOrder sends the order that the engine needs, if any. A refused or lost
// order shows in the next report, and is given again.
func (o *Owner) giveOrder(ctx context.Context, e zpmanifest.Endpoint, r zpadmission.Report) {
	now := o.Clock()
	o.mu.Lock()
	d := o.desks[e.Name]
	if d == nil || !o.Fleet.HoldsLease(now) {
		o.mu.Unlock()
		return
	}
	order, due := d.orders.Next(d.version, zporder.Seen{Version: r.Version, AsOf: r.AsOf}, now)
	o.mu.Unlock()
	if !due {
		return
	}
	err := o.Orderer.Order(ctx, e, order)
	fields := zplog.Fields{"endpoint": e.Name, "version": order.Version, "epoch": order.Epoch}
	if err != nil {
		fields["error"] = err.Error()
	}
	o.Log.Emit(zplog.OrderGiven, fields)
}

// countAll asks peers what they hold of endpoints that were taken over, once
// every reservation of the former owner has started or lapsed.
func (o *Owner) countAll(ctx context.Context) {
	now := o.Clock()
	due := o.countingDesks(now)
	if len(due) == 0 {
		return
	}
	peers := o.Fleet.Peers()
	for instance, address := range peers {
		names := o.unanswered(due, instance)
		if len(names) == 0 {
			continue
		}
		held, err := o.HeldBy(ctx, address, names)
		if err == nil {
			o.adopt(instance, names, held)
		}
	}
	o.finishCounting(due, peers)
}

func (o *Owner) countingDesks(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, d := range o.desks {
		if d.counting && now.Sub(d.takenAt) > o.StartDeadline {
			out = append(out, name)
		}
	}
	return out
}

func (o *Owner) unanswered(due []string, instance string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, name := range due {
		if d := o.desks[name]; d != nil && !d.answered[instance] {
			out = append(out, name)
		}
	}
	return out
}

func (o *Owner) adopt(instance string, names []string, held []zpadmission.Holding) {
	now := o.Clock()
	byEndpoint := map[string][]zpadmission.Holding{}
	for _, h := range held {
		byEndpoint[h.Endpoint] = append(byEndpoint[h.Endpoint], h)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		if d := o.desks[name]; d != nil {
			d.ledger.Adopt(byEndpoint[name], now)
			d.answered[instance] = true
		}
	}
}

// finishCounting ends the counting of endpoints for which every present peer
// has answered. What gone peers left running stays counted as foreign until
// the endpoint reports it ended.
func (o *Owner) finishCounting(due []string, peers map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range due {
		d := o.desks[name]
		if d == nil || !d.counting {
			continue
		}
		complete := true
		for instance := range peers {
			complete = complete && d.answered[instance]
		}
		d.counting = !complete
	}
}

// reconcileAll compares old reservations with what their holders say, so that
// a lost release does not hold a slot for ever.
func (o *Owner) reconcileAll(ctx context.Context) {
	asked := o.Clock()
	old := o.oldHolders(asked.Add(-reconcileAge))
	peers := o.Fleet.Peers()
	for holder, names := range old {
		address, present := peers[holder]
		if !present {
			o.holderGone(holder, names)
			continue
		}
		held, err := o.HeldBy(ctx, address, names)
		if err == nil {
			o.reconcile(holder, names, held, asked)
		}
	}
}

func (o *Owner) oldHolders(before time.Time) map[string][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]string{}
	for name, d := range o.desks {
		for holder := range d.ledger.Oldest(before) {
			out[holder] = append(out[holder], name)
		}
	}
	return out
}

func (o *Owner) holderGone(holder string, names []string) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		if d := o.desks[name]; d != nil {
			d.ledger.HolderGone(holder, now)
		}
	}
}

func (o *Owner) reconcile(holder string, names []string, held []zpadmission.Holding, asked time.Time) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		d := o.desks[name]
		if d == nil {
			continue
		}
		var mine []zpadmission.Holding
		for _, h := range held {
			if h.Endpoint == name {
				mine = append(mine, h)
			}
		}
		d.ledger.Reconcile(holder, mine, asked.Add(-reconcileAge), now)
	}
}
