// Package zppipeline takes a caller's request through its filters: accept,
// identify, classify, quarantine, claim, route, reserve, dispatch, stream and
// record.
package zppipeline

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	// PromptRequest is a caller's prompt as the callers' side read it.
	PromptRequest struct {
		Key       string // API key
		Path      string // of the endpoints' protocol
		Model     string
		Text      string // all of the prompt, rendered
		MaxTokens int
		Urgency   Urgency
		Body      []byte // for the engine
	}

	// ServiceRequest is a caller's call of a plain service.
	ServiceRequest struct {
		Key            string // API key
		Service        string
		Method         string
		Path           string
		ContentType    string
		Body           []byte
		IdempotencyKey string
	}

	// ServiceAnswer is what the caller of a service gets.
	ServiceAnswer struct {
		zpengine.ServiceAnswer
		Replayed bool // taken from the record of an earlier run
	}

	// Urgency is what a caller says of its request's class.
	Urgency int

	// Sink takes the answer of a prompt, piece by piece and in order.
	Sink interface {
		Piece(p zpengine.Piece) error
	}

	// Job is one request on its way through the filters.
	Job struct {
		ID         string
		AcceptedAt time.Time
		Manifest   *zpmanifest.Manifest
		Workspace  zpmanifest.Workspace
		Pool       zpmanifest.Pool
		Urgent     bool
		Idempotent bool

		Prompt  PromptRequest
		Service ServiceRequest

		Model       zpmanifest.Model
		Salt        zpprefix.Salt
		Blocks      []zpprefix.Name
		Tokens      int
		Fingerprint string
		Suspect     bool // run alone

		Delivered  int // pieces that the caller has
		FirstPiece time.Time
		Finished   bool // the last piece was delivered
		Endpoint   string
		Usage      zpengine.Usage
		RunState   zperror.RunState // what is known from all runs so far

		flights      []string // regions that hold equal requests back for this one
		flightRound  int
		reservations int // asked for so far; numbers their ids
	}

	// Filter is one step of the pipeline.
	Filter struct {
		Name string
		Run  func(ctx context.Context, j *Job) error
	}
)

// Urgencies.
const (
	UrgencyUnset Urgency = iota
	UrgencyUrgent
	UrgencyOther
)

// note joins the run state of one run to those before: a request has certainly
// not run only if no run may have started it.
func (j *Job) note(o zpengine.Outcome) {
	if state := o.RunState(); state != zperror.RunStateNotRun {
		j.RunState = state
	}
}

// Cost returns the job's cost in tokens, by which workspaces share.
func (j *Job) Cost() int64 {
	if j.Prompt.Path == "" {
		return serviceCost
	}
	return int64(j.Tokens + j.Prompt.MaxTokens)
}

// Conversation returns the key under which the job's blocks are remembered; ok
// is false for a prompt shorter than a block.
func (j *Job) Conversation() (zpprefix.Name, bool) {
	if len(j.Blocks) == 0 {
		return zpprefix.Name{}, false
	}
	return j.Blocks[0], true
}

// serviceCost is the cost of a service call, in tokens.
const serviceCost = 100
