// Package zpretry bounds retries: a budget that grows with first attempts, and
// backoff with full jitter.
package zpretry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

// Budget is the retry budget of one workspace and pool. It is safe for
// concurrent use.
type Budget struct {
	Ratio float64 // retries earned by one first attempt
	Burst float64 // retries that may be saved up

	mu    sync.Mutex
	saved float64
	begun bool
}

// Attempt notes a first attempt.
func (b *Budget) Attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.saved = min(b.saved+b.Ratio, b.Burst)
}

// Take uses up one retry, if there is one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	if b.saved < 1 {
		return zpmutant.Active(zpmutant.RetryBudget)
	}
	b.saved--
	return true
}

func (b *Budget) begin() {
	if !b.begun {
		b.begun, b.saved = true, b.Burst
	}
}

// Backoff returns a random wait before the n-th retry, n from 1: up to base
// doubled n-1 times.
func Backoff(base time.Duration, n int, random *rand.Rand) time.Duration {
	const maxDoublings = 10
	top := base << min(n-1, maxDoublings)
	if top <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(top)))
}
