// Package zpparts tracks which engines and KV cache stores hold which parts of
// prompts. Entries for engines are hints: a part that is no longer in the cache
// is prefilled again. Entries for stores are exact: a part is listed only while
// it is complete and will not be freed.
package zpparts

import (
	"maps"
	"sync"
	"time"
)

type (
	// Key identifies a part together with the salt of its cache entry.
	Key struct {
		Salt string
		Part string
	}

	// Change is an update about one part at one holder. Zero tokens mean that the
	// holder no longer has the part.
	Change struct {
		Holder string // id of an engine, or holder name of a store
		Key    Key
		Tokens int
	}

	// Directory maps parts to holders. It is safe for concurrent use.
	Directory struct {
		MaxPerHolder int // maximum number of entries per holder; 0 means no limit

		mu      sync.Mutex
		parts   map[Key]map[string]int // tokens by holder
		holders map[string]*holder
	}

	holder struct {
		lastUpdated map[Key]uint64 // value of clock at the last update of each entry
		clock       uint64
		expected    map[Key]time.Time // parts about to be prefilled, with their expiry
	}
)

// expectedPerEngine is the number of expected parts of an engine above which the
// expired ones are removed.
const expectedPerEngine = 256

// NewDirectory returns an empty directory with a maximum number of entries per
// holder.
func NewDirectory(limit int) *Directory {
	return &Directory{MaxPerHolder: limit, parts: map[Key]map[string]int{}, holders: map[string]*holder{}}
}

// Apply applies a change and reports whether it modified the directory.
func (d *Directory) Apply(c Change) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Tokens <= 0 {
		return d.remove(c.Holder, c.Key)
	}
	return d.add(c)
}

// Replace replaces all holders of a part.
func (d *Directory) Replace(key Key, held []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.parts[key] {
		delete(d.holders[name].lastUpdated, key)
		d.unlink(name, key)
	}
	for _, c := range held {
		if c.Key == key && c.Tokens > 0 {
			d.add(c)
		}
	}
}

// Lookup returns the tokens of a part by holder, and the engines that are about to
// prefill it.
func (d *Directory) Lookup(key Key, now time.Time) (held map[string]int, coming map[string]bool) {
	held, coming = d.Holders(key), map[string]bool{}
	for _, c := range d.Expected(key, now) {
		coming[c.Holder] = true
	}
	return held, coming
}

// Expected lists the engines that are about to prefill a part.
func (d *Directory) Expected(key Key, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Change
	for name, h := range d.holders {
		if until, ok := h.expected[key]; ok && now.Before(until) {
			out = append(out, Change{Holder: name, Key: key})
		}
	}
	return out
}

// Expect records that an engine is about to prefill a part. Until the engine is
// known to hold the part, other prompts that contain it are best sent to the
// same engine.
func (d *Directory) Expect(c Change, now, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[c.Holder]
	if !ok {
		h = &holder{lastUpdated: map[Key]uint64{}, expected: map[Key]time.Time{}}
		d.holders[c.Holder] = h
	}
	if _, has := h.lastUpdated[c.Key]; has {
		return
	}
	if len(h.expected) >= expectedPerEngine {
		maps.DeleteFunc(h.expected, func(_ Key, until time.Time) bool { return !now.Before(until) })
	}
	h.expected[c.Key] = until
}

// IsExpected reports whether an engine is about to prefill a part.
func (d *Directory) IsExpected(name string, key Key, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[name]
	if !ok {
		return false
	}
	until, expected := h.expected[key]
	if expected && !now.Before(until) {
		delete(h.expected, key)
		expected = false
	}
	return expected
}

// Forget removes a holder and all its entries.
func (d *Directory) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[name]
	if !ok {
		return
	}
	for key := range h.lastUpdated {
		d.unlink(name, key)
	}
	delete(d.holders, name)
}

// Tokens returns the number of tokens of a part that a holder has.
func (d *Directory) Tokens(name string, key Key) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parts[key][name]
}

// Holders returns the tokens of a part by holder.
func (d *Directory) Holders(key Key) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int, len(d.parts[key]))
	for name, n := range d.parts[key] {
		out[name] = n
	}
	return out
}

// IsHeld reports whether any holder of a part is known.
func (d *Directory) IsHeld(key Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.parts[key]) > 0
}

// HeldBy lists the parts that a holder has.
func (d *Directory) HeldBy(name string) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[name]
	if !ok {
		return nil
	}
	out := make([]Change, 0, len(h.lastUpdated))
	for key := range h.lastUpdated {
		out = append(out, Change{Holder: name, Key: key, Tokens: d.parts[key][name]})
	}
	return out
}

// Len returns the number of entries.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, h := range d.holders {
		n += len(h.lastUpdated)
	}
	return n
}

func (d *Directory) add(c Change) bool {
	h, ok := d.holders[c.Holder]
	if !ok {
		h = &holder{lastUpdated: map[Key]uint64{}, expected: map[Key]time.Time{}}
		d.holders[c.Holder] = h
	}
	delete(h.expected, c.Key)
	h.clock++
	h.lastUpdated[c.Key] = h.clock
	holders, ok := d.parts[c.Key]
	if !ok {
		holders = map[string]int{}
		d.parts[c.Key] = holders
	}
	changed := holders[c.Holder] != c.Tokens
	holders[c.Holder] = c.Tokens
	if d.MaxPerHolder > 0 && len(h.lastUpdated) > d.MaxPerHolder {
		d.evict(c.Holder, h)
	}
	return changed
}

// evict removes the least recently updated entries of a holder. At most seven
// eighths of the limit remain.
func (d *Directory) evict(name string, h *holder) {
	threshold := h.clock - uint64(d.MaxPerHolder-d.MaxPerHolder/8)
	for key, updated := range h.lastUpdated {
		if updated <= threshold {
			delete(h.lastUpdated, key)
			d.unlink(name, key)
		}
	}
}

func (d *Directory) remove(name string, key Key) bool {
	h, ok := d.holders[name]
	if !ok {
		return false
	}
	if _, ok := h.lastUpdated[key]; !ok {
		return false
	}
	delete(h.lastUpdated, key)
	d.unlink(name, key)
	return true
}

func (d *Directory) unlink(name string, key Key) {
	holders := d.parts[key]
	delete(holders, name)
	if len(holders) == 0 {
		delete(d.parts, key)
	}
}
