package zpspeed

import (
	"math"
	"time"
)

// memory estimates for how long a word about the speed of an endpoint holds, from pairs of
// words of the same endpoint. If the speed returns to usual at a constant rate, the second
// deviation is on average the first one times exp(-gap/life).
type memory struct {
	kept   float64 // sum of the products of both deviations
	before float64 // sum of the squares of the first deviation
	gap    float64 // sum of the squares times the gap, in seconds
}

const (
	// usualLife holds until pairs say otherwise. Other work on a VM comes in bursts of
	// about half a second.
	usualLife = 500 * time.Millisecond
	minLife   = 100 * time.Millisecond
	maxLife   = 2 * time.Second
	// maxGap is the longest gap of a pair. After a longer one little of the first word is
	// left to be seen.
	maxGap = time.Second
	// priorWeight is the weight of usualLife, as the sum of squares of that many pairs with
	// a deviation of 1, and priorGap their gap in seconds.
	priorWeight = 8
	priorGap    = 0.3
	// maxWeight is the weight above which old pairs fade.
	maxWeight = 200
)

func newMemory() memory {
	return memory{kept: priorWeight * math.Exp(-priorGap/usualLife.Seconds()), before: priorWeight, gap: priorWeight * priorGap}
}

// learn adds a pair of words: the deviation of each and the time between them.
func (m *memory) learn(first, second float64, gap time.Duration) {
	if first <= 0 || gap <= 0 || gap > maxGap {
		return
	}
	weight := first * first
	m.kept += first * second
	m.before += weight
	m.gap += weight * gap.Seconds()
	if m.before > maxWeight {
		m.kept, m.before, m.gap = m.kept/2, m.before/2, m.gap/2
	}
}

// life returns the time after which 1/e of a deviation is left.
func (m *memory) life() time.Duration {
	share := m.kept / m.before
	if share <= 0 {
		return minLife
	}
	if share >= 1 {
		return maxLife
	}
	seconds := -m.gap / m.before / math.Log(share)
	return min(max(time.Duration(seconds*float64(time.Second)), minLife), maxLife)
}

// remains returns the share of a deviation that is left after an age.
func remains(age, life time.Duration) float64 { return math.Exp(-age.Seconds() / life.Seconds()) }
