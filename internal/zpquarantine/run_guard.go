package zpquarantine

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// RunGuard lets equal requests run one at a time until one of them has
	// completed. A request that crashes engines then reaches them one at a time,
	// however many copies of it arrive at once. It is safe for concurrent use.
	RunGuard struct {
		mu       sync.Mutex
		running  map[string]activeRun
		harmless *lru.Cache[string, struct{}]
	}

	activeRun struct {
		id        string
		startedAt time.Time
	}
)

const (
	maxHarmless = 100_000
	// RunTimeout is how long a run whose end was not reported blocks equal
	// requests.
	RunTimeout = 30 * time.Second
)

// NewRunGuard returns a table without runs.
func NewRunGuard() *RunGuard {
	// New fails only for a size that is not positive.
	harmless, _ := lru.New[string, struct{}](maxHarmless)
	return &RunGuard{running: map[string]activeRun{}, harmless: harmless}
}

// Start reports whether the request with the given id may run now. It records the
// run unless equal requests are known to be harmless.
func (f *RunGuard) Start(fingerprint, id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.harmless.Contains(fingerprint) {
		return true
	}
	other, ok := f.running[fingerprint]
	if ok && other.id != id && now.Sub(other.startedAt) < RunTimeout {
		return false
	}
	f.running[fingerprint] = activeRun{id: id, startedAt: now}
	return true
}

// End records the end of a request's run. A completed run shows that equal
// requests are harmless; they may then run at the same time.
func (f *RunGuard) End(fingerprint, id string, completed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[fingerprint].id == id {
		delete(f.running, fingerprint)
	}
	if completed {
		f.harmless.Add(fingerprint, struct{}{})
	}
}
