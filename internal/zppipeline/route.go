package zppipeline

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
	"github.com/zinniapaddle/zinniapaddle/internal/zproute"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// storeBandwidth is the rate at which a store in the same region serves
// blocks, in bytes a second.
const storeBandwidth = 200 << 20

// route ranks the ways to run a job now, cheapest first.
func (p *Pipeline) route(ctx context.Context, j *Job, tried map[string]bool) []zproute.Choice {
	serving := p.Fleet.Cache.Serving(j.Pool.Name)
	if len(serving) == 0 {
		return nil
	}
	if p.Settings.Routing.Policy == zpsettings.PolicyLeastLoaded {
		return zproute.RankByLoad(p.candidates(ctx, serving, names(serving), nil))
	}
	hints := p.locate(ctx, j)
	cached := cachedBlocks(hints)
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	picked := zproute.Pick(p.places(serving), hinted(hints), j.routeKey(), p.Fleet.Self.Region,
		p.Settings.Routing.CandidatesPerTurn, tried, random)
	prompt := zproute.Prompt{Tokens: j.Tokens, Blocks: len(j.Blocks), Urgent: j.Urgent, Region: p.Fleet.Self.Region,
		TransferBytes: len(j.Prompt.Body) + j.Prompt.MaxTokens*pieceBytes}
	return zproute.Rank(prompt, p.candidates(ctx, serving, picked, cached), p.sources(j, hints), p.rates())
}

// locate asks the owner of the conversation in this region for hints. Without
// an answer the prompt is recomputed.
func (p *Pipeline) locate(ctx context.Context, j *Job) []zphint.Hint {
	key, ok := j.Conversation()
	if !ok {
		return nil
	}
	owner, ok := p.Fleet.KeyOwner(key.String(), p.Fleet.Self.Region)
	if !ok {
		return nil
	}
	hints, err := p.Exchange.To(owner).Locate(ctx, key)
	if err != nil {
		return nil
	}
	return hints
}

// candidates asks the owners of the named endpoints for their loads, all at
// once. Endpoints without an answer are left out.
func (p *Pipeline) candidates(ctx context.Context, serving []zpmanifest.Endpoint, wanted []string, cached map[string]int) []zproute.Candidate {
	byOwner, regions := p.groupByOwner(serving, wanted)
	var mu sync.Mutex
	var out []zproute.Candidate
	var wg sync.WaitGroup
	for instance, list := range byOwner {
		owner, ok := p.Fleet.EndpointOwner(list[0])
		if !ok || owner.Instance != instance {
			continue
		}
		wg.Go(func() {
			quotes, err := p.Exchange.To(owner).Quote(ctx, names(list))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for name, q := range quotes {
				out = append(out, zproute.Candidate{Endpoint: name, Region: regions[name], Quote: q, CachedBlocks: cached[name]})
			}
		})
	}
	wg.Wait()
	return out
}

func (p *Pipeline) groupByOwner(serving []zpmanifest.Endpoint, wanted []string) (map[string][]zpmanifest.Endpoint, map[string]string) {
	m := p.Fleet.Cache.Manifest()
	byOwner := map[string][]zpmanifest.Endpoint{}
	regions := map[string]string{}
	for _, name := range wanted {
		e, ok := endpointNamed(serving, name)
		if !ok {
			continue
		}
		owner, ok := p.Fleet.EndpointOwner(e)
		if !ok {
			continue
		}
		regions[name] = m.Region(e.Domain)
		byOwner[owner.Instance] = append(byOwner[owner.Instance], e)
	}
	return byOwner, regions
}

func (p *Pipeline) places(serving []zpmanifest.Endpoint) []zproute.Place {
	m := p.Fleet.Cache.Manifest()
	out := make([]zproute.Place, 0, len(serving))
	for _, e := range serving {
		out = append(out, zproute.Place{Endpoint: e.Name, Region: m.Region(e.Domain)})
	}
	return out
}

// sources turns hints of stores into places to import from.
func (p *Pipeline) sources(j *Job, hints []zphint.Hint) []zproute.Source {
	var out []zproute.Source
	for _, h := range hints {
		if h.Kind != zphint.KindStore {
			continue
		}
		s, ok := j.Manifest.StoreByName(h.Place)
		if !ok || s.Out || j.Manifest.DomainOut(s.Domain) {
			continue
		}
		source := zproute.Source{
			Store: s.Name, Region: j.Manifest.Region(s.Domain), Blocks: h.Blocks,
			Generation: h.Generation, BytesPerSecond: storeBandwidth,
		}
		if len(j.Manifest.Links) > 0 {
			source.LinkBytesPerSecond = j.Manifest.Links[0].BytesPerSecond
			source.LinkBudget = source.LinkBytesPerSecond
		}
		out = append(out, source)
	}
	return out
}

// routeKey is what the rendezvous of endpoints hashes: the conversation, or
// the request itself if it is too short to return.
func (j *Job) routeKey() string {
	if key, ok := j.Conversation(); ok {
		return key.String()
	}
	return j.ID
}

func hinted(hints []zphint.Hint) []string {
	var out []string
	for _, h := range hints {
		if h.Kind == zphint.KindEndpoint {
			out = append(out, h.Place)
		}
	}
	return out
}

func cachedBlocks(hints []zphint.Hint) map[string]int {
	out := map[string]int{}
	for _, h := range hints {
		if h.Kind == zphint.KindEndpoint {
			out[h.Place] = h.Blocks
		}
	}
	return out
}

func names(endpoints []zpmanifest.Endpoint) []string {
	out := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, e.Name)
	}
	return out
}

func endpointNamed(list []zpmanifest.Endpoint, name string) (zpmanifest.Endpoint, bool) {
	for _, e := range list {
		if e.Name == name {
			return e, true
		}
	}
	return zpmanifest.Endpoint{}, false
}

// refusedNow reports whether a refusal will not change within the wait that
// the request has left.
func refusedNow(code string) bool {
	return code == zpadmission.CodeQueueFull || code == zpadmission.CodeTooLate || code == zpadmission.CodeExpired
}
