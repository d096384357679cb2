package zpgateway

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpbrittle"
	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

// recordBrittle records that an endpoint falls over when it refuses too much. That holds for
// its whole pool, as the others get the requests of one that fell over.
func (g *Gateway) recordBrittle(endpoint, source string, n Notice) {
	if !n.IsBrittle {
		return
	}
	e, ok := g.Registry.Find(endpoint)
	if !ok {
		return
	}
	if g.Brittle.Record(e.Pool, n.MaxRefusals, g.Clock()) {
		g.Log.Emit(zplog.EndpointsBrittle, zplog.Fields{
			"pool": e.Pool, "endpoint": endpoint, "source": source, "max_refusals": n.MaxRefusals, "daemons": len(g.Daemons()),
		})
	}
}

// recordRefusal counts a refusal of a brittle endpoint, for all daemons.
func (g *Gateway) recordRefusal(pool, endpoint string) {
	now := g.Clock()
	if !g.Brittle.IsBrittle(pool, now) {
		return
	}
	g.Brittle.RecordRefusal(endpoint, now)
	time.AfterFunc(zpbrittle.Window, g.Usage.Begin(zpusage.RefusedKey(endpoint), 0, 0).End)
}

// mayTry reports whether a request may be sent to an endpoint although it might be refused,
// and records that it is.
func (g *Gateway) mayTry(p *zpcatalog.Pool, c choice, now time.Time) bool {
	if !g.Brittle.IsBrittle(p.Name, now) {
		return true
	}
	if c.candidate.Cold && !g.Cold.MayAllow(c.endpoint.ID, p.ColdRequestsPerSecond, g.Daemons(), now) {
		return false
	}
	id, refused := c.endpoint.ID, zpusage.RefusedKey(c.endpoint.ID)
	ok := g.Brittle.Allow(zpbrittle.Send{
		Pool: p.Name, Endpoint: id, Slots: c.endpoint.Slots,
		Own: g.Usage.OwnOf(id).Requests, Total: max(g.Usage.Total(id, now).Requests, c.candidate.Use.Requests),
		OtherRefusals: g.Usage.Total(refused, now).Requests - g.Usage.OwnOf(refused).Requests,
		Daemons:       g.Daemons(),
	}, now)
	if !ok {
		g.Metrics.BrittleHeld.WithLabelValues(p.Name).Inc()
	}
	return ok
}
