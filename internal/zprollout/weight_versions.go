// Package zprollout rolls out weight versions to engines. It tracks the target
// version of each model and the engines that are loading weights, and orders
// engines to load the target version.
package zprollout

import (
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
		versions     map[string][]versionEntry // by model, in ascending order
		loadingUntil map[string]time.Time      // engines that are loading weights, with the latest end
	}

	// versionEntry is a target version and the time when this daemon learned of it.
	versionEntry struct {
		version int64
		at      time.Time
	}
)

// versionsKept is the maximum number of target versions kept per model.
const versionsKept = 16

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
	list := append(b.versions[model], versionEntry{version, now})
	b.versions[model] = list[max(len(list)-versionsKept, 0):]
	return true
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
