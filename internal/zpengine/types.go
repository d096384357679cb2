package zpengine

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// GenerationRequest is a request to run a prompt on one engine.
	GenerationRequest struct {
		Address           string
		Path              string // such as /v1/chat/completions
		Body              []byte // OpenAI request that asks for a stream with usage
		RequestID         string
		Salt              string
		WeightVersion     string
		Urgent            bool
		ResumeFrom        int    // number of tokens that the caller already has
		ImportFrom        string // store to import cached blocks from, "" for none
		ImportBlocks      []ImportBlock
		Trace             map[string]string // trace propagation headers
		FirstTokenTimeout time.Duration     // from the first byte sent
		StallTimeout      time.Duration
	}

	// ImportBlock identifies one sealed block in a store.
	ImportBlock struct {
		Name       string
		Generation int64
	}

	// Piece is one token of a response.
	Piece struct {
		Text   string
		Finish string // finish reason, "" before the last token
	}

	// Usage holds the token counts reported by the engine.
	Usage struct {
		PromptTokens     int
		CachedTokens     int
		CompletionTokens int
	}

	// Outcome describes how a run ended.
	Outcome struct {
		Kind          zpadmission.Outcome
		Sent          bool // any byte of the request may have reached the endpoint
		BootID        string
		WeightVersion string
		TokenCount    int // tokens received in this run
		Done          bool
		FirstToken    time.Duration
		Total         time.Duration
		Usage         Usage
		Err           error
	}

	// ServiceCall is a request to a plain service.
	ServiceCall struct {
		Address        string
		Method         string
		Path           string
		ContentType    string
		Body           []byte
		IdempotencyKey string
		RequestID      string
		Workspace      string
		Trace          map[string]string
		Timeout        time.Duration
		Idempotent     bool
	}

	// ServiceResponse is the response of a plain service.
	ServiceResponse struct {
		Status      int
		ContentType string
		Body        []byte
	}
)

// RunState reports whether the request may have run, given this outcome. Only
// this method decides that.
func (o Outcome) RunState() zperror.RunState {
	switch {
	case zpmutant.Active(zpmutant.NotRun):
		return zperror.RunStateNotRun
	case !o.Sent:
		return zperror.RunStateNotRun
	case o.Kind == zpadmission.OutcomeRefused, o.Kind == zpadmission.OutcomeNotStarted:
		return zperror.RunStateNotRun
	case o.Done:
		return zperror.RunStateRan
	default:
		return zperror.RunStateUnknown
	}
}
