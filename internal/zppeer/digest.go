package zppeer

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

// ReportLoad implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) ReportLoad(_ context.Context, in *zppeerpb.LoadReport) (*zppeerpb.LoadDigest, error) {
	d := h.Digest(zpdigest.Report{Name: in.Name, Instance: in.Instance, Uses: decodeUses(in.Uses), Speeds: decodeSpeeds(in.Speeds), KnownAlive: in.KnownAlive})
	version, confirmed, age := h.catalogState()
	return &zppeerpb.LoadDigest{
		Uses: encodeUses(d.Uses), Alive: d.Alive, AliveUnchanged: d.AliveUnchanged, Incomplete: d.Incomplete, Targets: encodeTargets(h.Targets()),
		CatalogVersion: version, CatalogConfirmed: confirmed, CatalogAgeMs: age.Milliseconds(), Speeds: encodeSpeeds(d.Speeds),
	}, nil
}

// ExchangeSums implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) ExchangeSums(_ context.Context, in *zppeerpb.LoadSum) (*zppeerpb.LoadSum, error) {
	return encodeSum(h.MergeSum(decodeSum(in))), nil
}

// ReportLoad sends the load of this daemon to the relay at address. It returns the load of
// the other daemons, and what the relay knows of weights and configuration.
func ReportLoad(ctx context.Context, d *Dialer, address string, r zpdigest.Report) (zpdigest.Digest, zpshare.Reply, error) {
	in := &zppeerpb.LoadReport{Name: r.Name, Instance: r.Instance, Uses: encodeUses(r.Uses), Speeds: encodeSpeeds(r.Speeds), KnownAlive: r.KnownAlive}
	out, err := doWithConn(ctx, d, address, "report_load", 0, func(ctx context.Context, conn Conn) (*zppeerpb.LoadDigest, error) {
		return zppeerpb.NewDRPCSharingClient(conn).ReportLoad(ctx, in)
	})
	if err != nil {
		return zpdigest.Digest{}, zpshare.Reply{}, err
	}
	digest := zpdigest.Digest{Uses: decodeUses(out.Uses), Speeds: decodeSpeeds(out.Speeds), Alive: out.Alive, AliveUnchanged: out.AliveUnchanged, Incomplete: out.Incomplete}
	return digest, zpshare.Reply{Targets: decodeTargets(out.Targets), CatalogVersion: out.CatalogVersion, CatalogConfirmed: out.CatalogConfirmed, CatalogAge: milliseconds(out.CatalogAgeMs)}, nil
}

// ExchangeSums sends the sum of this relay to the relay at address and returns its sum.
func ExchangeSums(ctx context.Context, d *Dialer, address string, s zpdigest.Sum) (zpdigest.Sum, error) {
	in := encodeSum(s)
	out, err := doWithConn(ctx, d, address, "exchange_sums", 0, func(ctx context.Context, conn Conn) (*zppeerpb.LoadSum, error) {
		return zppeerpb.NewDRPCSharingClient(conn).ExchangeSums(ctx, in)
	})
	if err != nil {
		return zpdigest.Sum{}, err
	}
	return decodeSum(out), nil
}

func encodeSum(s zpdigest.Sum) *zppeerpb.LoadSum {
	return &zppeerpb.LoadSum{Relay: s.Relay, FailureDomain: s.Domain, Members: s.Members, Uses: encodeUses(s.Uses), Speeds: encodeSpeeds(s.Speeds)}
}

func decodeSum(in *zppeerpb.LoadSum) zpdigest.Sum {
	return zpdigest.Sum{Relay: in.Relay, Domain: in.FailureDomain, Members: in.Members, Uses: decodeUses(in.Uses), Speeds: decodeSpeeds(in.Speeds)}
}

func encodeUses(uses map[string]zpusage.Usage) []*zppeerpb.SharedUse {
	out := make([]*zppeerpb.SharedUse, 0, len(uses))
	for endpoint, u := range uses {
		out = append(out, &zppeerpb.SharedUse{
			Endpoint: endpoint, Requests: int64(u.Requests), PrefillTokens: int64(u.PrefillTokens), MemoryTokens: int64(u.MemoryTokens),
		})
	}
	return out
}

func decodeUses(list []*zppeerpb.SharedUse) map[string]zpusage.Usage {
	out := make(map[string]zpusage.Usage, len(list))
	for _, u := range list {
		out[u.Endpoint] = zpusage.Usage{Requests: int(u.Requests), PrefillTokens: int(u.PrefillTokens), MemoryTokens: int(u.MemoryTokens)}
	}
	return out
}

func encodeSpeeds(reports []zpspeed.Report) []*zppeerpb.SharedSpeed {
	var out []*zppeerpb.SharedSpeed
	for _, r := range reports {
		out = append(out, &zppeerpb.SharedSpeed{Endpoint: r.Endpoint, StartedAtMs: r.StartedAtMS, Percent: int64(r.Percent), AgeMs: r.Age.Milliseconds()})
	}
	return out
}

func decodeSpeeds(list []*zppeerpb.SharedSpeed) []zpspeed.Report {
	var out []zpspeed.Report
	for _, r := range list {
		out = append(out, zpspeed.Report{Endpoint: r.Endpoint, StartedAtMS: r.StartedAtMs, Percent: int(r.Percent), Age: milliseconds(r.AgeMs)})
	}
	return out
}

func encodeTargets(targets []zprollout.Target) []*zppeerpb.SharedTarget {
	var out []*zppeerpb.SharedTarget
	for _, t := range targets {
		out = append(out, &zppeerpb.SharedTarget{Model: t.Model, Version: t.Version, AgeMs: t.Age.Milliseconds(), Estimated: t.Estimated})
	}
	return out
}

func decodeTargets(list []*zppeerpb.SharedTarget) []zprollout.Target {
	var out []zprollout.Target
	for _, t := range list {
		out = append(out, zprollout.Target{Model: t.Model, Version: t.Version, Age: time.Duration(t.AgeMs) * time.Millisecond, Estimated: t.Estimated})
	}
	return out
}
