package zpquarantine

import (
	"maps"
	"slices"
	"time"
)

// clear removes a fingerprint from all crashes; t.mu must be held.
func (t *Tracker) clear(fingerprint string) {
	for id := range t.suspects[fingerprint] {
		c := t.crashes[id]
		delete(c.suspects, fingerprint)
		t.entries--
		if len(c.suspects) == 0 {
			delete(t.crashes, id)
		}
	}
	delete(t.suspects, fingerprint)
}

// removeExpired removes the crashes that are older than the retention; t.mu must be held.
func (t *Tracker) removeExpired(now time.Time) {
	for id, c := range t.crashes {
		if now.Sub(c.at) > t.Retention {
			t.removeCrash(id)
		}
	}
}

// evict removes fingerprints of the oldest crashes; t.mu must be held. Those that were at
// a single crash go first: a failure domain can add any number of them, which must not
// lift a ban.
func (t *Tracker) evict() {
	ids := slices.SortedFunc(maps.Keys(t.crashes), func(a, b string) int { return t.crashes[a].at.Compare(t.crashes[b].at) })
	for _, remove := range []func(id string){t.removeUnrepeated, t.removeCrash} {
		for _, id := range ids {
			if t.entries <= keptEntries {
				return
			}
			remove(id)
		}
	}
}

// removeUnrepeated removes the fingerprints of a crash that were at no other; t.mu must be
// held.
func (t *Tracker) removeUnrepeated(id string) {
	for f := range t.crashes[id].suspects {
		if len(t.suspects[f]) == 1 {
			t.clear(f)
		}
	}
}

// removeCrash removes a crash; t.mu must be held.
func (t *Tracker) removeCrash(id string) {
	c, ok := t.crashes[id]
	if !ok {
		return
	}
	for f := range c.suspects {
		delete(t.suspects[f], id)
		if len(t.suspects[f]) == 0 {
			delete(t.suspects, f)
		}
		t.entries--
	}
	delete(t.crashes, id)
}
