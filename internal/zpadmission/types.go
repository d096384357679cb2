// Package zpadmission decides what one endpoint may run. The owner of the
// endpoint keeps one Ledger for it; every reservation of every daemon passes
// through it, so that the limit of a cold endpoint is exact.
package zpadmission

import "time"

type (
	// Request asks for a place on the endpoint.
	Request struct {
		ID        string // made by the asker, unique
		Holder    string // instance that will send the request
		Workspace string
		Weight    int
		Urgent    bool
		Cost      int64         // tokens
		Prefill   time.Duration // expected time to compute the context
		MaxWait   time.Duration
		Alone     bool // run with nothing beside it
	}

	// Decision answers a Request.
	Decision struct {
		ID         string
		Granted    bool
		Queued     bool   // not decided yet: ask again with the same id
		Code       string // why not granted
		RetryAfter time.Duration
		Epoch      int64
		Boot       string
	}

	// Outcome is how a reservation ended.
	Outcome int

	// Result reports the end of a reservation.
	Result struct {
		ID         string
		Outcome    Outcome
		Boot       string // boot identity seen in the answer; "" if none
		FirstToken time.Duration
		Total      time.Duration
	}

	// Report is an endpoint's own view of its load, which may lag.
	Report struct {
		Boot    string
		Warm    bool
		Running int
		Version string    // weight version of new requests; "" for a plain service
		AsOf    time.Time // when the endpoint made it, by the reader's clock
	}

	// Authority is how much the owner may grant.
	Authority int

	// Phase is how far the endpoint is warmed up, as far as the owner knows.
	Phase int

	// Quote is what the owner tells of its endpoint's load.
	Quote struct {
		Limit         int
		Running       int
		WaitingUrgent int
		WaitingOther  int
		Service       time.Duration // usual time of one request
		Backlog       time.Duration // expected time until all granted contexts are computed
		Cold          bool
	}

	// Holding is one started reservation as its holder reports it.
	Holding struct {
		ID       string
		Endpoint string
		Holder   string
	}
)

// Outcomes.
const (
	OutcomeOK         Outcome = iota
	OutcomeNotStarted         // never sent
	OutcomeCancelled          // the caller went away
	OutcomeRefused            // connection refused, or the endpoint said it is not ready
	OutcomeBroken             // the stream broke
	OutcomeOverdue            // the first token came too late or not at all
	OutcomeFailed             // the endpoint answered with an error
)

// Authorities.
const (
	AuthorityNone     Authority = iota // not the owner, or the lease has lapsed
	AuthorityCounting                  // new owner that does not yet know what runs
	AuthorityFull
)

// Phases.
const (
	PhaseUnknown Phase = iota // nothing heard yet: no work
	PhaseSuspect              // signs of a fall: no work until a report or a probe
	PhaseCold                 // ColdSlots
	PhaseRamp                 // the limit grows with each success
	PhaseWarm                 // Slots
)

// Codes of refusals. Each means that the request has not run.
const (
	CodeNotOwner  = "not_owner"
	CodeQueueFull = "queue_full"
	CodeTooLate   = "would_wait_too_long"
	CodeExpired   = "waited_too_long"
)
