// Package zpgateway serves routed requests. It resolves the route and the
// workspace, chooses an endpoint, sends the request as often as the kind of the
// route allows, and forwards the endpoint's response unchanged.
package zpgateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Request is a caller's request with its complete body.
	Request struct {
		ID          string
		Host        string
		Method      string
		Path        string      // decoded; selects the route
		URL         string      // path and query as received
		Header      http.Header // headers to forward
		Body        []byte
		APIKey      string        // API key of the workspace; empty: none
		Timeout     time.Duration // how long the caller waits for the response; zero: unknown
		Prompt      *Prompt       // nil for requests without a prompt
		LastEventID string        // event after which the caller resumes a stream
		ResumedID   string        // id of the attempt that brought the first event of that stream
		ReceivedAt  time.Time
		ReadDelay   time.Duration // time in this VM's receive buffer before it was read; zero: unknown
	}

	// Prompt describes the prompt of a request.
	Prompt struct {
		Model        string
		Tokens       int
		OutputTokens int // upper bound
		Parts        []Part
	}

	// Part is a segment of a prompt that other prompts may share. The last part of
	// a prompt is not shared.
	Part struct {
		ID     string
		Tokens int
	}

	// Run is one attempt to run a request on one endpoint.
	Run struct {
		Request       *Request
		Endpoint      zpregistry.Endpoint
		Workspace     string
		Remaining     time.Duration // time until the request's deadline
		Priority      int           // 0 is the highest; NoPriority: none
		Salt          string        // cache salt of the prompt's parts; empty: none
		WeightVersion int64         // weights that the engine must have loaded; zero: any
		Fetch         []Transfer    // parts to load from elsewhere, one entry per part; empty: none
		Save          []Transfer    // parts to write to a store, one entry per part; empty: none
		ResumeAfter   string        // event after which the stream continues; empty: from the start
		Idempotent    bool          // the request may be sent on a reused connection
	}

	// Transfer is the source or the destination of one part of a prompt.
	Transfer struct {
		Address string // empty: none
		Tokens  int    // number of tokens to fetch; zero: all
	}

	// Response is an endpoint's response. Body must be closed.
	Response struct {
		Status        int
		Header        http.Header // headers to forward to the caller
		Body          io.ReadCloser
		Length        int64 // -1: unknown
		Sealed        bool  // the endpoint signed the response
		Compressed    bool  // the body is compressed, although requests never accept compression
		NotRun        bool  // the endpoint reports that it did not run the request
		OtherInstance bool  // another endpoint has the address, or the weights differ
		WeightVersion int64 // zero: unknown
		Notice        Notice
		// WeightsOf returns the weights that an event names because they changed before it, or
		// zero. It may be nil.
		WeightsOf func(event []byte) int64

		// EndsWithConnection means that only the end of the connection ends the body,
		// which the crash of an endpoint may also cause.
		EndsWithConnection bool
	}

	// Runner sends requests to endpoints. An error means that there is no response;
	// the gate tells whether the request may have run.
	Runner interface {
		Run(ctx context.Context, run Run, gate *zpengine.Gate) (*Response, error)
	}

	// Reply writes the response to the caller.
	Reply interface {
		// WriteHeader writes status and header; a length of -1 means unknown.
		WriteHeader(status int, header http.Header, length int64)
		// Write writes bytes of the body and flushes them.
		Write(p []byte) error
		// WriteError writes an error response of the daemon. It must not follow WriteHeader.
		WriteError(e *zperror.Error)
		// Abort terminates the response so that the caller sees it as incomplete.
		Abort()
		// HasCallerLeft checks the connection itself. The request's context is
		// cancelled later, by a read whose goroutine must first be scheduled.
		HasCallerLeft() bool
	}
)

// NoPriority is the priority of a run without one.
const NoPriority = -1

// SharedParts returns the parts that other prompts may share: all but the last.
func (p *Prompt) SharedParts() []Part {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedTokens returns the number of tokens in the shared parts.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for _, x := range p.SharedParts() {
		sum += x.Tokens
	}
	return sum
}
