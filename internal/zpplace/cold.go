package zpplace

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

// ColdGate limits what this daemon sends to cold endpoints, so that all daemons
// together stay under the rate that one bears. A rendezvous hash names as many
// daemons as the endpoint bears requests a second; each of them sends at most
// one a second. It is safe for concurrent use.
type ColdGate struct {
	Self string

	mu   sync.Mutex
	last map[string]time.Time
}

// coldInterval is the pause between two requests of one daemon to a cold
// endpoint. It is over a second, as that is the window in which rates count.
const coldInterval = 1100 * time.Millisecond

// Allow reports whether a request may go to a cold endpoint now, and counts it.
func (g *ColdGate) Allow(endpoint string, perSecond float64, daemons []string, now time.Time) bool {
	if perSecond <= 0 || zpmutant.Active(zpmutant.ColdLimit) {
		return true
	}
	if !isChosen(g.Self, endpoint, int(perSecond), daemons) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.last == nil {
		g.last = map[string]time.Time{}
	}
	if at, ok := g.last[endpoint]; ok && now.Sub(at) < coldInterval {
		return false
	}
	g.last[endpoint] = now
	for id, at := range g.last {
		if now.Sub(at) > time.Minute {
			delete(g.last, id)
		}
	}
	return true
}

// isChosen reports whether self is among the first n of the rendezvous of
// daemons for a key.
func isChosen(self, key string, n int, daemons []string) bool {
	return Rank(self, key, daemons) < max(n, 1)
}

// Rank returns the place of self in the rendezvous order of daemons for a key.
func Rank(self, key string, daemons []string) int {
	own := Weigh(self, key)
	above := 0
	for _, d := range daemons {
		if h := Weigh(d, key); d != self && (h > own || h == own && d > self) {
			above++
		}
	}
	return above
}

// First returns the member that comes first in the rendezvous for a key, or "".
func First(key string, members []string) string {
	first, best := "", uint64(0)
	for _, m := range members {
		if w := Weigh(m, key); first == "" || w > best {
			first, best = m, w
		}
	}
	return first
}

// Weigh returns the weight of a member in the rendezvous for a key; the highest
// one wins.
func Weigh(member, key string) uint64 {
	h := fnv.New64a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	// FNV mixes the last bytes poorly; a finalizer spreads them over all bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
