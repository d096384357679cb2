package zproute

import (
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// Target is an endpoint that can be asked for its load.
type Target struct {
	Endpoint string
	Region   string
}

// PickTargets chooses the endpoints to ask for their load. First come the hinted ones,
// which probably have the prompt's blocks cached. Those with the highest
// rendezvous scores for the key fill up to count-1, with the given region first.
// One random endpoint is added, so that load can spill over. Endpoints in tried
// are skipped unless all have been tried.
func PickTargets(targets []Target, hinted []string, key, region string, count int, tried map[string]bool, random *rand.Rand) []string {
	untried := excludeTried(targets, tried)
	out := make([]string, 0, count+len(hinted))
	for _, h := range hinted {
		if containsEndpoint(untried, h) && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	local, remote := splitByRegion(byRendezvousScore(untried, key), region)
	for _, p := range append(local, remote...) {
		if len(out) >= max(count-1, 1) {
			break
		}
		if !slices.Contains(out, p.Endpoint) {
			out = append(out, p.Endpoint)
		}
	}
	if spill := untried[random.IntN(max(len(untried), 1)):]; len(spill) > 0 && !slices.Contains(out, spill[0].Endpoint) {
		out = append(out, spill[0].Endpoint)
	}
	return out
}

// excludeTried returns the targets that are not in tried, or all if none is left.
func excludeTried(targets []Target, tried map[string]bool) []Target {
	var out []Target
	for _, p := range targets {
		if !tried[p.Endpoint] {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return targets
	}
	return out
}

// byRendezvousScore sorts the targets by rendezvous hashing, highest score first.
func byRendezvousScore(targets []Target, key string) []Target {
	seed := xxh3.HashString(key)
	out := slices.Clone(targets)
	sort.SliceStable(out, func(i, j int) bool {
		return xxh3.HashStringSeed(out[i].Endpoint, seed) > xxh3.HashStringSeed(out[j].Endpoint, seed)
	})
	return out
}

func splitByRegion(targets []Target, region string) (local, remote []Target) {
	for _, p := range targets {
		if p.Region == region {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return local, remote
}

func containsEndpoint(targets []Target, endpoint string) bool {
	return slices.ContainsFunc(targets, func(p Target) bool { return p.Endpoint == endpoint })
}
