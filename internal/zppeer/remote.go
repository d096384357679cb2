package zppeer

import (
	"context"
	"errors"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpfleet"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zplink"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// RemoteService implements Service by calling another daemon.
type RemoteService struct {
	Dialer  *Dialer
	Address string
	Self    string
}

// claimExtraTimeout is added to the timeout of claim and settle calls, which wait
// for the platform.
const claimExtraTimeout = 6 * time.Second

// Compare requests the configuration changes after revision.
func (r *RemoteService) Compare(ctx context.Context, instance string, revision int64, askPromise bool) (zpfleet.Comparison, error) {
	in := &zppeerpb.CompareRequest{Instance: instance, Revision: revision, AskPromise: askPromise}
	out, err := Do(ctx, r.Dialer, r.Address, "compare", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.CompareReply, error) {
			return c.Compare(ctx, in)
		})
	if err != nil {
		return zpfleet.Comparison{}, err
	}
	d := zpconfig.Delta{Revision: out.Revision, Age: decodeMilliseconds(out.AgeMs)}
	for _, o := range out.Objects {
		d.Objects = append(d.Objects, zpobject.Object{Name: o.Name, Revision: o.Revision, Body: o.Body, Deleted: o.Deleted})
	}
	return zpfleet.Comparison{Instance: out.Instance, Delta: d, Promised: out.Promised}, nil
}

// Quote requests the current load of endpoints.
func (r *RemoteService) Quote(ctx context.Context, endpoints []string) (map[string]zpadmission.Quote, error) {
	in := &zppeerpb.QuoteRequest{Endpoints: endpoints}
	out, err := Do(ctx, r.Dialer, r.Address, "quote", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.QuoteReply, error) {
			return c.Quote(ctx, in)
		})
	if err != nil {
		return nil, err
	}
	quotes := map[string]zpadmission.Quote{}
	for _, q := range out.Quotes {
		quotes[q.Endpoint] = zpadmission.Quote{
			Limit: int(q.Limit), Running: int(q.Running),
			WaitingUrgent: int(q.WaitingUrgent), WaitingOther: int(q.WaitingOther),
			Service: decodeMilliseconds(q.ServiceMs), Cold: q.Cold, Backlog: decodeMilliseconds(q.BacklogMs),
		}
	}
	return quotes, nil
}

// Reserve requests a slot on an endpoint and waits for it up to slice.
func (r *RemoteService) Reserve(ctx context.Context, endpoint string, q zpadmission.Request, slice time.Duration) (zpadmission.Decision, error) {
	in := &zppeerpb.ReserveRequest{
		Id: q.ID, Endpoint: endpoint, Holder: q.Holder, Workspace: q.Workspace, Weight: int32(q.Weight),
		Urgent: q.Urgent, Cost: q.Cost, MaxWaitMs: q.MaxWait.Milliseconds(), SliceMs: slice.Milliseconds(),
		Alone: q.Exclusive, PrefillMs: q.Prefill.Milliseconds(),
	}
	out, err := Do(ctx, r.Dialer, r.Address, "reserve", slice,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.ReserveReply, error) {
			return c.Reserve(ctx, in)
		})
	if err != nil {
		return zpadmission.Decision{}, err
	}
	return zpadmission.Decision{
		ID: q.ID, Granted: out.Granted, Queued: out.Queued, Code: out.Code,
		RetryAfter: decodeMilliseconds(out.RetryAfterMs), Epoch: out.Epoch, Boot: out.Boot,
	}, nil
}

// Release ends a reservation and reports its result.
func (r *RemoteService) Release(ctx context.Context, endpoint string, q zpadmission.Result) error {
	in := &zppeerpb.ReleaseRequest{
		Id: q.ID, Endpoint: endpoint, Outcome: int32(q.Outcome), Boot: q.Boot,
		FirstTokenMs: q.FirstToken.Milliseconds(), TotalMs: q.Total.Milliseconds(),
	}
	_, err := Do(ctx, r.Dialer, r.Address, "release", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.ReleaseReply, error) {
			return c.Release(ctx, in)
		})
	return err
}

// Held returns the reservations on the endpoints that the daemon has started.
func (r *RemoteService) Held(ctx context.Context, endpoints []string) ([]zpadmission.Holding, error) {
	in := &zppeerpb.HeldRequest{Endpoints: endpoints}
	out, err := Do(ctx, r.Dialer, r.Address, "held", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.HeldReply, error) {
			return c.Held(ctx, in)
		})
	if err != nil {
		return nil, err
	}
	held := make([]zpadmission.Holding, 0, len(out.Held))
	for _, h := range out.Held {
		held = append(held, zpadmission.Holding{ID: h.Id, Endpoint: h.Endpoint, Holder: out.Instance})
	}
	return held, nil
}

// Locate returns hints about where the cache blocks of a conversation are stored.
func (r *RemoteService) Locate(ctx context.Context, key zphint.Key) ([]zphint.Hint, error) {
	requestedAt := time.Now()
	in := &zppeerpb.LocateRequest{Key: key[:]}
	out, err := Do(ctx, r.Dialer, r.Address, "locate", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.LocateReply, error) {
			return c.Locate(ctx, in)
		})
	if err != nil {
		return nil, err
	}
	hints := make([]zphint.Hint, 0, len(out.Hints))
	for _, h := range out.Hints {
		hints = append(hints, decodeHint(h, requestedAt))
	}
	return hints, nil
}

// Record adds a hint about where the cache blocks of a conversation are stored,
// or removes it.
func (r *RemoteService) Record(ctx context.Context, key zphint.Key, h zphint.Hint, remove bool) error {
	in := &zppeerpb.RecordRequest{Key: key[:], Hint: encodeHint(h, h.RecordedAt), Remove: remove}
	_, err := Do(ctx, r.Dialer, r.Address, "record", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.RecordReply, error) {
			return c.Record(ctx, in)
		})
	return err
}

// Claim asks the writer of a claim shard for the right to run a request.
func (r *RemoteService) Claim(ctx context.Context, shard int, a zpclaim.AcquireRequest) (zpclaim.Decision, error) {
	in := &zppeerpb.ClaimRequest{Shard: int32(shard), Key: a.Key, Token: a.Token, Holder: a.Holder, BodyHash: a.BodyHash}
	out, err := Do(ctx, r.Dialer, r.Address, "claim", claimExtraTimeout,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.ClaimReply, error) {
			return c.Claim(ctx, in)
		})
	if err != nil {
		return zpclaim.Decision{}, err
	}
	if out.Error != "" {
		return zpclaim.Decision{}, zpclaim.ErrNotConfirmed.WithCause(errors.New(out.Error))
	}
	return zpclaim.Decision{Result: zpclaim.Result(out.Result), Claim: zpclaim.Claim{
		State: zpclaim.State(out.State), Holder: out.Holder, Status: int(out.Status),
		ContentType: out.ContentType, Answer: out.Answer,
	}}, nil
}

// Settle records how a claimed request ended.
func (r *RemoteService) Settle(ctx context.Context, shard int, s zpclaim.Settlement) error {
	in := &zppeerpb.SettleRequest{
		Shard: int32(shard), Key: s.Key, Token: s.Token, State: string(s.State),
		Status: int32(s.Status), ContentType: s.ContentType, Answer: s.Answer,
	}
	out, err := Do(ctx, r.Dialer, r.Address, "settle", claimExtraTimeout,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.SettleReply, error) {
			return c.Settle(ctx, in)
		})
	if err == nil && out.Error != "" {
		err = zpclaim.ErrNotConfirmed.WithCause(errors.New(out.Error))
	}
	return err
}

// Suspect reports crashes during which a request with this fingerprint was
// running.
func (r *RemoteService) Suspect(ctx context.Context, fingerprint string, crashes []string) error {
	in := &zppeerpb.SuspectRequest{Fingerprint: fingerprint, Crashes: crashes}
	_, err := Do(ctx, r.Dialer, r.Address, "suspect", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.SuspectReply, error) {
			return c.Suspect(ctx, in)
		})
	return err
}

// StartFlight reports whether a request whose fingerprint has not completed before
// may run now.
func (r *RemoteService) StartFlight(ctx context.Context, fingerprint, id string) (bool, error) {
	in := &zppeerpb.StartFlightRequest{Fingerprint: fingerprint, Id: id}
	out, err := Do(ctx, r.Dialer, r.Address, "start_flight", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.StartFlightReply, error) {
			return c.StartFlight(ctx, in)
		})
	return out.GetMayRun(), err
}

// EndFlight reports that a request has ended, and whether it completed.
func (r *RemoteService) EndFlight(ctx context.Context, fingerprint, id string, whole bool) error {
	in := &zppeerpb.EndFlightRequest{Fingerprint: fingerprint, Id: id, Whole: whole}
	_, err := Do(ctx, r.Dialer, r.Address, "end_flight", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.EndFlightReply, error) {
			return c.EndFlight(ctx, in)
		})
	return err
}

// GrantBytes requests a transfer budget from the owner of a link.
func (r *RemoteService) GrantBytes(ctx context.Context, link string, bytes int64, urgent bool) (zplink.Grant, error) {
	in := &zppeerpb.GrantBytesRequest{Link: link, Bytes: bytes, Urgent: urgent}
	out, err := Do(ctx, r.Dialer, r.Address, "grant_bytes", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.GrantBytesReply, error) {
			return c.GrantBytes(ctx, in)
		})
	if err != nil {
		return zplink.Grant{}, err
	}
	return zplink.Grant{Bytes: out.Bytes, RetryAfter: decodeMilliseconds(out.RetryAfterMs)}, nil
}

// Status returns the status of the daemon.
func (r *RemoteService) Status(ctx context.Context) (Status, error) {
	out, err := Do(ctx, r.Dialer, r.Address, "status", 0,
		func(ctx context.Context, c zppeerpb.DRPCPeerClient) (*zppeerpb.StatusReply, error) {
			return c.Status(ctx, &zppeerpb.StatusRequest{})
		})
	if err != nil {
		return Status{}, err
	}
	return Status{
		Instance: out.Instance, Domain: out.FailureDomain, Region: out.Region,
		ManifestVersion: out.ManifestVersion, Age: decodeMilliseconds(out.AgeMs), Mode: out.Mode,
		OpenRequests: out.OpenRequests, Partitions: int(out.Partitions), LeaseValid: out.LeaseValid,
	}, nil
}

func decodeMilliseconds(n int64) time.Duration {
	if n > int64(maxAge/time.Millisecond) {
		return maxAge
	}
	return time.Duration(n) * time.Millisecond
}

// maxAge caps durations read from the wire: the value that stands for "never"
// would overflow time.Duration.
const maxAge = 365 * 24 * time.Hour

func decodeHint(h *zppeerpb.Hint, now time.Time) zphint.Hint {
	return zphint.Hint{
		Holder: h.GetPlace(), Kind: zphint.Kind(h.GetKind()), Blocks: int(h.GetBlocks()),
		Generation: h.GetGeneration(), RecordedAt: now.Add(-decodeMilliseconds(h.GetAgeMs())),
	}
}

func encodeHint(h zphint.Hint, now time.Time) *zppeerpb.Hint {
	return &zppeerpb.Hint{
		Place: h.Holder, Kind: int32(h.Kind), Blocks: int32(h.Blocks),
		Generation: h.Generation, AgeMs: now.Sub(h.RecordedAt).Milliseconds(),
	}
}
