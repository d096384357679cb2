// Package zpowner manages the admission ledgers of the endpoints that this
// daemon owns. It answers quotes and reservations, reads the endpoints' load
// reports, sends orders to engines, and recovers the reservations that a former
// owner granted.
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

	// HoldingsFunc asks the member at an address which reservations it holds on
	// the given endpoints.
	HoldingsFunc func(ctx context.Context, address string, endpoints []string) ([]zpadmission.Holding, error)

	// Owner holds the ledgers of the owned endpoints. Set the exported fields
	// before Run.
	Owner struct {
		StartDeadline  time.Duration // time after which a reservation that was not started expires
		ReportInterval time.Duration // interval of reading reports
		QueueLimit     int           // of each endpoint's queue
		Reporter       Reporter
		Orderer        Orderer
		FetchHoldings  HoldingsFunc
		Fleet          Fleet
		Log            *zplog.Logger
		Clock          func() time.Time

		mu         sync.Mutex
		endpoints  map[string]*endpointState
		background sync.WaitGroup
	}

	// Fleet provides the assignments, the lease and the members of the fleet.
	Fleet interface {
		// Assigned returns the endpoints of the partitions assigned to this
		// daemon, with the epoch of each partition.
		Assigned() map[string]Assignment
		// HoldsLease reports whether this daemon's lease is valid at now, so
		// that it may act as an owner.
		HoldsLease(now time.Time) bool
		// Peers returns the instances that may hold reservations, this daemon
		// included, with their addresses.
		Peers() map[string]string
	}

	// Assignment is one endpoint assigned to this daemon.
	Assignment struct {
		Endpoint   zpmanifest.Endpoint
		Epoch      int64
		Version    string // weight version that new requests use; "" for a plain service
		FirstOwner bool   // no daemon owned the partition before
	}

	// endpointState is the ledger of one owned endpoint with the calls that wait
	// for its decisions.
	endpointState struct {
		endpoint       zpmanifest.Endpoint
		ledger         *zpadmission.Ledger
		pending        map[string]chan zpadmission.Decision // open Reserve calls by request id
		detachedSince  map[string]time.Time                 // queued requests without an open call, by id
		recovering     bool                                 // reservations of the former owner may be missing
		acquiredAt     time.Time
		reportedPeers  map[string]bool // instances that have reported the reservations they hold
		reportPending  bool            // a load report is being read
		desiredVersion string
		orders         zporder.Reconciler
	}
)

const (
	advanceInterval   = 20 * time.Millisecond
	reconcileInterval = 2 * time.Second

	// reconcileMinAge is the age from which reservations are compared with
	// their holders.
	reconcileMinAge = 5 * time.Second

	// detachedTimeout is how long a request stays queued while its requester
	// has no open call.
	detachedTimeout = time.Second

	// orderSettleTime is how long an order may take until reports show it.
	orderSettleTime = 500 * time.Millisecond
)

// Run updates the ledgers until ctx ends, then refuses all queued requests.
func (o *Owner) Run(ctx context.Context) {
	o.mu.Lock()
	o.endpoints = map[string]*endpointState{}
	o.mu.Unlock()
	o.background.Go(func() { o.runPeerCalls(ctx) })
	advanceTicker := time.NewTicker(advanceInterval)
	reportTicker := time.NewTicker(o.ReportInterval)
	defer advanceTicker.Stop()
	defer reportTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			o.refuseAllPending()
			o.background.Wait()
			return
		case <-advanceTicker.C:
			o.Sync(o.Clock())
			o.advanceAll(o.Clock())
		case <-reportTicker.C:
			o.readReports(ctx)
		}
	}
}

// runPeerCalls makes the calls to peers. It runs in its own goroutine, because
// slow peers must not delay the main loop.
func (o *Owner) runPeerCalls(ctx context.Context) {
	recoverTicker := time.NewTicker(o.ReportInterval)
	reconcileTicker := time.NewTicker(reconcileInterval)
	defer recoverTicker.Stop()
	defer reconcileTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-recoverTicker.C:
			o.recoverReservations(ctx)
		case <-reconcileTicker.C:
			o.reconcileReservations(ctx)
		}
	}
}

// Sync adds the state of newly assigned endpoints and removes that of endpoints
// which are no longer assigned, or are assigned under another epoch.
func (o *Owner) Sync(now time.Time) {
	assigned := o.Fleet.Assigned()
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, s := range o.endpoints {
		a, ok := assigned[name]
		if !ok || a.Epoch != s.ledger.Epoch {
			o.refusePending(s)
			delete(o.endpoints, name)
			continue
		}
		s.endpoint, s.desiredVersion = a.Endpoint, a.Version
		s.ledger.Slots, s.ledger.ColdSlots = a.Endpoint.Slots, a.Endpoint.ColdSlots
	}
	for name, a := range assigned {
		if o.endpoints[name] == nil {
			o.endpoints[name] = o.newEndpointState(a, now)
		}
	}
}

// Quote returns the load of those of the named endpoints that this daemon owns.
func (o *Owner) Quote(names []string, now time.Time) map[string]zpadmission.Quote {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]zpadmission.Quote{}
	for _, name := range names {
		if s := o.endpoints[name]; s != nil {
			out[name] = s.ledger.Quote(o.authority(s, now), now)
		}
	}
	return out
}

// Reserve waits for a decision until the timeout. A request that is still
// undecided then keeps its place in the queue for detachedTimeout. The requester
// should call again with the same id within that time.
func (o *Owner) Reserve(ctx context.Context, endpoint string, r zpadmission.Request, timeout time.Duration) zpadmission.Decision {
	answer, refusal, ok := o.enqueue(endpoint, r)
	if !ok {
		return refusal
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case decision := <-answer:
		return decision
	case <-timer.C:
		return o.detach(endpoint, r.ID, answer)
	case <-ctx.Done():
		o.cancel(endpoint, r.ID, answer)
		return zpadmission.Decision{ID: r.ID, Code: zpadmission.CodeExpired}
	}
}

// Release ends a reservation, or removes its request from the queue.
func (o *Owner) Release(endpoint string, r zpadmission.Result) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.endpoints[endpoint]
	if s == nil {
		return
	}
	before := s.ledger.Phase()
	if s.ledger.IsQueued(r.ID) {
		s.drop(r.ID, now)
	} else {
		s.ledger.End(r, now)
	}
	o.logPhaseChange(s, before)
	o.advance(s, now)
}

// Phases returns the phase of each owned endpoint.
func (o *Owner) Phases() map[string]zpadmission.Phase {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]zpadmission.Phase{}
	for name, s := range o.endpoints {
		out[name] = s.ledger.Phase()
	}
	return out
}

// enqueue adds a request to the queue of an endpoint, unless it is queued
// already. It returns the channel that receives the decision, or a refusal and
// false.
func (o *Owner) enqueue(endpoint string, r zpadmission.Request) (chan zpadmission.Decision, zpadmission.Decision, bool) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.endpoints[endpoint]
	if s == nil || !o.Fleet.HoldsLease(now) {
		return nil, zpadmission.Decision{ID: r.ID, Code: zpadmission.CodeNotOwner}, false
	}
	if !s.ledger.IsQueued(r.ID) {
		if decision, queued := s.ledger.Enqueue(r, now); !queued {
			return nil, decision, false
		}
	}
	answer := make(chan zpadmission.Decision, 1)
	s.pending[r.ID] = answer
	delete(s.detachedSince, r.ID)
	o.advance(s, now)
	return answer, zpadmission.Decision{}, true
}

// cancel drops a request whose call was canceled, unless a newer call waits for the same
// request.
func (o *Owner) cancel(endpoint, id string, answer chan zpadmission.Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.endpoints[endpoint]
	if s == nil {
		return
	}
	if newer, waits := s.pending[id]; waits && newer != answer {
		return
	}
	s.drop(id, o.Clock())
}

// detach ends a call whose request stays queued. A decision that was delivered
// in the meantime is returned instead.
func (o *Owner) detach(endpoint, id string, answer chan zpadmission.Decision) zpadmission.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case decision := <-answer:
		return decision
	default:
	}
	if s := o.endpoints[endpoint]; s != nil && s.pending[id] == answer {
		delete(s.pending, id)
		s.detachedSince[id] = o.Clock()
	}
	return zpadmission.Decision{ID: id, Queued: true}
}

// drop removes a request from the queue, or ends its reservation.
func (s *endpointState) drop(id string, now time.Time) {
	delete(s.pending, id)
	delete(s.detachedSince, id)
	s.ledger.Cancel(id, now)
}

func (o *Owner) newEndpointState(a Assignment, now time.Time) *endpointState {
	return &endpointState{
		endpoint:       a.Endpoint,
		ledger:         zpadmission.NewLedger(a.Endpoint.Slots, a.Endpoint.ColdSlots, o.QueueLimit, a.Epoch),
		pending:        map[string]chan zpadmission.Decision{},
		detachedSince:  map[string]time.Time{},
		recovering:     !a.FirstOwner,
		acquiredAt:     now,
		reportedPeers:  map[string]bool{},
		desiredVersion: a.Version,
		orders:         zporder.Reconciler{Epoch: a.Epoch, ReportDelay: orderSettleTime},
	}
}

func (o *Owner) refusePending(s *endpointState) {
	deliver(s, s.ledger.RefuseAll(zpadmission.CodeNotOwner))
}

func (o *Owner) refuseAllPending() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.endpoints {
		o.refusePending(s)
	}
}

func (o *Owner) authority(s *endpointState, now time.Time) zpadmission.Authority {
	switch {
	case !o.Fleet.HoldsLease(now):
		return zpadmission.AuthorityNone
	case s.recovering:
		return zpadmission.AuthorityRecovering
	default:
		return zpadmission.AuthorityFull
	}
}

func (o *Owner) advanceAll(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.endpoints {
		o.advance(s, now)
	}
}

// advance drops requests whose requesters have not called again in time, and
// delivers the decisions that are due.
func (o *Owner) advance(s *endpointState, now time.Time) {
	for id, since := range s.detachedSince {
		if now.Sub(since) > detachedTimeout {
			s.drop(id, now)
		}
	}
	hasCall := func(id string) bool { return s.pending[id] != nil }
	deliver(s, s.ledger.Decide(o.authority(s, now), hasCall, now))
}

func (o *Owner) logPhaseChange(s *endpointState, before zpadmission.Phase) {
	after := s.ledger.Phase()
	if after == before || o.Log == nil {
		return
	}
	fields := zplog.Fields{"endpoint": s.endpoint.Name}
	switch after {
	case zpadmission.PhaseSuspect:
		o.Log.Emit(zplog.EndpointSuspect, fields)
	case zpadmission.PhaseWarm:
		o.Log.Emit(zplog.EndpointWarm, fields)
	}
}

func deliver(s *endpointState, decisions []zpadmission.Decision) {
	for _, decision := range decisions {
		if answer := s.pending[decision.ID]; answer != nil {
			answer <- decision
			delete(s.pending, decision.ID)
		}
	}
}
