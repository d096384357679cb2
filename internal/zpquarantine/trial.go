package zpquarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

// Trials grants trials of banned fingerprints. All daemons ask the same one, so that one
// request at a time is sent with a fingerprint. It is safe for concurrent use.
type Trials struct {
	mu      sync.Mutex
	granted *lru.Cache[string, time.Time] // last grant, by fingerprint
}

const (
	// trialSpacing is the time between two grants of a fingerprint. A crash of the first is
	// known by then, also if only the removal of the endpoint shows it.
	trialSpacing = 6 * time.Second
	// maxTrials bounds the fingerprints whose grants are remembered.
	maxTrials = 4096
)

var (
	// contestedPauses and firmPauses are the times from the last crash of a fingerprint to
	// its next trial, by the number of trials that have failed. After the last one, the ban
	// stands until its crashes expire. Users allow three more requests once a part has
	// crashed five endpoints.
	contestedPauses = []time.Duration{time.Second, 5 * time.Second, 10 * time.Second}
	firmPauses      = []time.Duration{30 * time.Second, 5 * time.Minute, 25 * time.Minute}
)

// NewTrials returns trials of which none is granted.
func NewTrials() *Trials {
	// New fails only for a size that is not positive.
	granted, _ := lru.New[string, time.Time](maxTrials)
	return &Trials{granted: granted}
}

// Grant reports whether a request with the fingerprint may be sent now, and records it.
func (t *Trials) Grant(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.granted.Get(fingerprint); ok && now.Sub(at) < trialSpacing {
		return false
	}
	t.granted.Add(fingerprint, now)
	return true
}

// NextTrial returns when the next request with the fingerprint of a ban may be sent to test
// the ban. It returns false if there is no further trial.
func (t *Tracker) NextTrial(f Finding) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	failed := 0
	for id := range t.suspects[f.Fingerprint] {
		c := t.crashes[id]
		if c.at.After(last) {
			last = c.at
		}
		if c.suspects[f.Fingerprint].onTrial {
			failed++
		}
	}
	pauses := firmPauses
	if f.IsContested {
		pauses = contestedPauses
	}
	if failed >= len(pauses) {
		return time.Time{}, false
	}
	return last.Add(pauses[failed]), true
}

// isContested reports whether what a request lacks may account for at least half of the
// crashes of one of its fingerprints: the request would tell them apart. t.mu must be held.
func (t *Tracker) isContested(fingerprint string, fingerprints []string) bool {
	accounted := 0
	for id := range t.suspects[fingerprint] {
		for other := range t.crashes[id].suspects {
			if len(t.suspects[other]) > 1 && !slices.Contains(fingerprints, other) {
				accounted++
				break
			}
		}
	}
	return 2*accounted >= len(t.suspects[fingerprint])
}
