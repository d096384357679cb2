package zpplace

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

// ColdLimiter limits the rate of requests from this daemon to cold endpoints, so
// that all daemons together stay within the rate that a cold endpoint can serve.
// Rendezvous hashing selects as many daemons for an endpoint as it can serve
// requests per second, and each of them sends at most one request per second.
// It is safe for concurrent use.
type ColdLimiter struct {
	Self string

	mu       sync.Mutex
	lastSent map[string]time.Time
}

// coldInterval is the minimum interval between two requests of one daemon to a
// cold endpoint. It exceeds one second, the window over which request rates are
// counted.
const coldInterval = 1100 * time.Millisecond

// Allow reports whether a request may be sent to a cold endpoint now, and
// records it. The limit maxPerSecond applies to all daemons together; zero means
// no limit.
func (g *ColdLimiter) Allow(endpoint string, maxPerSecond float64, daemons []string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if maxPerSecond <= 0 || zpmutant.Active(zpmutant.ColdLimit) {
		return true
	}
	if !g.mayAllow(endpoint, maxPerSecond, daemons, now) {
		return false
	}
	if g.lastSent == nil {
		g.lastSent = map[string]time.Time{}
	}
	g.lastSent[endpoint] = now
	for id, at := range g.lastSent {
		if now.Sub(at) > time.Minute {
			delete(g.lastSent, id)
		}
	}
	return true
}

// MayAllow reports whether Allow would allow a request, and records nothing.
func (g *ColdLimiter) MayAllow(endpoint string, maxPerSecond float64, daemons []string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maxPerSecond <= 0 || g.mayAllow(endpoint, maxPerSecond, daemons, now)
}

// mayAllow reports whether a limited request may be sent; g.mu must be held.
func (g *ColdLimiter) mayAllow(endpoint string, maxPerSecond float64, daemons []string, now time.Time) bool {
	at, ok := g.lastSent[endpoint]
	return (!ok || now.Sub(at) >= coldInterval) && isSelected(g.Self, endpoint, int(maxPerSecond), daemons)
}

// isSelected reports whether self is among the first n daemons in rendezvous
// order for a key.
func isSelected(self, key string, n int, daemons []string) bool {
	return RendezvousRank(self, key, daemons) < max(n, 1)
}

// RendezvousRank returns the zero-based position of self among daemons in rendezvous order
// for a key.
func RendezvousRank(self, key string, daemons []string) int {
	selfWeight := RendezvousWeight(self, key)
	ahead := 0
	for _, d := range daemons {
		if h := RendezvousWeight(d, key); d != self && (h > selfWeight || h == selfWeight && d > self) {
			ahead++
		}
	}
	return ahead
}

// RendezvousFirst returns the member with the highest rendezvous weight for a key, or ""
// if there are no members.
func RendezvousFirst(key string, members []string) string {
	first, best := "", uint64(0)
	for _, m := range members {
		if w := RendezvousWeight(m, key); first == "" || w > best {
			first, best = m, w
		}
	}
	return first
}

// Preference returns how much a daemon prefers an endpoint among equal ones, from 0 to 1.
func Preference(daemon, endpoint string) float64 {
	return float64(RendezvousWeight(daemon, endpoint)) / (1 << 64)
}

// RendezvousWeight returns the rendezvous hash weight of a member for a key. The member
// with the highest weight is selected.
func RendezvousWeight(member, key string) uint64 {
	h := fnv.New64a()
	// Writes to a hash.Hash never return an error.
	_, _ = h.Write([]byte(member))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	// FNV-1a mixes the last bytes poorly; the finalizer spreads them over all bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
