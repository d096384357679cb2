package zprollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

type (
	// Engine is the state of an engine and of one of its models as known to the holder of
	// the duty. An engine of several models is listed once for each.
	Engine struct {
		ID             string
		Pool           string
		Model          string
		Weights        int64 // version that it has loaded
		Load           int   // running requests
		Domain         string
		WeightsExpired bool          // receives no requests until it loads newer weights
		ExpiresIn      time.Duration // until its weights expire; zero if never, or if they have expired
	}

	// Change tracks the orders to one engine to load weights of one model. It is not safe
	// for concurrent use.
	Change struct {
		Model     string
		Target    int64
		Accepted  bool
		OrderedAt time.Time // time of the latest order
		NotBefore time.Time // earliest time of the next report or order
	}

	// Timing holds the intervals of a rollout.
	Timing struct {
		PollInterval time.Duration // interval between reports of an engine that is loading weights
		RepeatDelay  time.Duration // delay after which an order without effect is repeated
	}
)

const (
	// minChanging is the number of engines that can load weights at a time without
	// slowing each other down.
	minChanging = 2
	// smallPoolFraction is the fraction of about a dozen engines that may change at
	// a time. Some of them still finish their runs while others load weights.
	smallPoolFraction = 0.4
	// smallPoolMaxChanging is smallPoolFraction of a dozen engines. Above it,
	// largePoolFraction applies.
	smallPoolMaxChanging = 5
	// largePoolFraction is the fraction of a large pool that may change at a time.
	// Engines load more slowly when over a fifth of a large pool does so at once.
	largePoolFraction = 0.25
	// usualChangeTime is the usual time from an order until the weights are loaded. Most
	// of it is spent on the runs that the engine finishes first.
	usualChangeTime = 3 * time.Second
)

// MaxChanging returns how many of the given number of engines may change at a
// time.
func MaxChanging(engines int) int {
	small := int(smallPoolFraction*float64(engines) + 0.5)
	large := int(largePoolFraction*float64(engines) + 0.5)
	return max(minChanging, min(small, max(smallPoolMaxChanging, large)))
}

// pacedLimit returns how many engines have to change at a time so that all outdated
// ones are ordered before the weights of the first expire. Otherwise the rest of a pool
// would stop to receive requests at the same time.
//
// It answers a change that begins late or whose engines have long runs to finish.
func pacedLimit(outdated []Engine) int {
	left := time.Duration(0)
	for _, e := range outdated {
		if e.ExpiresIn > 0 && (left == 0 || e.ExpiresIn < left) {
			left = e.ExpiresIn
		}
	}
	if left == 0 {
		return 0
	}
	rounds := 1 + float64(left)/float64(usualChangeTime)
	return int(math.Ceil(float64(len(outdated)) / rounds))
}

// Pick returns the engines whose change should start now, each with the model to
// change, up to the number that may change at a time. It prefers the oldest weights,
// then the failure domain with the fewest changing engines, then the lowest load.
// Engines whose weights have expired receive no requests, so the limit does not apply
// to them. An engine changes one model at a time. Each pool has a limit of its own: that of
// all engines together could take out a small pool at once.
func Pick(engines []Engine, targets map[string]int64, changing map[string]*Change) []Engine {
	pools := map[string][]Engine{}
	for _, e := range engines {
		pools[e.Pool] = append(pools[e.Pool], e)
	}
	var out []Engine
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		out = append(out, pickInPool(pools[name], targets, changing)...)
	}
	return out
}

func pickInPool(engines []Engine, targets map[string]int64, changing map[string]*Change) []Engine {
	var out, outdated []Engine
	inProgress := 0
	changingByDomain := map[string]int{} // number of engines
	known, picked := map[string]bool{}, map[string]bool{}
	for _, e := range engines {
		_, started := changing[e.ID]
		switch {
		case started && !known[e.ID]:
			changingByDomain[e.Domain]++
			inProgress++
		case started || e.Weights >= targets[e.Model] || picked[e.ID]:
		case e.WeightsExpired:
			picked[e.ID] = true
			out = append(out, e)
		default:
			outdated = append(outdated, e)
		}
		known[e.ID] = true
	}
	outdated = withoutPicked(outdated, picked)
	limit := max(MaxChanging(len(known)), pacedLimit(outdated))
	for free := limit - inProgress - len(out); free > 0 && len(outdated) > 0; free-- {
		next := outdated[0]
		for _, e := range outdated {
			if before(e, next, changingByDomain) {
				next = e
			}
		}
		changingByDomain[next.Domain]++
		picked[next.ID] = true
		out = append(out, next)
		outdated = withoutPicked(outdated, picked)
	}
	return out
}

func withoutPicked(engines []Engine, picked map[string]bool) []Engine {
	return slices.DeleteFunc(engines, func(e Engine) bool { return picked[e.ID] })
}

func before(a, b Engine, changingByDomain map[string]int) bool {
	return cmp.Or(
		cmp.Compare(a.Weights, b.Weights),
		cmp.Compare(changingByDomain[a.Domain], changingByDomain[b.Domain]),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.Model, b.Model),
	) < 0
}

// AnyOutdated reports whether any engine has an older version than the target.
func AnyOutdated(engines []Engine, targets map[string]int64) bool {
	for _, e := range engines {
		if e.Weights < targets[e.Model] {
			return true
		}
	}
	return false
}
