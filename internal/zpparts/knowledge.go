package zpparts

import "time"

// Knowledge is the state of some parts as one daemon knows it.
type Knowledge struct {
	Held     []Change
	Expected []Change // parts that an engine is about to prefill
	Saving   []Change // parts being saved; Holder is the name of the store
}

// Collect returns the known state of parts. It omits parts in a store whose state
// is out of date, since updates about them may have been lost.
func Collect(d *Directory, s *Stores, keys []Key, now time.Time) Knowledge {
	var k Knowledge
	for _, key := range keys {
		for holder, tokens := range d.Holders(key) {
			if _, isStore := StoreName(holder); isStore && !s.Readable(holder, now) {
				continue
			}
			k.Held = append(k.Held, Change{Holder: holder, Key: key, Tokens: tokens})
		}
		k.Expected = append(k.Expected, d.Expected(key, now)...)
		k.Saving = append(k.Saving, s.Saving(key, now)...)
	}
	return k
}

// Merge replaces the known holders of parts by those that their owner knows.
// Expected parts are added and not replaced, because the owner may not have
// received those of this daemon yet.
func Merge(d *Directory, s *Stores, keys []Key, k Knowledge, now, expectedUntil time.Time) {
	for _, key := range keys {
		d.Replace(key, k.Held)
	}
	for _, c := range k.Expected {
		d.Expect(c, now, expectedUntil)
	}
	for _, c := range k.Saving {
		if !s.IsSaving(c.Holder, c.Key, now) {
			s.BeginSave(c, now)
		}
	}
}
