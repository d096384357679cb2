// Package zppipeline passes a caller's request through a sequence of filters:
// accept, identify, classify, quarantine, claim, route, reserve, dispatch, stream
// and record.
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
	// PromptRequest is a prompt, as parsed by the front end.
	PromptRequest struct {
		Key       string // API key
		Path      string // in the engine's API
		Model     string
		Text      string // the rendered prompt
		MaxTokens int
		Urgency   Urgency
		Body      []byte // request body for the engine
	}

	// ServiceRequest is a call of a plain service.
	ServiceRequest struct {
		Key            string // API key
		Service        string
		Method         string
		Path           string
		ContentType    string
		Body           []byte
		IdempotencyKey string
	}

	// ServiceAnswer is the response to the caller of a service.
	ServiceAnswer struct {
		zpengine.ServiceResponse
		Replayed bool // stored response of an earlier run
	}

	// Urgency is the priority class that the caller requests.
	Urgency int

	// Sink receives the response to a prompt, piece by piece and in order.
	Sink interface {
		Piece(p zpengine.Piece) error
	}

	// Job is the state of a request in the pipeline.
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
		Blocks      []zpprefix.BlockName
		Tokens      int
		Fingerprint string
		Suspect     bool // must run alone, as it was running when an endpoint crashed

		DeliveredPieces int // sent to the caller
		FirstPieceAt    time.Time
		Finished        bool // the last piece has been delivered
		Endpoint        string
		Usage           zpengine.Usage
		RunState        zperror.RunState // combined over all runs so far

		flightRegions    []string // regions with a flight of this job, where equal requests wait
		flightSequence   int
		reservationCount int // reservations requested so far, used in their IDs
	}

	// Filter is a step of the pipeline.
	Filter struct {
		Name string
		Run  func(ctx context.Context, j *Job) error
	}
)

// Values of Urgency.
const (
	UrgencyUnset Urgency = iota
	UrgencyUrgent
	UrgencyOther
)

// mergeRunState merges the outcome of a run into RunState. A request has certainly
// not run only if that holds for each of its runs.
func (j *Job) mergeRunState(o zpengine.Outcome) {
	if state := o.RunState(); state != zperror.RunStateNotRun {
		j.RunState = state
	}
}

// Cost returns the job's cost in tokens, used for fair queueing.
func (j *Job) Cost() int64 {
	if j.Prompt.Path == "" {
		return serviceCostTokens
	}
	return int64(j.Tokens + j.Prompt.MaxTokens)
}

// Conversation returns the key of the cache hints for the job's prompt. It returns
// false for a prompt shorter than a block.
func (j *Job) Conversation() (zpprefix.BlockName, bool) {
	if len(j.Blocks) == 0 {
		return zpprefix.BlockName{}, false
	}
	return j.Blocks[0], true
}

// serviceCostTokens is the cost of a service call, which has no prompt.
const serviceCostTokens = 100
