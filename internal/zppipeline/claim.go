package zppipeline

import (
	"context"
	"fmt"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
)

// claimAttempt is an attempt to claim an idempotency key.
type claimAttempt struct {
	shard   int
	request zpclaim.AcquireRequest
}

func (p *Pipeline) newClaimAttempt(j *Job) claimAttempt {
	key := zpclaim.Key(j.Workspace.Name, j.Pool.Name, j.Service.IdempotencyKey)
	return claimAttempt{
		shard: zpclaim.ShardOf(key, j.Manifest.ClaimShards),
		request: zpclaim.AcquireRequest{
			Key: key, Token: p.NewID(), Holder: p.Fleet.Self.Instance,
			BodyHash: zpclaim.BodyHash(j.Service.Method, j.Service.Path, j.Service.Body),
		},
	}
}

// claim requests the claim from the daemon that writes the shard. If that daemon
// does not respond, it writes the claim itself. Both writes carry the same token,
// so that at most one attempt is granted, whichever write takes effect.
func (p *Pipeline) claim(ctx context.Context, c claimAttempt) (zpclaim.Decision, error) {
	ctx, span := p.Tracer.Start(ctx, "claim")
	defer span.End()
	v, err := p.shardWriter(c.shard).Claim(ctx, c.shard, c.request)
	if err == nil || ctx.Err() != nil {
		return v, err
	}
	return p.Exchange.Local.Claim(ctx, c.shard, c.request)
}

// settleClaim records the result of an attempt in the background, with a limited
// number of retries. A claim that stays open counts as unknown once this daemon
// is gone.
func (p *Pipeline) settleClaim(ctx context.Context, c claimAttempt, s zpclaim.Settlement) {
	s.Key, s.Token = c.request.Key, c.request.Token
	ctx = context.WithoutCancel(ctx)
	p.backgroundTasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		var err error
		for attempt := 1; attempt <= maxSettleAttempts && ctx.Err() == nil; attempt++ {
			if err = p.shardWriter(c.shard).Settle(ctx, c.shard, s); err == nil {
				return
			}
			if err = p.Exchange.Local.Settle(ctx, c.shard, s); err == nil {
				return
			}
			p.backoff(ctx, attempt)
		}
		p.Log.Emit(zplog.ClaimSettleFailed, zplog.Fields{"state": string(s.State), "error": fmt.Sprint(err)})
	})
}

// shardWriter returns the daemon that batches the writes to a shard.
func (p *Pipeline) shardWriter(shard int) zppeer.Service {
	owner, ok := p.Fleet.KeyOwner(fmt.Sprintf("claims/%d", shard), p.Settings.Platform.Region)
	if !ok {
		return p.Exchange.Local
	}
	return p.Exchange.ForMember(owner)
}
