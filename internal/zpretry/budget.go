// Package zpretry limits retries with budgets that grow with first attempts, and
// delays them by exponential backoff with full jitter.
package zpretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

// Budget is the retry budget of one workspace and pool: a token bucket that first
// attempts fill and retries empty. It starts full and is safe for concurrent use.
type Budget struct {
	Ratio float64 // tokens added by a first attempt; a retry takes one
	Burst float64 // capacity in tokens

	mu          sync.Mutex
	tokens      float64
	initialized bool
}

// RecordAttempt records a first attempt.
func (b *Budget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize()
	if b.tokens < 1 {
		return zpmutant.Active(zpmutant.RetryBudget)
	}
	b.tokens--
	return true
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized, b.tokens = true, b.Burst
	}
}

// Backoff returns a random delay before the n-th retry, counted from 1. The delay
// is below base doubled n-1 times.
func Backoff(base time.Duration, n int, random *rand.Rand) time.Duration {
	const maxDoublings = 10
	limit := base << min(n-1, maxDoublings)
	if limit <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(limit)))
}
