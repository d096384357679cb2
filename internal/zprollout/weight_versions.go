// Package zprollout rolls out weight versions to engines. It tracks the target
// version of each model and the engines that are loading weights, and orders
// engines to load the target version.
package zprollout

import (
	"slices"
	"sync"
	"time"
)

type (
	// WeightVersions tracks the target weight versions as known to a daemon, and the engines
	// that are loading weights. It is safe for concurrent use.
	WeightVersions struct {
		// GracePeriod is how long requests may still start on an older version after a
		// newer one became the target; 0 means no limit.
		GracePeriod time.Duration

		mu           sync.Mutex
		listed       bool                      // the target versions were read at least once
		versions     map[string][]versionEntry // by model, in ascending order
		loadingUntil map[string]time.Time      // engines that are loading weights, with the latest end
	}

	// versionEntry is a target version and the time when it became the target, as far
	// as this daemon knows.
	versionEntry struct {
		version   int64
		at        time.Time
		estimated bool // the version was the target already when this daemon started
	}

	// Target is a recent target version of a model as daemons tell it each other.
	Target struct {
		Model     string
		Version   int64
		Age       time.Duration // since the version became the target
		Estimated bool          // the age is an estimate; see SetInitialTarget
	}
)

const (
	// versionsKept is the maximum number of target versions kept per model.
	versionsKept = 16
	// initialGracePeriod is how long requests may still start on an older version
	// after a daemon has started, unless another daemon knows when it was replaced.
	initialGracePeriod = 2 * time.Second
)

// NewWeightVersions returns a WeightVersions without targets.
func NewWeightVersions(limit time.Duration) *WeightVersions {
	return &WeightVersions{GracePeriod: limit, versions: map[string][]versionEntry{}, loadingUntil: map[string]time.Time{}}
}

// SetTarget sets the target version of a model and reports whether it changed. A
// version that is not higher than the present target is ignored.
func (b *WeightVersions) SetTarget(model string, version int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.newest(model) {
		return false
	}
	b.insert(model, versionEntry{version: version, at: now})
	return true
}

// SetInitialTarget sets the target version of a model that this daemon found when it
// started, and reports whether it changed. The daemon does not know for how long the
// version has been the target, so only initialGracePeriod is left to older versions:
// otherwise each restart would prolong the grace period.
func (b *WeightVersions) SetInitialTarget(model string, version int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.newest(model) {
		return false
	}
	b.insert(model, versionEntry{version: version, at: now.Add(min(initialGracePeriod-b.GracePeriod, 0)), estimated: true})
	return true
}

// MergeTarget takes over what another daemon knows of a target, and reports whether it
// is a new target. A daemon that was restarted, paused or cut off thereby learns when a
// version became the target. Between two measured ages the older counts, because the
// other daemon may have learned of the version late.
func (b *WeightVersions) MergeTarget(t Target, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isNew := t.Version > b.newest(t.Model)
	theirs := versionEntry{version: t.Version, at: now.Add(-t.Age), estimated: t.Estimated}
	for i, mine := range b.versions[t.Model] {
		if mine.version != t.Version {
			continue
		}
		if mine.estimated && !theirs.estimated || mine.estimated == theirs.estimated && theirs.at.Before(mine.at) {
			b.versions[t.Model][i] = theirs
		}
		return false
	}
	b.insert(t.Model, theirs)
	return isNew
}

// insert adds an entry of a version that has none. The lock must be held.
func (b *WeightVersions) insert(model string, e versionEntry) {
	list := b.versions[model]
	i := len(list)
	for i > 0 && list[i-1].version > e.version {
		i--
	}
	list = slices.Insert(list, i, e)
	b.versions[model] = list[max(len(list)-versionsKept, 0):]
}

// Recent returns the targets that are younger than the grace period. The age of an
// older one makes no difference to a daemon that does not know it.
func (b *WeightVersions) Recent(now time.Time) []Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Target
	for model, list := range b.versions {
		for _, e := range list {
			if age := now.Sub(e.at); age < b.GracePeriod {
				out = append(out, Target{Model: model, Version: e.version, Age: age, Estimated: e.estimated})
			}
		}
	}
	return out
}

// SetListed records that the target versions were read.
func (b *WeightVersions) SetListed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = true
}

// HasSynced reports whether the target versions were read at least once. Before that,
// a request could be sent to an engine whose weights were replaced long ago.
func (b *WeightVersions) HasSynced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed
}

// Target returns the target version of a model, or 0 if there is none.
func (b *WeightVersions) Target(model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.newest(model)
}

// Targets returns the target versions of all models.
func (b *WeightVersions) Targets() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int64, len(b.versions))
	for model := range b.versions {
		out[model] = b.newest(model)
	}
	return out
}

// ReplacedFor returns the time since a version of a model was replaced by a newer
// one, or 0 if it is the newest.
func (b *WeightVersions) ReplacedFor(model string, version int64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.versions[model] {
		if n.version > version {
			return now.Sub(n.at)
		}
	}
	return 0
}

// Expired reports whether requests may no longer start on a version.
func (b *WeightVersions) Expired(model string, version int64, now time.Time) bool {
	return b.GracePeriod > 0 && b.ReplacedFor(model, version, now) >= b.GracePeriod
}

// ExpiresIn returns the time until a version expires, or 0 if it has expired or is not
// replaced.
func (b *WeightVersions) ExpiresIn(model string, version int64, now time.Time) time.Duration {
	replaced := b.ReplacedFor(model, version, now)
	if replaced == 0 {
		return 0
	}
	return max(b.GracePeriod-replaced, 0)
}

// SetChanging records that an engine receives no requests until its weights are
// loaded, or until the given time at the latest. A zero time removes the record.
func (b *WeightVersions) SetChanging(endpoint string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.IsZero() {
		delete(b.loadingUntil, endpoint)
		return
	}
	b.loadingUntil[endpoint] = until
}

// Loaded ends the change of an engine that has the newest weights of all its
// models. The daemon that ordered the change may be unable to announce its end.
func (b *WeightVersions) Loaded(endpoint string, weights map[string]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for model, version := range weights {
		if version < b.newest(model) {
			return
		}
	}
	delete(b.loadingUntil, endpoint)
}

// Changing reports whether an engine is loading weights.
func (b *WeightVersions) Changing(endpoint string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.loadingUntil[endpoint]
	if ok && !now.Before(until) {
		delete(b.loadingUntil, endpoint)
		ok = false
	}
	return ok
}

func (b *WeightVersions) newest(model string) int64 {
	list := b.versions[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}
