package zpretry

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2"
)

// Budgets holds one retry budget for each pair of workspace and pool. It is safe for
// concurrent use.
type Budgets struct {
	Ratio float64 // of each budget
	Burst float64 // of each budget

	mu      sync.Mutex
	budgets *lru.Cache[string, *Budget]
}

// maxBudgets bounds the memory; the least recently used budget is dropped.
const maxBudgets = 4096

// For returns the budget of a workspace and pool. A new budget starts full.
func (b *Budgets) For(workspace, pool string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets == nil {
		// New fails only for a size that is not positive.
		b.budgets, _ = lru.New[string, *Budget](maxBudgets)
	}
	key := workspace + "\x00" + pool
	if budget, ok := b.budgets.Get(key); ok {
		return budget
	}
	budget := &Budget{Ratio: b.Ratio, Burst: b.Burst}
	b.budgets.Add(key, budget)
	return budget
}
