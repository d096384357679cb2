// Package zplease decides whether this daemon's own lease is valid and whether
// the lease of another daemon has expired.
package zplease

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"
)

type (
	// State is the state of a lease on the platform.
	State string

	// Record is the value of a lease object.
	Record struct {
		Instance string
		State    State
		Renewal  int64 // renewal counter; makes each renewal change the object
		// Monitors are the only instances that may end the lease after it has
		// expired, unless the platform no longer lists the holder's VM.
		Monitors []string
		Duration time.Duration
	}

	// Timing holds the lease times, which must be equal on all daemons.
	Timing struct {
		Duration time.Duration // validity, counted from the start of a renewal
		Margin   time.Duration // additional time before other daemons treat a lease as expired
	}

	// OwnLease is the daemon's view of its own lease. It is valid until a
	// renewal's duration has passed, and after that while every instance that may
	// be on record as a monitor has an unexpired promise not to end it. It is
	// safe for concurrent use.
	OwnLease struct {
		Timing Timing

		mu            sync.Mutex
		validUntil    time.Time
		ended         bool
		monitors      map[string]bool // instances that are, or may be, on record as monitors
		promisedUntil map[string]time.Time
	}

	// ObservedLease tracks another daemon's lease in order to detect its expiry.
	// Only this daemon's clock is used.
	ObservedLease struct {
		Margin         time.Duration
		revision       int64
		duration       time.Duration
		unchangedSince time.Time
	}

	wireRecord struct {
		Instance string   `json:"instance"`
		State    string   `json:"state"`
		Renewal  int64    `json:"renewal"`
		Monitors []string `json:"monitors"`
		Duration int64    `json:"duration_ms"`
	}
)

// States of a lease.
const (
	StateHeld  State = "held"
	StateEnded State = "ended" // given up, or ended by another daemon after it expired
)

// IntervalFactor returns the factor by which lease durations and intervals are
// multiplied in a fleet of the given size, so that the rate of calls to the
// platform does not grow with the fleet.
func IntervalFactor(daemons int) time.Duration {
	return time.Duration(1 + max(daemons-1, 0)/MaxRenewalsPerInterval)
}

// MaxRenewalsPerInterval is the largest number of renewals that the platform
// receives in one unscaled renewal interval. A larger fleet renews less often.
const MaxRenewalsPerInterval = 100

// ObjectName returns the name of an instance's lease object.
func ObjectName(instance string) string { return "leases/" + instance }

// Encode returns a record as JSON.
func Encode(r Record) ([]byte, error) {
	return json.Marshal(wireRecord{Instance: r.Instance, State: string(r.State), Renewal: r.Renewal,
		Monitors: r.Monitors, Duration: r.Duration.Milliseconds()})
}

// Decode parses a record written by Encode.
func Decode(data []byte) (Record, error) {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, fmt.Errorf("decode lease: %w", err)
	}
	return Record{Instance: w.Instance, State: State(w.State), Renewal: w.Renewal,
		Monitors: w.Monitors, Duration: time.Duration(w.Duration) * time.Millisecond}, nil
}

// RecordProposal must be called before a renewal that names the given monitors is
// sent. Until a renewal is confirmed, any of the proposed records may be the
// stored one, so the monitors of all of them count.
func (o *OwnLease) RecordProposal(monitors []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.monitors == nil {
		o.monitors = map[string]bool{}
	}
	for _, m := range monitors {
		o.monitors[m] = true
	}
}

// RecordRenewal records a confirmed renewal that was begun at start and is valid
// for d. Validity counts from the start, because the platform may have applied
// the renewal at any time since.
func (o *OwnLease) RecordRenewal(start time.Time, d time.Duration, monitors []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.monitors = map[string]bool{}
	for _, m := range monitors {
		o.monitors[m] = true
	}
	validUntil := start.Add(d)
	if validUntil.After(o.validUntil) {
		o.validUntil = validUntil
	}
}

// RecordPromise records that a monitor, asked at askedAt, promised not to end the
// lease for Timing.Duration.
func (o *OwnLease) RecordPromise(monitor string, askedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.promisedUntil == nil {
		o.promisedUntil = map[string]time.Time{}
	}
	o.promisedUntil[monitor] = askedAt.Add(o.Timing.Duration)
}

// MarkEnded makes the lease permanently invalid.
func (o *OwnLease) MarkEnded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
}

// Valid reports whether the lease is valid at now, by this daemon's clock.
func (o *OwnLease) Valid(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended || o.validUntil.IsZero() {
		return false
	}
	return now.Before(o.validUntil) || o.allMonitorsPromised(now)
}

// Ended reports whether the lease has ended permanently.
func (o *OwnLease) Ended() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended
}

// Monitors returns the instances that may be on record as monitors, sorted.
func (o *OwnLease) Monitors() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]string, 0, len(o.monitors))
	for m := range o.monitors {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}

func (o *OwnLease) allMonitorsPromised(now time.Time) bool {
	for m := range o.monitors {
		if !now.Before(o.promisedUntil[m]) {
			return false
		}
	}
	return true
}

// Observe records the revision and the lease duration that were read at now.
func (o *ObservedLease) Observe(revision int64, d time.Duration, now time.Time) {
	if revision != o.revision || o.unchangedSince.IsZero() {
		o.revision = revision
		o.duration = d
		o.unchangedSince = now
	}
}

// Expired reports whether the lease has not been renewed for its duration and the
// margin, so that its holder, too, has ceased to consider it valid.
func (o *ObservedLease) Expired(now time.Time) bool {
	return !o.unchangedSince.IsZero() && now.Sub(o.unchangedSince) > o.duration+o.Margin
}

// Revision returns the last observed revision.
func (o *ObservedLease) Revision() int64 { return o.revision }
