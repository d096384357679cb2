// Package zpduty assigns an exclusive duty to one daemon at a time by a lease in one
// object of the store. A daemon acquires the lease only while there is work and
// releases it afterwards, so that an idle fleet sends no calls to the store.
package zpduty

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Record is the content of the duty's object.
	Record struct {
		Holder   string
		Renewal  int64 // counter that makes each renewal change the object
		Released bool
		Era      int64 // era of the store in which the writer believed itself; see zpobject.EraTracker
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
		era            int64     // of the store
		eraSince       time.Time // when this era was first observed

		heldUntil time.Time
		fence     int64     // fencing token: the qualified revision of the write that acquired the duty
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
		Era      int64  `json:"era,omitempty"`
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

// SetEra records the latest era of the store and when it was first observed. A lease of an
// earlier era is not held any more, whatever its time: its record may be lost, and another
// daemon may acquire the duty.
func (l *Lease) SetEra(era int64, since time.Time) {
	if era == l.era && since.Equal(l.eraSince) {
		return
	}
	if era != l.era && !zpmutant.Active(zpmutant.EraLease) {
		l.Relinquish()
	}
	l.era, l.eraSince = era, since
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
	return ConditionalWrite{Record{Holder: l.Self, Renewal: l.stored.Renewal + 1, Era: l.era}, l.revision}, true
}

// Confirm records a write that the store has confirmed. The validity counts from
// startedAt, the start of the write. A write that was decided in an earlier era acquires
// nothing.
func (l *Lease) Confirm(w ConditionalWrite, revision int64, startedAt, now time.Time) {
	if w.Record.Era != l.era {
		l.Relinquish()
		return
	}
	held := startedAt.Before(l.heldUntil)
	l.stored, l.revision, l.revisionSeenAt, l.known = w.Record, revision, now, true
	if w.Record.Released {
		l.heldUntil = time.Time{}
		return
	}
	if !held {
		l.fence = revision
		if zpmutant.Active(zpmutant.EraOrder) {
			l.fence = zpobject.PlainRevision(revision)
		}
	}
	l.heldUntil, l.renewedAt = startedAt.Add(l.Timing.Validity), startedAt
}

// Relinquish gives up the duty at once, without a write. The object must be read again
// before the next write.
func (l *Lease) Relinquish() {
	l.heldUntil, l.known = time.Time{}, false
}

func (l *Lease) nextWhileHeld(hasWork bool, now time.Time) (ConditionalWrite, bool) {
	r := Record{Holder: l.Self, Renewal: l.stored.Renewal + 1, Released: !hasWork, Era: l.era}
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
	lapse := l.Timing.Validity + l.Timing.HandoverDelay
	switch {
	case l.revision == 0:
		// A holder of an earlier era, whose record is lost, may act until its lease lapses.
		return l.era == 0 || now.Sub(l.eraSince) >= lapse
	case l.stored.Era != l.era:
		// The record is that of the copy, or a late write of an earlier era, which may have
		// replaced the record of a holder of this one.
		return now.Sub(l.eraSince) >= lapse && now.Sub(l.revisionSeenAt) >= lapse
	case l.stored.Holder == l.Self:
		return true
	case l.stored.Released:
		return now.Sub(l.revisionSeenAt) >= l.Timing.HandoverDelay
	default:
		return now.Sub(l.revisionSeenAt) >= lapse
	}
}
