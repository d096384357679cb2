package zpquarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// Tracker finds what crashes endpoints: a request as a whole, or a part that it
	// shares with other requests. Each of these has a fingerprint. A fingerprint is
	// suspected if its requests were running at crashes and none of them has run without
	// harm. It is safe for concurrent use.
	Tracker struct {
		Retention time.Duration // how long a crash or a harmless run counts

		mu       sync.Mutex
		crashes  map[string]*crash              // by id
		suspects map[string]map[string]struct{} // crash ids by fingerprint
		entries  int                            // number of fingerprints in all crashes

		// Last harmless runs, by fingerprint. Requests have a cache of their own, as most
		// are sent once and would displace the parts.
		harmlessRequests *lru.Cache[string, time.Time]
		harmlessParts    *lru.Cache[string, time.Time]
		cleared          *lru.Cache[string, struct{}] // those of them that were in reports
	}

	// Report is one request that was running when an endpoint crashed.
	Report struct {
		Crash        string    // identifies the crash; equal in all reports of it
		CrashedAt    time.Time // when the endpoint crashed
		SentAt       time.Time // when the request was sent to the endpoint
		Workspace    string
		Fingerprints []string // that may have caused the crash
	}

	// Finding is the status of a request, with the fingerprint that it is due to.
	Finding struct {
		Status      Status
		Fingerprint string // empty if the status is StatusClear
		Crashes     int    // crashes that count against the fingerprint
	}

	crash struct {
		at time.Time
		// Shortest run until the crash, by fingerprint and workspace. Unlike the time of
		// the send, it does not change if a report arrives late.
		suspects map[string]map[string]time.Duration
	}

	entry struct {
		crash, fingerprint string
		at                 time.Time
		isRepeated         bool // the fingerprint was at several crashes
	}
)

const (
	// partBanThreshold is the number of crashes from which a part is refused. It is
	// higher than banThreshold because a part belongs to many requests, of which some
	// may have run beside the guilty one.
	partBanThreshold = 3
	// separateFailures is the time from which two crashes have separate causes, even if the
	// request of the second was already running at the first. Sent bytes that stay
	// unacknowledged reveal the loss of a failure domain within less.
	separateFailures = 2 * time.Second
	// maxTrackedEntries bounds the fingerprints of all crashes, and maxTrackedHarmless
	// the requests and the parts known to be harmless, and with them the memory.
	maxTrackedEntries  = 16384
	maxTrackedHarmless = 16384
	// keptEntries is how many fingerprints are left after an eviction.
	keptEntries = maxTrackedEntries * 3 / 4
	// maxTrackedCleared is lower because each new daemon is sent all of them.
	maxTrackedCleared = 1024
)

// partPrefix distinguishes fingerprints of parts from those of whole requests, which are
// hexadecimal.
const partPrefix = "part/"

// PartFingerprint returns the fingerprint of a part of a prompt, whichever model reads it.
func PartFingerprint(part string) string { return partPrefix + part }

func isPart(fingerprint string) bool { return strings.HasPrefix(fingerprint, partPrefix) }

// NewTracker returns a tracker without crashes.
func NewTracker(retention time.Duration) *Tracker {
	// New fails only for a size that is not positive.
	requests, _ := lru.New[string, time.Time](maxTrackedHarmless)
	parts, _ := lru.New[string, time.Time](maxTrackedHarmless)
	cleared, _ := lru.New[string, struct{}](maxTrackedCleared)
	return &Tracker{
		Retention: retention, crashes: map[string]*crash{}, suspects: map[string]map[string]struct{}{},
		harmlessRequests: requests, harmlessParts: parts, cleared: cleared,
	}
}

// lastHarmless returns the cache for the last harmless run of a fingerprint.
func (t *Tracker) lastHarmless(fingerprint string) *lru.Cache[string, time.Time] {
	if isPart(fingerprint) {
		return t.harmlessParts
	}
	return t.harmlessRequests
}

// RecordHarmless records that requests with the given fingerprints ran without a crash,
// and returns those that were suspected until now. What crashes endpoints does so each
// time, so their earlier crashes had another cause.
func (t *Tracker) RecordHarmless(fingerprints []string, now time.Time) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range fingerprints {
		t.lastHarmless(f).Add(f, now)
		if len(t.suspects[f]) > 0 {
			cleared = append(cleared, f)
			t.cleared.Add(f, struct{}{})
			t.clear(f)
		}
	}
	return cleared
}

// Harmless returns those of the fingerprints that are known to be harmless.
func (t *Tracker) Harmless(fingerprints []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f string) bool { return !t.isHarmless(f, now) })
}

// NotHarmless returns those of the fingerprints that are not known to be harmless.
func (t *Tracker) NotHarmless(fingerprints []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f string) bool { return t.isHarmless(f, now) })
}

// isHarmless reports whether a fingerprint is known to be harmless; t.mu must be held.
func (t *Tracker) isHarmless(fingerprint string, now time.Time) bool {
	at, ok := t.lastHarmless(fingerprint).Get(fingerprint)
	return ok && now.Sub(at) <= t.Retention
}

// RecordCrash records a report and returns the fingerprints for which it is new: by its
// crash, its workspace or a shorter run. Those of harmless runs are ignored.
func (t *Tracker) RecordCrash(r Report, now time.Time) (recorded []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if now.Sub(r.CrashedAt) > t.Retention {
		return nil
	}
	for _, f := range r.Fingerprints {
		if t.isHarmless(f, now) {
			t.cleared.Add(f, struct{}{})
			continue
		}
		if t.add(f, r) {
			recorded = append(recorded, f)
		}
	}
	if t.entries > maxTrackedEntries {
		t.evict()
	}
	return recorded
}

// add records one fingerprint of a report and reports whether the report is new for it;
// t.mu must be held.
func (t *Tracker) add(fingerprint string, r Report) bool {
	c, ok := t.crashes[r.Crash]
	if !ok {
		c = &crash{at: r.CrashedAt, suspects: map[string]map[string]time.Duration{}}
		t.crashes[r.Crash] = c
	}
	if r.CrashedAt.Before(c.at) {
		c.at = r.CrashedAt
	}
	runs, known := c.suspects[fingerprint]
	if !known {
		runs = map[string]time.Duration{}
		c.suspects[fingerprint] = runs
		t.entries++
	}
	if t.suspects[fingerprint] == nil {
		t.suspects[fingerprint] = map[string]struct{}{}
	}
	t.suspects[fingerprint][r.Crash] = struct{}{}
	ran := r.CrashedAt.Sub(r.SentAt)
	if shortest, ok := runs[r.Workspace]; ok && shortest <= ran {
		return false
	}
	runs[r.Workspace] = ran
	return true
}

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
		if status > worst.Status || status == worst.Status && n > worst.Crashes {
			worst = Finding{Status: status, Fingerprint: f, Crashes: n}
		}
	}
	return worst
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

// BanOf returns the crashes of a fingerprint, with all fingerprints that cannot be told apart
// from it.
func (t *Tracker) BanOf(fingerprint string) Ban {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := t.suspects[fingerprint]
	var entries []entry
	for id := range ids {
		for f := range t.crashes[id].suspects {
			if len(t.suspects[f]) == len(ids) && containsAll(t.suspects[f], ids) {
				entries = append(entries, entry{crash: id, fingerprint: f, at: t.crashes[id].at})
			}
		}
	}
	return Ban{Fingerprint: fingerprint, Reports: t.reportsOf(entries)}
}

// reportsOf returns fingerprints and their crashes as reports; t.mu must be held.
func (t *Tracker) reportsOf(entries []entry) []Report {
	type key struct {
		crash, workspace string
		sentAt           time.Time
	}
	byKey := map[key]*Report{}
	var order []*Report
	for _, e := range entries {
		for workspace, ran := range t.crashes[e.crash].suspects[e.fingerprint] {
			sentAt := e.at.Add(-ran)
			k := key{e.crash, workspace, sentAt}
			r, ok := byKey[k]
			if !ok {
				r = &Report{Crash: e.crash, CrashedAt: e.at, SentAt: sentAt, Workspace: workspace}
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
		for w, ran := range c.suspects[fingerprint] {
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
