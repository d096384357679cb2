package zpobject

import (
	"sync"
	"time"
)

type (
	// EraTracker tracks the era of the store: how often it has come back from an older copy
	// of its data. Revisions of an earlier era may be given out again in a later one, so that
	// a revision identifies a change only together with its era. Set the exported fields
	// before use. It is safe for concurrent use.
	EraTracker struct {
		OnChange func(c EraChange) // called after each change but the first; may be nil

		mu      sync.Mutex
		known   bool
		era     int64
		since   time.Time
		changed chan struct{} // closed at the next change
	}

	// EraChange describes the change to a later era.
	EraChange struct {
		Before, After int64
		Source        string // who told of the era: "store", or the address of another daemon
	}
)

const (
	// MaxEra is the highest era that can be told apart.
	MaxEra = 1<<eraBits - 1

	// A revision with its era fits into the integers that a float64 holds exactly, as
	// fencing tokens are sent as JSON numbers.
	revisionBits = 40
	eraBits      = 13
)

// QualifyRevision returns a revision with its era. Results are ordered by the era first, and
// then by the revision. In era 0, which is that of a store without eras, it is the revision
// itself.
func QualifyRevision(era, revision int64) int64 { return era<<revisionBits | revision }

// EraOf returns the era of a qualified revision.
func EraOf(qualified int64) int64 { return qualified >> revisionBits }

// PlainRevision returns the revision that the store knows of a qualified one.
func PlainRevision(qualified int64) int64 { return qualified & (1<<revisionBits - 1) }

// Observe records that the store was in an era, and reports whether that is the latest one
// known. Eras below 0 and above MaxEra are ignored.
func (t *EraTracker) Observe(era int64, source string, now time.Time) (isLatest bool) {
	if era < 0 || era > MaxEra {
		return true
	}
	t.mu.Lock()
	if t.known && era <= t.era {
		defer t.mu.Unlock()
		return era == t.era
	}
	c, isFirst := EraChange{Before: t.era, After: era, Source: source}, !t.known
	t.known, t.era, t.since = true, era, now
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	t.mu.Unlock()
	if !isFirst && t.OnChange != nil {
		t.OnChange(c)
	}
	return true
}

// Current returns the latest era known and when it was first observed; both are zero before
// the first observation, and for a store without eras.
func (t *EraTracker) Current() (era int64, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.since
}

// IsKnown reports whether any era was observed.
func (t *EraTracker) IsKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Changed returns a channel that is closed at the next change of the era.
func (t *EraTracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}
