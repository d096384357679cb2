// Package zphint remembers which endpoints and stores hold the cached blocks of a
// conversation. Entries are hints: a wrong one costs a cache miss, but never
// returns wrong data.
package zphint

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

type (
	// Kind tells whether a holder is an endpoint or a store.
	Kind int

	// Hint states that a holder has the first Blocks blocks of a prompt.
	Hint struct {
		Holder     string // name of the endpoint or store
		Kind       Kind
		Blocks     int
		Generation int64 // generation of the blocks if the holder is a store
		RecordedAt time.Time
	}

	// Table is an LRU cache of hints by conversation. It is safe for concurrent use.
	Table struct {
		mu      sync.Mutex
		entries *lru.Cache[Key, []Hint]
	}

	// Key identifies a conversation by the name of the first block of its prompt.
	Key = zpprefix.BlockName
)

// Kinds of holders.
const (
	KindEndpoint Kind = iota
	KindStore
)

const maxHintsPerKey = 6

// NewTable returns a table that holds up to capacity conversations.
func NewTable(capacity int) (*Table, error) {
	entries, err := lru.New[Key, []Hint](capacity)
	if err != nil {
		return nil, err
	}
	return &Table{entries: entries}, nil
}

// Put adds a hint and replaces an older one for the same holder. When a conversation
// has more than maxHintsPerKey hints, the one added longest ago is removed.
func (t *Table) Put(k Key, h Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, _ := t.entries.Get(k)
	kept := make([]Hint, 0, len(old)+1)
	kept = append(kept, h)
	for _, o := range old {
		if o.Holder != h.Holder && len(kept) < maxHintsPerKey {
			kept = append(kept, o)
		}
	}
	t.entries.Add(k, kept)
}

// Remove removes the hint of a conversation for one holder.
func (t *Table) Remove(k Key, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.entries.Get(k)
	if !ok {
		return
	}
	var kept []Hint
	for _, o := range old {
		if o.Holder != holder {
			kept = append(kept, o)
		}
	}
	t.entries.Add(k, kept)
}

// Get returns a copy of the hints of a conversation, the last added first.
func (t *Table) Get(k Key) []Hint {
	t.mu.Lock()
	defer t.mu.Unlock()
	hints, _ := t.entries.Get(k)
	return append([]Hint(nil), hints...)
}

// Len returns the number of conversations.
func (t *Table) Len() int { return t.entries.Len() }
