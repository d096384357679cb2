package zpquarantine

import (
	"slices"
	"time"
)

// Check returns the status of a request of a workspace. Of several crashes, each counts
// only if the request was sent after the one before or crashed long after it, so that
// endpoints that fail together count once. Crashes of requests of a single workspace
// count only for that workspace, which could otherwise have parts of others refused.
//
// A part is clear if another fingerprint was present at all of its crashes and at more. A
// crash does not count against a request as a whole if a fingerprint of another request
// that was present at it was at more. Fingerprints with the same crashes cannot be told
// apart, so that only a request that has all of them is banned; for a request as a whole,
// this ends with the crashes from which a part is refused.
//
// Endpoints also crash for other reasons, so the sets of crashes are no proof. NextTrial
// tells when a banned request may be sent to test the ban.
func (t *Tracker) Check(workspace string, fingerprints []string, now time.Time) Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := Finding{}
	if len(t.crashes) == 0 {
		return worst
	}
	for _, f := range fingerprints {
		n := t.countCrashes(f, fingerprints, workspace, now)
		if n == 0 || isPart(f) && t.isExplained(f) {
			continue
		}
		status := statusOf(f, n)
		if status == StatusBanned && (isPart(f) || n < partBanThreshold) && !t.isCoveredBy(f, fingerprints) {
			status = StatusSuspect
		}
		found := Finding{Status: status, Fingerprint: f, Crashes: n}
		found.IsContested = status == StatusBanned && t.isContested(f, fingerprints)
		if found.isWorseThan(worst) {
			worst = found
		}
	}
	return worst
}

func (f Finding) isWorseThan(other Finding) bool {
	switch {
	case f.Status != other.Status:
		return f.Status > other.Status
	case f.IsContested != other.IsContested:
		return other.IsContested
	default:
		return f.Crashes > other.Crashes
	}
}

func statusOf(fingerprint string, crashes int) Status {
	threshold := banThreshold
	if isPart(fingerprint) {
		threshold = partBanThreshold
	}
	switch {
	case crashes >= threshold:
		return StatusBanned
	case crashes > 0:
		return StatusSuspect
	default:
		return StatusClear
	}
}

// countCrashes returns how many crashes of one of a request's fingerprints count for a
// workspace; t.mu must be held.
func (t *Tracker) countCrashes(fingerprint string, fingerprints []string, workspace string, now time.Time) int {
	if len(t.suspects[fingerprint]) == 0 {
		return 0
	}
	type event struct{ sentAt, crashedAt time.Time }
	var events []event
	workspaces := map[string]struct{}{}
	for id := range t.suspects[fingerprint] {
		c := t.crashes[id]
		if now.Sub(c.at) > t.Retention || !isPart(fingerprint) && t.isExplainedAt(c, fingerprint, fingerprints) {
			continue
		}
		e := event{crashedAt: c.at}
		for w, ran := range c.suspects[fingerprint].ran {
			workspaces[w] = struct{}{}
			if sentAt := c.at.Add(-ran); sentAt.After(e.sentAt) {
				e.sentAt = sentAt
			}
		}
		events = append(events, e)
	}
	if _, own := workspaces[workspace]; len(workspaces) == 1 && !own {
		return 0
	}
	slices.SortFunc(events, func(a, b event) int { return a.crashedAt.Compare(b.crashedAt) })
	n, last := 0, time.Time{}
	for _, e := range events {
		if n == 0 || e.sentAt.After(last) || e.crashedAt.Sub(last) >= separateFailures {
			n, last = n+1, e.crashedAt
		}
	}
	return n
}

// isExplained reports whether another fingerprint was present at all crashes of this one
// and at more; t.mu must be held.
func (t *Tracker) isExplained(fingerprint string) bool {
	return t.anyPresentWith(fingerprint, func(other string) bool { return len(t.suspects[other]) > len(t.suspects[fingerprint]) })
}

// isExplainedAt reports whether a fingerprint of another request that was present at a
// crash of this one was at more crashes; t.mu must be held. The parts of a request do not
// explain the crashes of the whole, as they are always present at these.
func (t *Tracker) isExplainedAt(c *crash, fingerprint string, fingerprints []string) bool {
	for other := range c.suspects {
		if len(t.suspects[other]) > len(t.suspects[fingerprint]) && !slices.Contains(fingerprints, other) {
			return true
		}
	}
	return false
}

// isCoveredBy reports whether a request has all fingerprints that were present at exactly
// the same crashes as the given one; t.mu must be held.
func (t *Tracker) isCoveredBy(fingerprint string, fingerprints []string) bool {
	return !t.anyPresentWith(fingerprint, func(other string) bool {
		return len(t.suspects[other]) == len(t.suspects[fingerprint]) && !slices.Contains(fingerprints, other)
	})
}

// anyPresentWith reports whether some other fingerprint that was present at all crashes
// of the given one satisfies the condition; t.mu must be held.
func (t *Tracker) anyPresentWith(fingerprint string, condition func(other string) bool) bool {
	ids := t.suspects[fingerprint]
	for first := range ids {
		for other := range t.crashes[first].suspects {
			if other != fingerprint && condition(other) && containsAll(t.suspects[other], ids) {
				return true
			}
		}
		return false // one crash names all candidates
	}
	return false
}

func containsAll(set, subset map[string]struct{}) bool {
	for id := range subset {
		if _, ok := set[id]; !ok {
			return false
		}
	}
	return true
}
