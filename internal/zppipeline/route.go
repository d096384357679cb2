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

// storeBytesPerSecond is the rate at which an engine reads blocks from a store in
// its own region.
const storeBytesPerSecond = 200 << 20

// route returns the current choices for running the job, cheapest first.
func (p *Pipeline) route(ctx context.Context, j *Job, tried map[string]bool) []zproute.Choice {
	serving := p.Fleet.Cache.Serving(j.Pool.Name)
	if len(serving) == 0 {
		return nil
	}
	if p.Settings.Routing.Policy == zpsettings.PolicyLeastLoaded {
		return zproute.RankByLoad(p.candidates(ctx, serving, endpointNames(serving), nil))
	}
	hints := p.locateHints(ctx, j)
	cached := cachedBlocks(hints)
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	picked := zproute.PickTargets(p.routePlaces(serving), hintedEndpoints(hints), j.affinityKey(), p.Fleet.Self.Region,
		p.Settings.Routing.CandidatesPerTurn, tried, random)
	prompt := zproute.Prompt{Tokens: j.Tokens, Blocks: len(j.Blocks), Urgent: j.Urgent, Region: p.Fleet.Self.Region,
		TransferBytes: len(j.Prompt.Body) + j.Prompt.MaxTokens*bytesPerPiece}
	return zproute.Rank(prompt, p.candidates(ctx, serving, picked, cached), p.importSources(j, hints), p.routingRates())
}

// locateHints asks the conversation's owner in this region for cache hints. If it
// does not respond, routing assumes that nothing is cached.
func (p *Pipeline) locateHints(ctx context.Context, j *Job) []zphint.Hint {
	key, ok := j.Conversation()
	if !ok {
		return nil
	}
	owner, ok := p.Fleet.KeyOwner(key.String(), p.Fleet.Self.Region)
	if !ok {
		return nil
	}
	hints, err := p.Exchange.ForMember(owner).Locate(ctx, key)
	if err != nil {
		return nil
	}
	return hints
}

// candidates asks the owners of the wanted endpoints for their load, in parallel.
// Endpoints whose owner does not respond are omitted.
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
			quotes, err := p.Exchange.ForMember(owner).Quote(ctx, endpointNames(list))
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
		e, ok := findEndpoint(serving, name)
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

func (p *Pipeline) routePlaces(serving []zpmanifest.Endpoint) []zproute.Target {
	m := p.Fleet.Cache.Manifest()
	out := make([]zproute.Target, 0, len(serving))
	for _, e := range serving {
		out = append(out, zproute.Target{Endpoint: e.Name, Region: m.Region(e.Domain)})
	}
	return out
}

// importSources converts hints about stores into import sources.
func (p *Pipeline) importSources(j *Job, hints []zphint.Hint) []zproute.Source {
	var out []zproute.Source
	for _, h := range hints {
		if h.Kind != zphint.KindStore {
			continue
		}
		s, ok := j.Manifest.StoreByName(h.Holder)
		if !ok || s.Out || j.Manifest.DomainOut(s.Domain) {
			continue
		}
		source := zproute.Source{
			Store: s.Name, Region: j.Manifest.Region(s.Domain), Blocks: h.Blocks,
			Generation: h.Generation, BytesPerSecond: storeBytesPerSecond,
		}
		if len(j.Manifest.Links) > 0 {
			source.LinkBytesPerSecond = j.Manifest.Links[0].BytesPerSecond
			source.LinkBudget = source.LinkBytesPerSecond
		}
		out = append(out, source)
	}
	return out
}

// affinityKey returns the key for rendezvous hashing of endpoints: the conversation,
// or the job ID if the prompt is too short for cached blocks.
func (j *Job) affinityKey() string {
	if key, ok := j.Conversation(); ok {
		return key.String()
	}
	return j.ID
}

func hintedEndpoints(hints []zphint.Hint) []string {
	var out []string
	for _, h := range hints {
		if h.Kind == zphint.KindEndpoint {
			out = append(out, h.Holder)
		}
	}
	return out
}

func cachedBlocks(hints []zphint.Hint) map[string]int {
	out := map[string]int{}
	for _, h := range hints {
		if h.Kind == zphint.KindEndpoint {
			out[h.Holder] = h.Blocks
		}
	}
	return out
}

func endpointNames(endpoints []zpmanifest.Endpoint) []string {
	out := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		out = append(out, e.Name)
	}
	return out
}

func findEndpoint(list []zpmanifest.Endpoint, name string) (zpmanifest.Endpoint, bool) {
	for _, e := range list {
		if e.Name == name {
			return e, true
		}
	}
	return zpmanifest.Endpoint{}, false
}

// isPermanentRefusal reports whether the request would still be refused if it
// waited for the rest of its maximum wait.
func isPermanentRefusal(code string) bool {
	return code == zpadmission.CodeQueueFull || code == zpadmission.CodeWaitTooLong || code == zpadmission.CodeExpired
}
