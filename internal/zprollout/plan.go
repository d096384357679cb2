package zprollout

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Engine is an engine as the holder of the duty sees it.
	Engine struct {
		ID      string
		Model   string
		Weights int64 // that it has
		Load    int   // requests that run there
		Domain  string
		Expired bool // it receives no requests until its weights are changed
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
	// smallShare is the part of a dozen engines that change at a time. Some of them
	// finish their runs while others load.
	smallShare = 0.4
	// smallChanging is how many of a dozen that are; beyond it largeShare holds.
	smallChanging = 5
	// largeShare is the part of a large pool that changes at a time. Engines load
	// more slowly when over a fifth of a large pool does so.
	largeShare = 0.25
)

// MaxChanging returns how many of so many engines may change at a time.
func MaxChanging(engines int) int {
	small := int(smallShare*float64(engines) + 0.5)
	large := int(largeShare*float64(engines) + 0.5)
	return max(minimalChanging, min(small, max(smallChanging, large)))
}

// Pick returns the engines whose change should begin now, within the number
// that may change at a time: those with the oldest weights first, then those of
// the failure domain in which the fewest are changing, then the least loaded.
// Engines that receive no requests for their old weights are changed at once.
func Pick(engines []Engine, targets map[string]int64, changing map[string]*Change) []Engine {
	var out, behind []Engine
	busy := map[string]int{} // changing engines by failure domain
	for _, e := range engines {
		_, begun := changing[e.ID]
		switch {
		case begun:
			busy[e.Domain]++
		case e.Weights >= targets[e.Model]:
		case e.Expired:
			out = append(out, e)
		default:
			behind = append(behind, e)
		}
	}
	for free := MaxChanging(len(engines)) - len(changing) - len(out); free > 0 && len(behind) > 0; free-- {
		next := 0
		for i := range behind {
			if before(behind[i], behind[next], busy) {
				next = i
			}
		}
		busy[behind[next].Domain]++
		out = append(out, behind[next])
		behind = slices.Delete(behind, next, next+1)
	}
	return out
}

func before(a, b Engine, busy map[string]int) bool {
	return cmp.Or(
		cmp.Compare(a.Weights, b.Weights),
		cmp.Compare(busy[a.Domain], busy[b.Domain]),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.ID, b.ID),
	) < 0
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
