package zppipeline

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// recordTurn remembers where the prompt's blocks now are, in each region, and
// has them exported to a store when the context is worth it. It never fails
// the request.
func (p *Pipeline) recordTurn(ctx context.Context, j *Job) error {
	p.Metrics.PromptTokens.Add(float64(j.Usage.PromptTokens))
	p.Metrics.ReusedTokens.Add(float64(j.Usage.CachedTokens))
	key, ok := j.Conversation()
	if !ok {
		return nil
	}
	p.later(ctx, func(ctx context.Context) {
		hint := zphint.Hint{Place: j.Endpoint, Kind: zphint.KindEndpoint, Blocks: len(j.Blocks), At: p.Clock()}
		p.recordHint(ctx, key, hint)
		p.export(ctx, j, key)
	})
	return nil
}

// recordHint tells the conversation's owner in each region.
func (p *Pipeline) recordHint(ctx context.Context, key zphint.Key, h zphint.Hint) {
	v, ok := p.Fleet.Cache.View()
	if !ok {
		return
	}
	for _, region := range v.Regions {
		owner, ok := p.Fleet.KeyOwner(key.String(), region)
		if !ok {
			continue
		}
		// A lost hint costs a cache miss.
		_ = p.Exchange.To(owner).Record(ctx, key, h, false)
	}
}

// export orders the engine to write the prompt's blocks to a store of its
// region, if the context is long enough to be worth keeping.
func (p *Pipeline) export(ctx context.Context, j *Job, key zphint.Key) {
	if p.Settings.Routing.Policy == zpsettings.PolicyLeastLoaded || int64(len(j.Blocks)*zpprefix.BlockTokens) < p.Settings.Routing.ExportMinTokens {
		return
	}
	e, ok := j.Manifest.EndpointByName(j.Endpoint)
	if !ok {
		return
	}
	store, ok := storeFor(j.Manifest, e)
	if !ok {
		return
	}
	stored, err := p.Engine.Export(ctx, e.Address, j.Salt.String(), blockNames(j.Blocks), store.Address)
	if err != nil || stored.Blocks == 0 {
		return
	}
	p.recordHint(ctx, key, zphint.Hint{
		Place: store.Name, Kind: zphint.KindStore, Blocks: stored.Blocks, Generation: stored.Generation, At: p.Clock(),
	})
}

// storeFor returns a store in service in the endpoint's region.
func storeFor(m *zpmanifest.Manifest, e zpmanifest.Endpoint) (zpmanifest.Store, bool) {
	region := m.Region(e.Domain)
	for _, s := range m.Stores {
		if !s.Out && !m.DomainOut(s.Domain) && m.Region(s.Domain) == region {
			return s, true
		}
	}
	return zpmanifest.Store{}, false
}

func blockNames(blocks []zpprefix.Name) []string {
	out := make([]string, 0, len(blocks))
	for _, b := range blocks {
		out = append(out, b.String())
	}
	return out
}
