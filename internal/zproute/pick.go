package zproute

import (
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// Place is one endpoint that could be asked for its load.
type Place struct {
	Endpoint string
	Region   string
}

// Pick chooses the endpoints to ask: those that are thought to hold the
// prompt's blocks, then those with the highest rendezvous scores for the key
// in the daemon's region, and one random other, so that load can spill. tried
// endpoints are left out as long as others remain.
func Pick(places []Place, hinted []string, key, region string, count int, tried map[string]bool, random *rand.Rand) []string {
	fresh := remaining(places, tried)
	out := make([]string, 0, count+len(hinted))
	for _, h := range hinted {
		if has(fresh, h) && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	near, far := split(ranked(fresh, key), region)
	for _, p := range append(near, far...) {
		if len(out) >= max(count-1, 1) {
			break
		}
		if !slices.Contains(out, p.Endpoint) {
			out = append(out, p.Endpoint)
		}
	}
	if spill := fresh[random.IntN(max(len(fresh), 1)):]; len(spill) > 0 && !slices.Contains(out, spill[0].Endpoint) {
		out = append(out, spill[0].Endpoint)
	}
	return out
}

func remaining(places []Place, tried map[string]bool) []Place {
	var out []Place
	for _, p := range places {
		if !tried[p.Endpoint] {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return places
	}
	return out
}

func ranked(places []Place, key string) []Place {
	seed := xxh3.HashString(key)
	out := slices.Clone(places)
	sort.SliceStable(out, func(i, j int) bool {
		return xxh3.HashStringSeed(out[i].Endpoint, seed) > xxh3.HashStringSeed(out[j].Endpoint, seed)
	})
	return out
}

func split(places []Place, region string) (near, far []Place) {
	for _, p := range places {
		if p.Region == region {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

func has(places []Place, endpoint string) bool {
	return slices.ContainsFunc(places, func(p Place) bool { return p.Endpoint == endpoint })
}
