package zpquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Cleared returns the fingerprints that were in reports of crashes but are harmless, for
// a daemon that may have missed it.
func (t *Tracker) Cleared(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, f := range t.cleared.Keys() {
		if t.isHarmless(f, now) {
			out = append(out, f)
		}
	}
	return out
}

// Reports returns the recorded crashes as reports with up to limit fingerprints, for a
// daemon that has just started. Fingerprints that were at several crashes come first, and
// then the newest.
func (t *Tracker) Reports(limit int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	return t.reportsOf(t.newestEntries(limit))
}

// maxBanEntries bounds the size of a stored ban.
const maxBanEntries = 1024

// BanOf returns the crashes of a fingerprint, with all fingerprints that were at several
// crashes and at one of these: they may account for the crashes in its place.
func (t *Tracker) BanOf(fingerprint string) Ban {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own, others []entry
	for id := range t.suspects[fingerprint] {
		for f := range t.crashes[id].suspects {
			e := entry{crash: id, fingerprint: f, at: t.crashes[id].at}
			switch {
			case f == fingerprint:
				own = append(own, e)
			case len(t.suspects[f]) > 1:
				others = append(others, e)
			}
		}
	}
	slices.SortFunc(others, func(a, b entry) int {
		return cmp.Or(cmp.Compare(len(t.suspects[b.fingerprint]), len(t.suspects[a.fingerprint])), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	entries := append(own, others...)
	return Ban{Fingerprint: fingerprint, Reports: t.reportsOf(entries[:min(len(entries), maxBanEntries)])}
}

// reportsOf returns fingerprints and their crashes as reports; t.mu must be held.
func (t *Tracker) reportsOf(entries []entry) []Report {
	type key struct {
		crash, workspace string
		sentAt           time.Time
		onTrial          bool
	}
	byKey := map[key]*Report{}
	var order []*Report
	for _, e := range entries {
		p := t.crashes[e.crash].suspects[e.fingerprint]
		for workspace, ran := range p.ran {
			sentAt := e.at.Add(-ran)
			k := key{e.crash, workspace, sentAt, p.onTrial}
			r, ok := byKey[k]
			if !ok {
				r = &Report{Crash: e.crash, CrashedAt: e.at, SentAt: sentAt, Workspace: workspace, OnTrial: p.onTrial}
				byKey[k] = r
				order = append(order, r)
			}
			r.Fingerprints = append(r.Fingerprints, e.fingerprint)
		}
	}
	out := make([]Report, 0, len(order))
	for _, r := range order {
		out = append(out, *r)
	}
	return out
}

// newestEntries returns up to limit fingerprints with their crashes: those that were at
// several crashes first, and then the newest; t.mu must be held.
func (t *Tracker) newestEntries(limit int) []entry {
	out := make([]entry, 0, t.entries)
	for id, c := range t.crashes {
		for f := range c.suspects {
			out = append(out, entry{crash: id, fingerprint: f, at: c.at, isRepeated: len(t.suspects[f]) > 1})
		}
	}
	slices.SortFunc(out, func(a, b entry) int {
		if a.isRepeated != b.isRepeated {
			if a.isRepeated {
				return -1
			}
			return 1
		}
		return b.at.Compare(a.at)
	})
	return out[:min(len(out), limit)]
}
