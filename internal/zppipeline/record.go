package zppipeline

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// recordCompletion counts tokens, then records in the background which endpoint
// holds the prompt's blocks and exports long prompts to a store. It never fails
// the request.
func (p *Pipeline) recordCompletion(ctx context.Context, j *Job) error {
	p.Metrics.PromptTokens.Add(float64(j.Usage.PromptTokens))
	p.Metrics.ReusedTokens.Add(float64(j.Usage.CachedTokens))
	key, ok := j.Conversation()
	if !ok {
		return nil
	}
	p.runInBackground(ctx, func(ctx context.Context) {
		hint := zphint.Hint{Holder: j.Endpoint, Kind: zphint.KindEndpoint, Blocks: len(j.Blocks), RecordedAt: p.Clock()}
		p.recordHint(ctx, key, hint)
		p.exportBlocks(ctx, j, key)
	})
	return nil
}

// recordHint sends the hint to the conversation's owner in each region.
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
		// A lost hint only causes a cache miss.
		_ = p.Exchange.ForMember(owner).Record(ctx, key, h, false)
	}
}

// exportBlocks makes the engine write the prompt's blocks to a store in its
// region, if the prompt is long enough to be worth storing.
func (p *Pipeline) exportBlocks(ctx context.Context, j *Job, key zphint.Key) {
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
	exported, err := p.Engine.Export(ctx, e.Address, j.Salt.String(), blockNames(j.Blocks), store.Address)
	if err != nil || exported.Blocks == 0 {
		return
	}
	p.recordHint(ctx, key, zphint.Hint{
		Holder: store.Name, Kind: zphint.KindStore, Blocks: exported.Blocks, Generation: exported.Generation, RecordedAt: p.Clock(),
	})
}

// storeFor returns a store in the endpoint's region that is in service.
func storeFor(m *zpmanifest.Manifest, e zpmanifest.Endpoint) (zpmanifest.Store, bool) {
	region := m.Region(e.Domain)
	for _, s := range m.Stores {
		if !s.Out && !m.DomainOut(s.Domain) && m.Region(s.Domain) == region {
			return s, true
		}
	}
	return zpmanifest.Store{}, false
}

func blockNames(blocks []zpprefix.BlockName) []string {
	out := make([]string, 0, len(blocks))
	for _, b := range blocks {
		out = append(out, b.String())
	}
	return out
}
