package zpowner

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporder"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// readReports starts reading the load report of each owned endpoint, except
// those for which the last read has not ended.
func (o *Owner) readReports(ctx context.Context) {
	for _, e := range o.startReportReads() {
		o.background.Go(func() {
			r, err := o.Reporter.Report(ctx, e)
			o.applyReport(e.Name, r, err)
			if err == nil {
				o.sendOrder(ctx, e, r)
			}
		})
	}
}

// startReportReads marks reports as being read and returns their endpoints.
func (o *Owner) startReportReads() []zpmanifest.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []zpmanifest.Endpoint
	for _, s := range o.endpoints {
		if !s.reportPending {
			s.reportPending = true
			out = append(out, s.endpoint)
		}
	}
	return out
}

func (o *Owner) applyReport(name string, r zpadmission.Report, err error) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.endpoints[name]
	if s == nil {
		return
	}
	s.reportPending = false
	before := s.ledger.Phase()
	if err != nil {
		s.ledger.ReportFailed(now)
	} else {
		if s.recovering {
			s.ledger.ExpectUntracked(r.Running, now)
		}
		s.ledger.Report(r)
	}
	o.logPhaseChange(s, before)
	o.advance(s, now)
}

// sendOrder sends the order that the engine needs, if any. If an order is
// refused or lost, the next reports show it, and the order is sent again.
func (o *Owner) sendOrder(ctx context.Context, e zpmanifest.Endpoint, r zpadmission.Report) {
	now := o.Clock()
	o.mu.Lock()
	s := o.endpoints[e.Name]
	if s == nil || !o.Fleet.HoldsLease(now) {
		o.mu.Unlock()
		return
	}
	order, due := s.orders.Next(s.desiredVersion, zporder.Reported{Version: r.Version, AsOf: r.AsOf}, now)
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

// recoverReservations asks all peers which reservations they hold on endpoints
// that this daemon has taken over. It does so only when StartDeadline has passed
// since the takeover, because every reservation of the former owner has started
// or expired by then.
func (o *Owner) recoverReservations(ctx context.Context) {
	now := o.Clock()
	due := o.recoverableEndpoints(now)
	if len(due) == 0 {
		return
	}
	peers := o.Fleet.Peers()
	for instance, address := range peers {
		names := o.endpointsNotReportedBy(due, instance)
		if len(names) == 0 {
			continue
		}
		held, err := o.FetchHoldings(ctx, address, names)
		if err == nil {
			o.adoptHoldings(instance, names, held)
		}
	}
	o.finishRecovery(due, peers)
}

func (o *Owner) recoverableEndpoints(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for name, s := range o.endpoints {
		if s.recovering && now.Sub(s.acquiredAt) > o.StartDeadline {
			out = append(out, name)
		}
	}
	return out
}

func (o *Owner) endpointsNotReportedBy(due []string, instance string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, name := range due {
		if s := o.endpoints[name]; s != nil && !s.reportedPeers[instance] {
			out = append(out, name)
		}
	}
	return out
}

// adoptHoldings adds the reservations that an instance holds to the ledgers of
// the named endpoints.
func (o *Owner) adoptHoldings(instance string, names []string, held []zpadmission.Holding) {
	now := o.Clock()
	byEndpoint := map[string][]zpadmission.Holding{}
	for _, h := range held {
		byEndpoint[h.Endpoint] = append(byEndpoint[h.Endpoint], h)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		if s := o.endpoints[name]; s != nil {
			s.ledger.Adopt(byEndpoint[name], now)
			s.reportedPeers[instance] = true
		}
	}
}

// finishRecovery ends the recovery of endpoints for which every peer has
// answered. Requests started by members that have gone stay counted as foreign
// until the endpoint reports that they have ended.
func (o *Owner) finishRecovery(due []string, peers map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range due {
		s := o.endpoints[name]
		if s == nil || !s.recovering {
			continue
		}
		complete := true
		for instance := range peers {
			complete = complete && s.reportedPeers[instance]
		}
		s.recovering = !complete
	}
}

// reconcileReservations compares reservations older than reconcileMinAge with
// those that their holders report. Otherwise a lost release would occupy a slot
// forever.
func (o *Owner) reconcileReservations(ctx context.Context) {
	askedAt := o.Clock()
	holders := o.holdersOfOldReservations(askedAt.Add(-reconcileMinAge))
	peers := o.Fleet.Peers()
	for holder, names := range holders {
		address, present := peers[holder]
		if !present {
			o.markHolderGone(holder, names)
			continue
		}
		held, err := o.FetchHoldings(ctx, address, names)
		if err == nil {
			o.reconcileHolder(holder, names, held, askedAt)
		}
	}
}

func (o *Owner) holdersOfOldReservations(before time.Time) map[string][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]string{}
	for name, s := range o.endpoints {
		for holder := range s.ledger.HoldersBefore(before) {
			out[holder] = append(out[holder], name)
		}
	}
	return out
}

// markHolderGone makes the ledgers count the reservations of a holder that has
// gone as foreign.
func (o *Owner) markHolderGone(holder string, names []string) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		if s := o.endpoints[name]; s != nil {
			s.ledger.DropHolder(holder, now)
		}
	}
}

func (o *Owner) reconcileHolder(holder string, names []string, held []zpadmission.Holding, askedAt time.Time) {
	now := o.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		s := o.endpoints[name]
		if s == nil {
			continue
		}
		var holdings []zpadmission.Holding
		for _, h := range held {
			if h.Endpoint == name {
				holdings = append(holdings, h)
			}
		}
		s.ledger.Reconcile(holder, holdings, askedAt.Add(-reconcileMinAge), now)
	}
}
