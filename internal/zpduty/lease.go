// Package zpduty assigns an exclusive duty to one daemon at a time by a lease in one
// object of the store. A daemon acquires the lease only while there is work and
// releases it afterwards, so that an idle fleet sends no calls to the store.
package zpduty

import (
	"encoding/json"
	"fmt"
	"time"
)

type (
	// Record is the content of the duty's object.
	Record struct {
		Holder   string
		Renewal  int64 // counter that makes each renewal change the object
		Released bool
	}

	// Timing holds the durations of the lease. All daemons must use the same ones.
	Timing struct {
		Validity      time.Duration // of the lease, from the start of its last write
		RenewInterval time.Duration // interval between renewals
		HandoverDelay time.Duration // minimum time between actions of two successive holders
	}

	// Lease is the state of a duty as this daemon knows it. Its methods decide what
	// to do but send no calls. It is not safe for concurrent use.
	Lease struct {
		Self   string
		Timing Timing

		stored         Record    // content of the object as last seen
		revision       int64     // of the object as last seen; zero if it does not exist
		revisionSeenAt time.Time // when this revision was first seen
		known          bool      // the object was read or written since the last Relinquish

		heldUntil time.Time
		fence     int64     // fencing token: the revision of the write that acquired the duty
		renewedAt time.Time // start of the last confirmed write
	}

	// ConditionalWrite is a write of the duty's object that must succeed only if the
	// object still has the revision IfRevision.
	ConditionalWrite struct {
		Record     Record
		IfRevision int64 // zero to create the object
	}

	recordJSON struct {
		Holder   string `json:"holder"`
		Renewal  int64  `json:"renewal"`
		Released bool   `json:"released"`
	}
)

// EncodeRecord returns a record as JSON.
func EncodeRecord(r Record) ([]byte, error) { return json.Marshal(recordJSON(r)) }

// DecodeRecord parses the JSON form of a record.
func DecodeRecord(body []byte) (Record, error) {
	var w recordJSON
	if err := json.Unmarshal(body, &w); err != nil {
		return Record{}, fmt.Errorf("decode duty record: %w", err)
	}
	return Record(w), nil
}

// Observe records the content of the object; revision zero means that it does not
// exist. now must not be before the read, because mayAcquire counts its waiting time
// from now.
func (l *Lease) Observe(r Record, revision int64, now time.Time) {
	if !l.known || revision != l.revision {
		l.revisionSeenAt = now
	}
	l.stored, l.revision, l.known = r, revision, true
	if revision != 0 && r.Holder != l.Self {
		l.heldUntil = time.Time{}
	}
}

// MayBeFree reports whether the duty may be acquired as far as a record tells that may be
// outdated. An older record than the one known tells nothing.
func (l *Lease) MayBeFree(r Record, revision int64, now time.Time) bool {
	if !l.known || revision > l.revision {
		l.Observe(r, revision, now)
	}
	return l.mayAcquire(now)
}

// Holds reports whether this daemon holds the duty at now. It returns the fencing
// token that the daemon's actions must carry and the time until which it may act.
func (l *Lease) Holds(now time.Time) (fence int64, until time.Time, ok bool) {
	return l.fence, l.heldUntil, now.Before(l.heldUntil)
}

// Next returns the write that is due at now, if any: it acquires or renews the duty,
// or releases it if there is no work.
func (l *Lease) Next(hasWork bool, now time.Time) (ConditionalWrite, bool) {
	if !l.known {
		return ConditionalWrite{}, false
	}
	if now.Before(l.heldUntil) {
		return l.nextWhileHeld(hasWork, now)
	}
	if !hasWork || !l.mayAcquire(now) {
		return ConditionalWrite{}, false
	}
	return ConditionalWrite{Record{Holder: l.Self, Renewal: l.stored.Renewal + 1}, l.revision}, true
}

// Confirm records a write that the store has confirmed. The validity counts from
// startedAt, the start of the write.
func (l *Lease) Confirm(w ConditionalWrite, revision int64, startedAt, now time.Time) {
	held := startedAt.Before(l.heldUntil)
	l.stored, l.revision, l.revisionSeenAt, l.known = w.Record, revision, now, true
	if w.Record.Released {
		l.heldUntil = time.Time{}
		return
	}
	if !held {
		l.fence = revision
	}
	l.heldUntil, l.renewedAt = startedAt.Add(l.Timing.Validity), startedAt
}

// Relinquish gives up the duty at once, without a write. The object must be read again
// before the next write.
func (l *Lease) Relinquish() {
	l.heldUntil, l.known = time.Time{}, false
}

func (l *Lease) nextWhileHeld(hasWork bool, now time.Time) (ConditionalWrite, bool) {
	r := Record{Holder: l.Self, Renewal: l.stored.Renewal + 1, Released: !hasWork}
	if hasWork && now.Sub(l.renewedAt) < l.Timing.RenewInterval {
		return ConditionalWrite{}, false
	}
	if !hasWork {
		// The release may take effect although its response is lost, so this daemon
		// stops acting before the write is sent.
		l.heldUntil = time.Time{}
	}
	return ConditionalWrite{r, l.revision}, true
}

// mayAcquire reports whether no other daemon can still hold the duty or has acted
// within the last HandoverDelay.
func (l *Lease) mayAcquire(now time.Time) bool {
	switch {
	case l.revision == 0, l.stored.Holder == l.Self:
		return true
	case l.stored.Released:
		return now.Sub(l.revisionSeenAt) >= l.Timing.HandoverDelay
	default:
		return now.Sub(l.revisionSeenAt) >= l.Timing.Validity+l.Timing.HandoverDelay
	}
}
