// Package zphint remembers where the blocks of returning prompts are. Entries
// are hints: a wrong one costs a cache miss, never a wrong read.
package zphint

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

type (
	// Kind is the kind of place that holds blocks.
	Kind int

	// Hint says that a place holds the first Blocks blocks of a prompt.
	Hint struct {
		Place      string // name of the endpoint or store
		Kind       Kind
		Blocks     int
		Generation int64 // of the blocks in a store
		At         time.Time
	}

	// Table holds hints by conversation. It is safe for concurrent use.
	Table struct {
		mu      sync.Mutex
		entries *lru.Cache[Key, []Hint]
	}

	// Key names a conversation: the name of its first block.
	Key = zpprefix.Name
)

// Kinds of places.
const (
	KindEndpoint Kind = iota
	KindStore
)

const hintsPerKey = 6

// NewTable returns a table for so many conversations.
func NewTable(capacity int) (*Table, error) {
	entries, err := lru.New[Key, []Hint](capacity)
	if err != nil {
		return nil, err
	}
	return &Table{entries: entries}, nil
}

// Put records a hint in place of an older one of the same place.
func (t *Table) Put(k Key, h Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, _ := t.entries.Get(k)
	kept := make([]Hint, 0, len(old)+1)
	kept = append(kept, h)
	for _, o := range old {
		if o.Place != h.Place && len(kept) < hintsPerKey {
			kept = append(kept, o)
		}
	}
	t.entries.Add(k, kept)
}

// Drop removes the hint of one place.
func (t *Table) Drop(k Key, place string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.entries.Get(k)
	if !ok {
		return
	}
	var kept []Hint
	for _, o := range old {
		if o.Place != place {
			kept = append(kept, o)
		}
	}
	t.entries.Add(k, kept)
}

// Get returns the hints of a conversation, newest first.
func (t *Table) Get(k Key) []Hint {
	t.mu.Lock()
	defer t.mu.Unlock()
	hints, _ := t.entries.Get(k)
	return append([]Hint(nil), hints...)
}

// Len returns the number of conversations.
func (t *Table) Len() int { return t.entries.Len() }
