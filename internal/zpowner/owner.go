// Package zpowner runs the ledgers of the endpoints that this daemon owns: it
// answers quotes and reservations, reads the endpoints' reports, and counts
// what a former owner left running.
package zpowner

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporder"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	// Reporter reads an endpoint's load report.
	Reporter interface {
		Report(ctx context.Context, e zpmanifest.Endpoint) (zpadmission.Report, error)
	}

	// Orderer sends orders to engines.
	Orderer interface {
		Order(ctx context.Context, e zpmanifest.Endpoint, o zporder.Order) error
	}

	// HeldBy asks one member which reservations it holds on some endpoints.
	HeldBy func(ctx context.Context, address string, endpoints []string) ([]zpadmission.Holding, error)

	// Owner holds the ledgers. Set the exported fields before Run.
	Owner struct {
		StartDeadline time.Duration
		ReportEvery   time.Duration
		QueueLimit    int
		Reporter      Reporter
		Orderer       Orderer
		HeldBy        HeldBy
		Fleet         Fleet
		Log           *zplog.Logger
		Clock         func() time.Time

		mu     sync.Mutex
		desks  map[string]*desk
		upkeep sync.WaitGroup
	}

	// Fleet is what the owner needs to know of the fleet.
	Fleet interface {
		// Assigned returns the endpoints of the partitions assigned to this
		// daemon, with the epoch of each partition.
		Assigned() map[string]Assignment
		// HoldsLease reports whether this daemon may act as an owner at now.
		HoldsLease(now time.Time) bool
		// Peers returns the instances that may hold reservations, this daemon
		// included, with their addresses.
		Peers() map[string]string
	}

	// Assignment is one endpoint assigned to this daemon.
	Assignment struct {
		Endpoint zpmanifest.Endpoint
		Epoch    int64
		Version  string // weight version that new requests use; "" for a plain service
		First    bool   // no daemon owned the partition before
	}

	// desk is one endpoint's ledger with the requests that wait on it.
	desk struct {
		endpoint  zpmanifest.Endpoint
		ledger    *zpadmission.Ledger
		waiting   map[string]chan zpadmission.Decision // askers that are present
		detached  map[string]time.Time                 // askers that should ask again, since when
		counting  bool
		takenAt   time.Time
		answered  map[string]bool // peers that have reported what they hold
		reporting bool
		version   string // desired
		orders    zporder.Keeper
	}
)

const (
	tick           = 20 * time.Millisecond
	reconcileEvery = 2 * time.Second
	reconcileAge   = 5 * time.Second
	detachedLimit  = time.Second
	orderSettle    = 500 * time.Millisecond
)

// Run keeps the ledgers until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.mu.Lock()
	o.desks = map[string]*desk{}
	o.mu.Unlock()
	o.upkeep.Go(func() { o.runUpkeep(ctx) })
	step := time.NewTicker(tick)
	report := time.NewTicker(o.ReportEvery)
	defer step.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			o.refuseAll()
			o.upkeep.Wait()
			return
		case <-step.C:
			o.Sync(o.Clock())
			o.advanceAll(o.Clock())
		case <-report.C:
			o.readReports(ctx)
		}
	}
}

// runUpkeep makes the calls to peers, which may be slow, beside the main loop.
func (o *Owner) runUpkeep(ctx context.Context) {
	count := time.NewTicker(o.ReportEvery)
	reconcile := time.NewTicker(reconcileEvery)
	defer count.Stop()
	defer reconcile.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-count.C:
			o.countAll(ctx)
		case <-reconcile.C:
			o.reconcileAll(ctx)
		}
	}
}

// Sync opens desks for newly assigned endpoints and closes those of endpoints
// that went to another owner.
func (o *Owner) Sync(now time.Time) {
	assigned := o.Fleet.Assigned()
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, d := range o.desks {
		a, ok := assigned[name]
		if !ok || a.Epoch != d.ledger.Epoch {
			o.close(d)
			delete(o.desks, name)
			continue
		}
		d.endpoint, d.version = a.Endpoint, a.Version
		d.ledger.Slots, d.ledger.ColdSlots = a.Endpoint.Slots, a.Endpoint.ColdSlots
	}
	for name, a := range assigned {
		if o.desks[name] == nil {
			o.desks[name] = o.open(a, now)
		}
	}
}

// Quote describes the load of the named endpoints that this daemon owns.
func (o *Owner) Quote(names []string, now time.Time) map[string]zpadmission.Quote {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]zpadmission.Quote{}
	for _, name := range names {
		if d := o.desks[name]; d != nil {
			out[name] = d.ledger.Quote(o.authority(d, now), now)
		}
	}
	return out
}

// Reserve waits up to slice for a decision. A request that is still undecided
// then keeps its place for a while; the asker asks again with the same id.
func (o *Owner) Reserve(ctx context.Context, endpoint string, r zpadmission.Request, slice time.Duration) zpadmission.Decision {
	answer, d, ok := o.ask(endpoint, r)
	if !ok {
		return d
	}
	timer := time.NewTimer(slice)
	defer timer.Stop()
	select {
	case decision := <-answer:
		return decision
	case <-timer.C:
		return o.detach(endpoint, r.ID, answer)
	case <-ctx.Done():
		o.cancel(endpoint, r.ID)
		return zpadmission.Decision{ID: r.ID, Code: zpadmission.CodeExpired}
	}
}

// Release ends a reservation.
func (o *Owner) Release(endpoint string, r zpadmission.Result) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.desks[endpoint]
	if d == nil {
		return
	}
	before := d.ledger.Phase()
	if d.ledger.Waits(r.ID) {
		d.forget(r.ID, now)
	} else {
		d.ledger.End(r, now)
	}
	o.notePhase(d, before)
	o.advance(d, now)
}

// Phases returns the phase of each owned endpoint.
func (o *Owner) Phases() map[string]zpadmission.Phase {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]zpadmission.Phase{}
	for name, d := range o.desks {
		out[name] = d.ledger.Phase()
	}
	return out
}

func (o *Owner) ask(endpoint string, r zpadmission.Request) (chan zpadmission.Decision, zpadmission.Decision, bool) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.desks[endpoint]
	if d == nil || !o.Fleet.HoldsLease(now) {
		return nil, zpadmission.Decision{ID: r.ID, Code: zpadmission.CodeNotOwner}, false
	}
	if !d.ledger.Waits(r.ID) {
		if decision, queued := d.ledger.Ask(r, now); !queued {
			return nil, decision, false
		}
	}
	answer := make(chan zpadmission.Decision, 1)
	d.waiting[r.ID] = answer
	delete(d.detached, r.ID)
	o.advance(d, now)
	return answer, zpadmission.Decision{}, true
}

func (o *Owner) cancel(endpoint, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.desks[endpoint]
	if d == nil {
		return
	}
	d.forget(id, o.Clock())
}

// detach ends one call of an asker that will ask again. A decision that came
// in the meantime is returned instead.
func (o *Owner) detach(endpoint, id string, answer chan zpadmission.Decision) zpadmission.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case decision := <-answer:
		return decision
	default:
	}
	if d := o.desks[endpoint]; d != nil && d.waiting[id] == answer {
		delete(d.waiting, id)
		d.detached[id] = o.Clock()
	}
	return zpadmission.Decision{ID: id, Queued: true}
}

// forget drops a request that waits, or ends its reservation.
func (d *desk) forget(id string, now time.Time) {
	delete(d.waiting, id)
	delete(d.detached, id)
	d.ledger.Cancel(id, now)
}

func (o *Owner) open(a Assignment, now time.Time) *desk {
	return &desk{
		endpoint: a.Endpoint,
		ledger:   zpadmission.NewLedger(a.Endpoint.Slots, a.Endpoint.ColdSlots, o.QueueLimit, a.Epoch),
		waiting:  map[string]chan zpadmission.Decision{},
		detached: map[string]time.Time{},
		counting: !a.First,
		takenAt:  now,
		answered: map[string]bool{},
		version:  a.Version,
		orders:   zporder.Keeper{Epoch: a.Epoch, Settle: orderSettle},
	}
}

func (o *Owner) close(d *desk) {
	deliver(d, d.ledger.RefuseAll(zpadmission.CodeNotOwner))
}

func (o *Owner) refuseAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.desks {
		o.close(d)
	}
}

func (o *Owner) authority(d *desk, now time.Time) zpadmission.Authority {
	switch {
	case !o.Fleet.HoldsLease(now):
		return zpadmission.AuthorityNone
	case d.counting:
		return zpadmission.AuthorityCounting
	default:
		return zpadmission.AuthorityFull
	}
}

func (o *Owner) advanceAll(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.desks {
		o.advance(d, now)
	}
}

func (o *Owner) advance(d *desk, now time.Time) {
	for id, since := range d.detached {
		if now.Sub(since) > detachedLimit {
			d.forget(id, now)
		}
	}
	present := func(id string) bool { return d.waiting[id] != nil }
	deliver(d, d.ledger.Next(o.authority(d, now), present, now))
}

func (o *Owner) notePhase(d *desk, before zpadmission.Phase) {
	after := d.ledger.Phase()
	if after == before || o.Log == nil {
		return
	}
	fields := zplog.Fields{"endpoint": d.endpoint.Name}
	switch after {
	case zpadmission.PhaseSuspect:
		o.Log.Emit(zplog.EndpointSuspect, fields)
	case zpadmission.PhaseWarm:
		o.Log.Emit(zplog.EndpointWarm, fields)
	}
}

func deliver(d *desk, decisions []zpadmission.Decision) {
	for _, decision := range decisions {
		if answer := d.waiting[decision.ID]; answer != nil {
			answer <- decision
			delete(d.waiting, decision.ID)
		}
	}
}
