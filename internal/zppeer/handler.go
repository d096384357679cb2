package zppeer

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// Handler serves the peer RPCs of other daemons with a Service.
type Handler struct {
	Service Service
	Clock   func() time.Time
}

var errKeyLength = zperror.New(zperror.KindInvalid, "bad_hint_key",
	"the key of a hint has the wrong length", "run the same version of zinniapaddle everywhere")

// Compare implements zppeerpb.DRPCPeerServer.
func (h *Handler) Compare(ctx context.Context, in *zppeerpb.CompareRequest) (*zppeerpb.CompareReply, error) {
	c, err := h.Service.Compare(ctx, in.Instance, in.Revision, in.AskPromise)
	if err != nil {
		return nil, err
	}
	out := &zppeerpb.CompareReply{
		Instance: c.Instance, Revision: c.Delta.Revision,
		AgeMs: ceilMilliseconds(c.Delta.Age), Promised: c.Promised,
	}
	for _, o := range c.Delta.Objects {
		out.Objects = append(out.Objects, &zppeerpb.RelayObject{
			Name: o.Name, Revision: o.Revision, Body: o.Body, Deleted: o.Deleted,
		})
	}
	return out, nil
}

// Quote implements zppeerpb.DRPCPeerServer.
func (h *Handler) Quote(ctx context.Context, in *zppeerpb.QuoteRequest) (*zppeerpb.QuoteReply, error) {
	quotes, err := h.Service.Quote(ctx, in.Endpoints)
	if err != nil {
		return nil, err
	}
	out := &zppeerpb.QuoteReply{}
	for name, q := range quotes {
		out.Quotes = append(out.Quotes, &zppeerpb.Quote{
			Endpoint: name, Limit: int32(q.Limit), Running: int32(q.Running),
			WaitingUrgent: int32(q.WaitingUrgent), WaitingOther: int32(q.WaitingOther),
			ServiceMs: q.Service.Milliseconds(), Cold: q.Cold, BacklogMs: q.Backlog.Milliseconds(),
		})
	}
	return out, nil
}

// Reserve implements zppeerpb.DRPCPeerServer.
func (h *Handler) Reserve(ctx context.Context, in *zppeerpb.ReserveRequest) (*zppeerpb.ReserveReply, error) {
	d, err := h.Service.Reserve(ctx, in.Endpoint, zpadmission.Request{
		ID: in.Id, Holder: in.Holder, Workspace: in.Workspace, Weight: int(in.Weight), Urgent: in.Urgent,
		Cost: in.Cost, MaxWait: decodeMilliseconds(in.MaxWaitMs), Exclusive: in.Alone,
		Prefill: decodeMilliseconds(in.PrefillMs),
	}, decodeMilliseconds(in.SliceMs))
	if err != nil {
		return nil, err
	}
	return &zppeerpb.ReserveReply{
		Granted: d.Granted, Queued: d.Queued, Code: d.Code, Epoch: d.Epoch,
		RetryAfterMs: d.RetryAfter.Milliseconds(), Boot: d.Boot,
	}, nil
}

// Release implements zppeerpb.DRPCPeerServer.
func (h *Handler) Release(ctx context.Context, in *zppeerpb.ReleaseRequest) (*zppeerpb.ReleaseReply, error) {
	err := h.Service.Release(ctx, in.Endpoint, zpadmission.Result{
		ID: in.Id, Outcome: zpadmission.Outcome(in.Outcome), Boot: in.Boot,
		FirstToken: decodeMilliseconds(in.FirstTokenMs), Total: decodeMilliseconds(in.TotalMs),
	})
	return &zppeerpb.ReleaseReply{}, err
}

// Held implements zppeerpb.DRPCPeerServer.
func (h *Handler) Held(ctx context.Context, in *zppeerpb.HeldRequest) (*zppeerpb.HeldReply, error) {
	held, err := h.Service.Held(ctx, in.Endpoints)
	if err != nil {
		return nil, err
	}
	out := &zppeerpb.HeldReply{}
	for _, x := range held {
		out.Instance = x.Holder
		out.Held = append(out.Held, &zppeerpb.Held{Id: x.ID, Endpoint: x.Endpoint})
	}
	return out, nil
}

// Locate implements zppeerpb.DRPCPeerServer.
func (h *Handler) Locate(ctx context.Context, in *zppeerpb.LocateRequest) (*zppeerpb.LocateReply, error) {
	key, err := decodeHintKey(in.Key)
	if err != nil {
		return nil, err
	}
	hints, err := h.Service.Locate(ctx, key)
	if err != nil {
		return nil, err
	}
	out := &zppeerpb.LocateReply{}
	now := h.Clock()
	for _, hint := range hints {
		out.Hints = append(out.Hints, encodeHint(hint, now))
	}
	return out, nil
}

// Record implements zppeerpb.DRPCPeerServer.
func (h *Handler) Record(ctx context.Context, in *zppeerpb.RecordRequest) (*zppeerpb.RecordReply, error) {
	key, err := decodeHintKey(in.Key)
	if err != nil {
		return nil, err
	}
	return &zppeerpb.RecordReply{}, h.Service.Record(ctx, key, decodeHint(in.Hint, h.Clock()), in.Remove)
}

// Claim implements zppeerpb.DRPCPeerServer.
func (h *Handler) Claim(ctx context.Context, in *zppeerpb.ClaimRequest) (*zppeerpb.ClaimReply, error) {
	v, err := h.Service.Claim(ctx, int(in.Shard), zpclaim.AcquireRequest{
		Key: in.Key, Token: in.Token, Holder: in.Holder, BodyHash: in.BodyHash,
	})
	if err != nil {
		return &zppeerpb.ClaimReply{Error: err.Error()}, nil
	}
	return &zppeerpb.ClaimReply{
		Result: string(v.Result), State: string(v.Claim.State), Holder: v.Claim.Holder,
		Status: int32(v.Claim.Status), ContentType: v.Claim.ContentType, Answer: v.Claim.Answer,
	}, nil
}

// Settle implements zppeerpb.DRPCPeerServer.
func (h *Handler) Settle(ctx context.Context, in *zppeerpb.SettleRequest) (*zppeerpb.SettleReply, error) {
	err := h.Service.Settle(ctx, int(in.Shard), zpclaim.Settlement{
		Key: in.Key, Token: in.Token, State: zpclaim.State(in.State),
		Status: int(in.Status), ContentType: in.ContentType, Answer: in.Answer,
	})
	if err != nil {
		return &zppeerpb.SettleReply{Error: err.Error()}, nil
	}
	return &zppeerpb.SettleReply{}, nil
}

// Suspect implements zppeerpb.DRPCPeerServer.
func (h *Handler) Suspect(ctx context.Context, in *zppeerpb.SuspectRequest) (*zppeerpb.SuspectReply, error) {
	return &zppeerpb.SuspectReply{}, h.Service.Suspect(ctx, in.Fingerprint, in.Crashes)
}

// StartFlight implements zppeerpb.DRPCPeerServer.
func (h *Handler) StartFlight(ctx context.Context, in *zppeerpb.StartFlightRequest) (*zppeerpb.StartFlightReply, error) {
	mayRun, err := h.Service.StartFlight(ctx, in.Fingerprint, in.Id)
	return &zppeerpb.StartFlightReply{MayRun: mayRun}, err
}

// EndFlight implements zppeerpb.DRPCPeerServer.
func (h *Handler) EndFlight(ctx context.Context, in *zppeerpb.EndFlightRequest) (*zppeerpb.EndFlightReply, error) {
	return &zppeerpb.EndFlightReply{}, h.Service.EndFlight(ctx, in.Fingerprint, in.Id, in.Whole)
}

// GrantBytes implements zppeerpb.DRPCPeerServer.
func (h *Handler) GrantBytes(ctx context.Context, in *zppeerpb.GrantBytesRequest) (*zppeerpb.GrantBytesReply, error) {
	g, err := h.Service.GrantBytes(ctx, in.Link, in.Bytes, in.Urgent)
	if err != nil {
		return nil, err
	}
	return &zppeerpb.GrantBytesReply{Bytes: g.Bytes, RetryAfterMs: g.RetryAfter.Milliseconds()}, nil
}

// Status implements zppeerpb.DRPCPeerServer.
func (h *Handler) Status(ctx context.Context, _ *zppeerpb.StatusRequest) (*zppeerpb.StatusReply, error) {
	s, err := h.Service.Status(ctx)
	if err != nil {
		return nil, err
	}
	return &zppeerpb.StatusReply{
		Instance: s.Instance, FailureDomain: s.Domain, Region: s.Region, ManifestVersion: s.ManifestVersion,
		AgeMs: ceilMilliseconds(s.Age), Mode: s.Mode, OpenRequests: s.OpenRequests,
		Partitions: int32(s.Partitions), LeaseValid: s.LeaseValid,
	}, nil
}

// ceilMilliseconds converts d to milliseconds, rounded up, so that the receiver
// never sees a configuration as fresher than it is.
func ceilMilliseconds(d time.Duration) int64 {
	ms := d.Milliseconds()
	if time.Duration(ms)*time.Millisecond < d {
		ms++
	}
	return ms
}

func decodeHintKey(raw []byte) (zphint.Key, error) {
	var key zphint.Key
	if len(raw) != len(key) {
		return key, errKeyLength
	}
	copy(key[:], raw)
	return key, nil
}
