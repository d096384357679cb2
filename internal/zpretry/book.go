package zpretry

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2"
)

// Book keeps one budget for each workspace and pool. It is safe for concurrent
// use.
type Book struct {
	Ratio float64
	Burst float64

	mu      sync.Mutex
	budgets *lru.Cache[string, *Budget]
}

const budgetsKept = 4096

// Of returns the budget of a workspace and pool.
func (b *Book) Of(workspace, pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets == nil {
		// The size is a positive constant, so New cannot fail.
		b.budgets, _ = lru.New[string, *Budget](budgetsKept)
	}
	key := workspace + "\x00" + pool
	if budget, ok := b.budgets.Get(key); ok {
		return budget
	}
	budget := &Budget{Ratio: b.Ratio, Burst: b.Burst}
	b.budgets.Add(key, budget)
	return budget
}
