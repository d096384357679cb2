package zppipeline

import (
	"context"
	"fmt"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
)

// claimAttempt is one attempt to claim a key.
type claimAttempt struct {
	shard int
	ask   zpclaim.Ask
}

func (p *Pipeline) newClaim(j *Job) claimAttempt {
	key := zpclaim.Key(j.Workspace.Name, j.Pool.Name, j.Service.IdempotencyKey)
	return claimAttempt{
		shard: zpclaim.ShardOf(key, j.Manifest.ClaimShards),
		ask: zpclaim.Ask{
			Key: key, Token: p.NewID(), Holder: p.Fleet.Self.Instance,
			BodyHash: zpclaim.BodyHash(j.Service.Method, j.Service.Path, j.Service.Body),
		},
	}
}

// claim asks the shard's writer, or writes itself if that one does not answer.
// Both use the same token, so that at most one attempt is granted, whichever
// write takes effect.
func (p *Pipeline) claim(ctx context.Context, c claimAttempt) (zpclaim.Verdict, error) {
	ctx, span := p.Tracer.Start(ctx, "claim")
	defer span.End()
	v, err := p.shardWriter(c.shard).Claim(ctx, c.shard, c.ask)
	if err == nil || ctx.Err() != nil {
		return v, err
	}
	return p.Exchange.Local.Claim(ctx, c.shard, c.ask)
}

// settle records the end of an attempt, in the background and until it is
// recorded or the tries are used up. An attempt left open reads as unknown once
// this daemon is gone.
func (p *Pipeline) settle(ctx context.Context, c claimAttempt, s zpclaim.Settlement) {
	s.Key, s.Token = c.ask.Key, c.ask.Token
	ctx = context.WithoutCancel(ctx)
	p.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, settleWait)
		defer cancel()
		var err error
		for try := 1; try <= settleTries && ctx.Err() == nil; try++ {
			if err = p.shardWriter(c.shard).Settle(ctx, c.shard, s); err == nil {
				return
			}
			if err = p.Exchange.Local.Settle(ctx, c.shard, s); err == nil {
				return
			}
			p.backoff(ctx, try)
		}
		p.Log.Emit(zplog.ClaimSettleFailed, zplog.Fields{"state": string(s.State), "error": fmt.Sprint(err)})
	})
}

// shardWriter returns the daemon that batches the writes of a shard.
func (p *Pipeline) shardWriter(shard int) zppeer.Service {
	owner, ok := p.Fleet.KeyOwner(fmt.Sprintf("claims/%d", shard), p.Settings.Platform.Region)
	if !ok {
		return p.Exchange.Local
	}
	return p.Exchange.To(owner)
}
