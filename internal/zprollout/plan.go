package zprollout

import (
	"sort"
	"time"
)

type (
	// Engine is an engine as the holder of the duty sees it.
	Engine struct {
		ID      string
		Model   string
		Weights int64 // that it has
		Load    int   // requests that run there
		// Replaced is for how long newer weights have been named.
		Replaced time.Duration
	}

	// Change follows the orders to one engine. It is not safe for concurrent use.
	Change struct {
		Target    int64
		Accepted  bool
		OrderedAt time.Time // of the newest order
		NextAt    time.Time // not before then is anything done
	}

	// Timing of a rollout.
	Timing struct {
		Poll  time.Duration // pause between looks at an engine that is changing
		Again time.Duration // after which an order without effect is given again
	}
)

const (
	// minimalChanging is how many engines load weights at a time without slowing
	// each other.
	minimalChanging = 2
	// firstShare is the part of the engines that change at a time at first. Some
	// of them finish their runs while others load.
	firstShare = 0.4
	// lateAfter is the time since the naming from which more and more engines
	// change at a time; at lateAll all of them may.
	lateAfter = 5 * time.Second
	lateAll   = 7 * time.Second
)

// MaxChanging returns how many of so many engines may change at a time when
// the oldest weights among them were replaced that long ago.
func MaxChanging(engines int, age time.Duration) int {
	share := firstShare
	if age > lateAfter {
		share += (1 - firstShare) * min(float64(age-lateAfter)/float64(lateAll-lateAfter), 1)
	}
	return max(minimalChanging, int(share*float64(engines)+0.5))
}

// Pick returns the engines whose change should begin now: those with the least
// load first, within the number that may change at a time.
func Pick(engines []Engine, targets map[string]int64, changing map[string]*Change) []Engine {
	var behind []Engine
	oldest := time.Duration(0)
	for _, e := range engines {
		oldest = max(oldest, e.Replaced)
		if _, begun := changing[e.ID]; !begun && e.Weights < targets[e.Model] {
			behind = append(behind, e)
		}
	}
	sort.Slice(behind, func(i, j int) bool {
		if behind[i].Load != behind[j].Load {
			return behind[i].Load < behind[j].Load
		}
		return behind[i].ID < behind[j].ID
	})
	free := max(MaxChanging(len(engines), oldest)-len(changing), 0)
	return behind[:min(free, len(behind))]
}

// Behind reports whether any engine lacks the named weights.
func Behind(engines []Engine, targets map[string]int64) bool {
	for _, e := range engines {
		if e.Weights < targets[e.Model] {
			return true
		}
	}
	return false
}
