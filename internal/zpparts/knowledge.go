package zpparts

import "time"

// Knowledge is what one daemon knows of some parts.
type Knowledge struct {
	Held   []Change
	Coming []Change // that an engine is about to read
	Saving []Change // to a store, by the store's name
}

// Recall returns what is known of parts. Parts in a store are left out unless
// its follower was heard lately: their news may have been lost.
func Recall(d *Directory, s *Stores, keys []Key, now time.Time) Knowledge {
	var k Knowledge
	for _, key := range keys {
		for holder, tokens := range d.Holders(key) {
			if _, isStore := StoreName(holder); isStore && !s.Readable(holder, now) {
				continue
			}
			k.Held = append(k.Held, Change{Holder: holder, Key: key, Tokens: tokens})
		}
		k.Coming = append(k.Coming, d.Coming(key, now)...)
		k.Saving = append(k.Saving, s.Saving(key, now)...)
	}
	return k
}

// Learn replaces what was known of parts by what their owner knows. Reads that
// are expected are added, as this daemon's own may not have reached the owner.
func Learn(d *Directory, s *Stores, keys []Key, k Knowledge, now, comingUntil time.Time) {
	for _, key := range keys {
		d.Replace(key, k.Held)
	}
	for _, c := range k.Coming {
		d.Expect(c, now, comingUntil)
	}
	for _, c := range k.Saving {
		if !s.IsSaving(c.Holder, c.Key, now) {
			s.BeginSave(c, now)
		}
	}
}
