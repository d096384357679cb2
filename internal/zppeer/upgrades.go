package zppeer

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
)

func encodeReports(reports []zpupgrade.Report) []*zppeerpb.SharedUpgrade {
	var out []*zppeerpb.SharedUpgrade
	for _, r := range reports {
		x := &zppeerpb.SharedUpgrade{
			Pool: r.Pool, Order: r.Order, AgeMs: r.Age.Milliseconds(), Sent: r.Sent, SentNew: r.SentNew, OldRunning: r.OldRunning,
			Switched: r.Switched, Stopped: r.Stopped,
		}
		for _, y := range r.Routes {
			x.Tallies = append(x.Tallies, encodeTally(y.Route, false, y.Old), encodeTally(y.Route, true, y.New))
		}
		out = append(out, x)
	}
	return out
}

func decodeReports(instance string, list []*zppeerpb.SharedUpgrade) []zpupgrade.Report {
	var out []zpupgrade.Report
	for _, x := range list {
		r := zpupgrade.Report{
			Instance: instance, Pool: x.Pool, Order: x.Order, Age: milliseconds(x.AgeMs), Sent: x.Sent, SentNew: x.SentNew,
			OldRunning: x.OldRunning, Switched: x.Switched, Stopped: x.Stopped,
		}
		for _, y := range x.Tallies {
			r.Routes = addTally(r.Routes, y)
		}
		out = append(out, r)
	}
	return out
}

func encodeTally(route string, isNew bool, t zpupgrade.Tally) *zppeerpb.SharedTally {
	out := &zppeerpb.SharedTally{Route: route, New: isNew, Answers: t.Answers, Bad: t.Bad, TimeMs: t.Time.Milliseconds()}
	if t.Speeds != (zpupgrade.Speeds{}) {
		out.Speeds = t.Speeds[:]
	}
	if t.Paces != (zpupgrade.Speeds{}) {
		out.Paces = t.Paces[:]
	}
	return out
}

func addTally(routes []zpupgrade.RouteTally, x *zppeerpb.SharedTally) []zpupgrade.RouteTally {
	if n := len(routes); n == 0 || routes[n-1].Route != x.Route {
		routes = append(routes, zpupgrade.RouteTally{Route: x.Route})
	}
	t := zpupgrade.Tally{Answers: x.Answers, Bad: x.Bad, Time: milliseconds(x.TimeMs)}
	copy(t.Speeds[:], x.Speeds)
	copy(t.Paces[:], x.Paces)
	if last := &routes[len(routes)-1]; x.New {
		last.New = t
	} else {
		last.Old = t
	}
	return routes
}

func encodeDecisions(decisions []zpupgrade.Decision) []*zppeerpb.SharedUpgrade {
	var out []*zppeerpb.SharedUpgrade
	for _, d := range decisions {
		x := &zppeerpb.SharedUpgrade{
			Pool: d.Pool, Order: d.Order, AgeMs: d.Age.Milliseconds(), State: int32(d.State), Reason: d.Reason, Share: d.Share, Focus: d.Focus,
			HasSwitch: d.HasSwitch, SwitchInMs: d.SwitchIn.Milliseconds(), LeadMs: map[string]int64{},
		}
		for route, lead := range d.Leads {
			x.LeadMs[route] = lead.Milliseconds()
		}
		out = append(out, x)
	}
	return out
}

func decodeDecisions(list []*zppeerpb.SharedUpgrade) []zpupgrade.Decision {
	var out []zpupgrade.Decision
	for _, x := range list {
		if x.State < int32(zpupgrade.StateNone) || x.State > int32(zpupgrade.StateRolledBack) {
			continue // of a newer daemon
		}
		d := zpupgrade.Decision{
			Pool: x.Pool, Order: x.Order, Age: milliseconds(x.AgeMs), State: zpupgrade.State(x.State), Reason: x.Reason, Share: x.Share, Focus: x.Focus,
			HasSwitch: x.HasSwitch, SwitchIn: milliseconds(x.SwitchInMs), Leads: map[string]time.Duration{},
		}
		for route, lead := range x.LeadMs {
			d.Leads[route] = milliseconds(lead)
		}
		out = append(out, d)
	}
	return out
}
