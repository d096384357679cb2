// Package zplease decides about leases: whether the own one is still valid,
// and when another daemon's one has lapsed.
package zplease

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"
)

type (
	// State is what the platform holds of a lease.
	State string

	// Record is the value of a lease object.
	Record struct {
		Instance string
		State    State
		Renewal  int64    // counts renewals, so that each changes the object
		Monitors []string // the only instances that may end the lease
		Duration time.Duration
	}

	// Timing holds the times that all daemons agree on.
	Timing struct {
		Duration time.Duration // validity after the start of a renewal
		Margin   time.Duration // how much longer a successor waits
	}

	// Own is the daemon's view of its own lease. It is valid while a renewal
	// is recent, or while every monitor that may be on record has lately
	// promised not to end it. It is safe for concurrent use.
	Own struct {
		Timing Timing

		mu         sync.Mutex
		validUntil time.Time
		ended      bool
		monitors   map[string]bool // on record, or possibly so
		promised   map[string]time.Time
	}

	// Observation follows another daemon's lease.
	Observation struct {
		Margin   time.Duration
		revision int64
		duration time.Duration
		since    time.Time
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
	StateEnded State = "ended" // given up, or ended by another daemon after it lapsed
)

// Stretch returns by which factor all lease times grow in a fleet of so many
// daemons, so that the platform's calls do not grow with it.
func Stretch(daemons int) time.Duration {
	return time.Duration(1 + max(daemons-1, 0)/RenewalsPerInterval)
}

// RenewalsPerInterval is how many renewals the platform gets in one renewal
// interval; a larger fleet renews less often.
const RenewalsPerInterval = 100

// ObjectName returns the name of an instance's lease object.
func ObjectName(instance string) string { return "leases/" + instance }

// Encode writes a record.
func Encode(r Record) ([]byte, error) {
	return json.Marshal(wireRecord{Instance: r.Instance, State: string(r.State), Renewal: r.Renewal,
		Monitors: r.Monitors, Duration: r.Duration.Milliseconds()})
}

// Decode reads a record.
func Decode(text []byte) (Record, error) {
	var w wireRecord
	if err := json.Unmarshal(text, &w); err != nil {
		return Record{}, fmt.Errorf("decode lease: %w", err)
	}
	return Record{Instance: w.Instance, State: State(w.State), Renewal: w.Renewal,
		Monitors: w.Monitors, Duration: time.Duration(w.Duration) * time.Millisecond}, nil
}

// Proposed notes that a renewal which names these monitors is being sent. Until
// a renewal is confirmed, any proposed record may be the one that stands.
func (o *Own) Proposed(monitors []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.monitors == nil {
		o.monitors = map[string]bool{}
	}
	for _, m := range monitors {
		o.monitors[m] = true
	}
}

// Renewed notes a confirmed renewal for a duration, which began at start.
// Validity counts from the start, because the platform may have applied it at
// any time since.
func (o *Own) Renewed(start time.Time, d time.Duration, monitors []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.monitors = map[string]bool{}
	for _, m := range monitors {
		o.monitors[m] = true
	}
	until := start.Add(d)
	if until.After(o.validUntil) {
		o.validUntil = until
	}
}

// Promised notes that a monitor, asked at askedAt, promised not to end the
// lease for the lease's duration.
func (o *Own) Promised(monitor string, askedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.promised == nil {
		o.promised = map[string]time.Time{}
	}
	o.promised[monitor] = askedAt.Add(o.Timing.Duration)
}

// End notes that the lease is gone for good.
func (o *Own) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
}

// Valid reports whether the lease is held at now, by the own clock.
func (o *Own) Valid(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended || o.validUntil.IsZero() {
		return false
	}
	return now.Before(o.validUntil) || o.allPromised(now)
}

// Ended reports whether the lease is gone for good.
func (o *Own) Ended() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended
}

// Monitors returns the instances that may be on record as monitors.
func (o *Own) Monitors() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]string, 0, len(o.monitors))
	for m := range o.monitors {
		out = append(out, m)
	}
	sort.Strings(out)
	return out
}

func (o *Own) allPromised(now time.Time) bool {
	for m := range o.monitors {
		if !now.Before(o.promised[m]) {
			return false
		}
	}
	return true
}

// Observe notes the revision and the duration that a read returned at now.
func (o *Observation) Observe(revision int64, d time.Duration, now time.Time) {
	if revision != o.revision || o.since.IsZero() {
		o.revision = revision
		o.duration = d
		o.since = now
	}
}

// Lapsed reports whether the observed revision has stood unchanged for so long
// that its holder no longer counts itself as holding it.
func (o *Observation) Lapsed(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) > o.duration+o.Margin
}

// Revision returns the revision last observed.
func (o *Observation) Revision() int64 { return o.revision }
