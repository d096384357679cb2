// Package zpparts remembers which engine or store of KV cache holds which parts
// of prompts. Entries for engines are hints: a part that is no longer there is
// read again. Entries for stores are exact: a part is listed only while it is
// whole and will not be freed.
package zpparts

import (
	"maps"
	"sync"
	"time"
)

type (
	// Key names a part under the salt with which it was made.
	Key struct {
		Salt string
		Part string
	}

	// Change is news about one part at one holder; no tokens mean that it is gone.
	Change struct {
		Holder string // id of an engine, or name of a store
		Key    Key
		Tokens int
	}

	// Directory maps parts to holders. It is safe for concurrent use.
	Directory struct {
		Limit int // entries kept for each holder

		mu      sync.Mutex
		parts   map[Key]map[string]int // tokens by holder
		holders map[string]*holder
	}

	holder struct {
		keys   map[Key]uint64 // last use
		clock  uint64
		coming map[Key]time.Time // parts that are being read, until when at most
	}
)

// comingLimit is how many expected parts of an engine are kept before those that
// never came are dropped.
const comingLimit = 256

// NewDirectory returns an empty directory.
func NewDirectory(limit int) *Directory {
	return &Directory{Limit: limit, parts: map[Key]map[string]int{}, holders: map[string]*holder{}}
}

// Apply takes over one change and reports whether it was news.
func (d *Directory) Apply(c Change) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Tokens <= 0 {
		return d.remove(c.Holder, c.Key)
	}
	return d.add(c)
}

// Replace takes over all that is known of the holders of a part.
func (d *Directory) Replace(key Key, held []Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.parts[key] {
		delete(d.holders[name].keys, key)
		d.unlink(name, key)
	}
	for _, c := range held {
		if c.Key == key && c.Tokens > 0 {
			d.add(c)
		}
	}
}

// Look returns the tokens of a part by holder, and the engines that are about to
// read it.
func (d *Directory) Look(key Key, now time.Time) (held map[string]int, coming map[string]bool) {
	held, coming = d.Holders(key), map[string]bool{}
	for _, c := range d.Coming(key, now) {
		coming[c.Holder] = true
	}
	return held, coming
}

// Coming lists the engines that are about to read a part.
func (d *Directory) Coming(key Key, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Change
	for name, h := range d.holders {
		if until, ok := h.coming[key]; ok && now.Before(until) {
			out = append(out, Change{Holder: name, Key: key})
		}
	}
	return out
}

// Expect notes that an engine is about to read a part. Until the part is known
// to be there, another prompt with it is best sent to the same engine.
func (d *Directory) Expect(c Change, now, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[c.Holder]
	if !ok {
		h = &holder{keys: map[Key]uint64{}, coming: map[Key]time.Time{}}
		d.holders[c.Holder] = h
	}
	if _, has := h.keys[c.Key]; has {
		return
	}
	if len(h.coming) >= comingLimit {
		maps.DeleteFunc(h.coming, func(_ Key, until time.Time) bool { return !now.Before(until) })
	}
	h.coming[c.Key] = until
}

// IsExpected reports whether an engine is about to read a part.
func (d *Directory) IsExpected(name string, key Key, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[name]
	if !ok {
		return false
	}
	until, coming := h.coming[key]
	if coming && !now.Before(until) {
		delete(h.coming, key)
		coming = false
	}
	return coming
}

// Forget drops everything that a holder held.
func (d *Directory) Forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[name]
	if !ok {
		return
	}
	for key := range h.keys {
		d.unlink(name, key)
	}
	delete(d.holders, name)
}

// Tokens returns how much of a part a holder has.
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

// HeldBy lists what a holder has.
func (d *Directory) HeldBy(name string) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.holders[name]
	if !ok {
		return nil
	}
	out := make([]Change, 0, len(h.keys))
	for key := range h.keys {
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
		n += len(h.keys)
	}
	return n
}

func (d *Directory) add(c Change) bool {
	h, ok := d.holders[c.Holder]
	if !ok {
		h = &holder{keys: map[Key]uint64{}, coming: map[Key]time.Time{}}
		d.holders[c.Holder] = h
	}
	delete(h.coming, c.Key)
	h.clock++
	h.keys[c.Key] = h.clock
	by, ok := d.parts[c.Key]
	if !ok {
		by = map[string]int{}
		d.parts[c.Key] = by
	}
	news := by[c.Holder] != c.Tokens
	by[c.Holder] = c.Tokens
	if d.Limit > 0 && len(h.keys) > d.Limit {
		d.evict(c.Holder, h)
	}
	return news
}

// evict drops the least recently used eighth of a holder's entries.
func (d *Directory) evict(name string, h *holder) {
	threshold := h.clock - uint64(d.Limit-d.Limit/8)
	for key, used := range h.keys {
		if used <= threshold {
			delete(h.keys, key)
			d.unlink(name, key)
		}
	}
}

func (d *Directory) remove(name string, key Key) bool {
	h, ok := d.holders[name]
	if !ok {
		return false
	}
	if _, ok := h.keys[key]; !ok {
		return false
	}
	delete(h.keys, key)
	d.unlink(name, key)
	return true
}

func (d *Directory) unlink(name string, key Key) {
	by := d.parts[key]
	delete(by, name)
	if len(by) == 0 {
		delete(d.parts, key)
	}
}
