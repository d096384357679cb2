// Package zpadmission implements admission control for one endpoint. The
// endpoint's owner keeps a single Ledger, which grants the reservations of all
// daemons, so that the limit of a cold endpoint is enforced exactly.
package zpadmission

import "time"

type (
	// Request is a request for a reservation on the endpoint.
	Request struct {
		ID        string // unique, chosen by the requesting daemon
		Holder    string // instance that will send the request
		Workspace string
		Weight    int
		Urgent    bool
		Cost      int64         // tokens
		Prefill   time.Duration // expected prefill time
		MaxWait   time.Duration
		Exclusive bool // no other request may run at the same time
	}

	// Decision is the response to a Request.
	Decision struct {
		ID         string
		Granted    bool
		Queued     bool   // not decided yet; the caller repeats the call with the same ID
		Code       string // reason of a refusal
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
		Boot       string // boot ID in the endpoint's response; "" if none
		FirstToken time.Duration
		Total      time.Duration
	}

	// Report is the load as reported by the endpoint itself. It may be outdated.
	Report struct {
		Boot    string
		Warm    bool
		Running int
		Version string    // weight version of new requests; "" for a plain service
		AsOf    time.Time // when the endpoint created the report, by the reader's clock
	}

	// Authority states what the owner may grant.
	Authority int

	// Phase is the owner's view of the endpoint's health and warm-up.
	Phase int

	// Quote is an endpoint's load, as its owner reports it for routing.
	Quote struct {
		Limit         int
		Running       int
		WaitingUrgent int
		WaitingOther  int
		Service       time.Duration // average service time of a request
		Backlog       time.Duration // expected time until all granted prefills are done
		Cold          bool
	}

	// Holding is a reservation whose request has been sent, as its holder reports
	// it.
	Holding struct {
		ID       string
		Endpoint string
		Holder   string
	}
)

// Outcomes of a reservation.
const (
	OutcomeOK         Outcome = iota
	OutcomeNotStarted         // not sent, or declined without sign of failure
	OutcomeCancelled          // the caller closed its connection
	OutcomeRefused            // connection refused, or the endpoint is not ready
	OutcomeBroken             // the response ended early, was malformed or reported an error
	OutcomeOverdue            // the response, or its next token, did not arrive in time
	OutcomeFailed             // the endpoint responded with an error
)

// Values of Authority.
const (
	AuthorityNone       Authority = iota // not the owner, or the lease has expired
	AuthorityRecovering                  // new owner that does not know all running requests yet
	AuthorityFull
)

// Phases of an endpoint, with the limit of each.
const (
	PhaseUnknown Phase = iota // no report received yet: no requests
	PhaseSuspect              // may have failed: no requests until a report or a probe
	PhaseCold                 // ColdSlots
	PhaseRamp                 // grows with each success
	PhaseWarm                 // Slots
)

// Codes of refusals. A refused request has not run.
const (
	CodeNotOwner    = "not_owner"
	CodeQueueFull   = "queue_full"
	CodeWaitTooLong = "would_wait_too_long"
	CodeExpired     = "waited_too_long"
)
