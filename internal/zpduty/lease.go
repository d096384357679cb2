// Package zpduty gives an exclusive duty to one daemon at a time, through one
// object of the store. A daemon takes the duty only while there is work, and
// gives it up afterwards, so that an idle fleet makes no calls.
package zpduty

import (
	"encoding/json"
	"fmt"
	"time"
)

type (
	// Record is the value of the duty's object.
	Record struct {
		Holder   string
		Renewal  int64 // changes with each renewal, so that each changes the object
		Released bool
	}

	// Timing holds the times that all daemons agree on.
	Timing struct {
		Validity time.Duration // of a renewal, from its start
		Renew    time.Duration // pause between renewals
		Turn     time.Duration // least pause between acts of two holders
	}

	// Lease is this daemon's view of a duty. Its methods decide; they make no
	// calls. It is not safe for concurrent use.
	Lease struct {
		Self   string
		Timing Timing

		seen     Record
		revision int64     // of the object as last seen; zero: it does not exist
		since    time.Time // when this revision was first seen
		looked   bool

		heldUntil time.Time
		fence     int64
		renewedAt time.Time
	}

	// Write is a conditional write that the lease wants.
	Write struct {
		Record     Record
		IfRevision int64 // zero: create
	}

	wireRecord struct {
		Holder   string `json:"holder"`
		Renewal  int64  `json:"renewal"`
		Released bool   `json:"released"`
	}
)

// EncodeRecord writes a record.
func EncodeRecord(r Record) ([]byte, error) { return json.Marshal(wireRecord(r)) }

// DecodeRecord reads a record.
func DecodeRecord(text []byte) (Record, error) {
	var w wireRecord
	if err := json.Unmarshal(text, &w); err != nil {
		return Record{}, fmt.Errorf("decode duty: %w", err)
	}
	return Record(w), nil
}

// Saw takes over what the store holds; revision zero means no object. Reading
// began at now or later.
func (l *Lease) Saw(r Record, revision int64, now time.Time) {
	if !l.looked || revision != l.revision {
		l.since = now
	}
	l.seen, l.revision, l.looked = r, revision, true
	if revision != 0 && r.Holder != l.Self {
		l.heldUntil = time.Time{}
	}
}

// Holds reports whether this daemon may act now, with the fence that its acts
// carry and the time until which it may.
func (l *Lease) Holds(now time.Time) (fence int64, until time.Time, ok bool) {
	return l.fence, l.heldUntil, now.Before(l.heldUntil)
}

// Next returns the write that is due now, if any. It takes, renews or, without
// work, releases the duty.
func (l *Lease) Next(work bool, now time.Time) (Write, bool) {
	if !l.looked {
		return Write{}, false
	}
	if now.Before(l.heldUntil) {
		return l.nextHeld(work, now)
	}
	if !work || !l.mayTake(now) {
		return Write{}, false
	}
	return Write{Record{Holder: l.Self, Renewal: l.seen.Renewal + 1}, l.revision}, true
}

// Wrote takes over a write that the store has confirmed. The write began at
// began; the validity counts from there.
func (l *Lease) Wrote(w Write, revision int64, began, now time.Time) {
	held := began.Before(l.heldUntil)
	l.seen, l.revision, l.since, l.looked = w.Record, revision, now, true
	if w.Record.Released {
		l.heldUntil = time.Time{}
		return
	}
	if !held {
		l.fence = revision
	}
	l.heldUntil, l.renewedAt = began.Add(l.Timing.Validity), began
}

// Drop gives the duty up at once, without the store. What the store holds must
// be read again.
func (l *Lease) Drop() {
	l.heldUntil, l.looked = time.Time{}, false
}

func (l *Lease) nextHeld(work bool, now time.Time) (Write, bool) {
	r := Record{Holder: l.Self, Renewal: l.seen.Renewal + 1, Released: !work}
	if work && now.Sub(l.renewedAt) < l.Timing.Renew {
		return Write{}, false
	}
	if !work {
		// The release may take effect although its answer is lost, so nothing is
		// done under the lease from here on.
		l.heldUntil = time.Time{}
	}
	return Write{r, l.revision}, true
}

// mayTake reports whether no other daemon can still act, or has acted within a
// turn.
func (l *Lease) mayTake(now time.Time) bool {
	switch {
	case l.revision == 0, l.seen.Holder == l.Self:
		return true
	case l.seen.Released:
		return now.Sub(l.since) >= l.Timing.Turn
	default:
		return now.Sub(l.since) >= l.Timing.Validity+l.Timing.Turn
	}
}
