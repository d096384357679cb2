// Package zpgateway serves routed requests: it finds route and workspace,
// chooses an endpoint, sends the request there at most as often as its kind
// allows, and hands the endpoint's answer to the caller unchanged.
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
	// Request is one request of a caller, with its whole body.
	Request struct {
		ID          string
		Host        string
		Method      string
		Path        string      // decoded, for the choice of route
		URL         string      // path and query as the caller sent them
		Header      http.Header // what is passed on unchanged
		Body        []byte
		Key         string        // of the workspace; empty: none
		Wait        time.Duration // how long the caller waits; zero: unknown
		Prompt      *Prompt       // nil for requests without a prompt
		LastEventID string        // the caller resumes a stream after this event
		ReceivedAt  time.Time
		Unread      time.Duration // how long it lay at this VM before it was read; zero: unknown
	}

	// Prompt describes the prompt of a request.
	Prompt struct {
		Model        string
		Tokens       int
		OutputTokens int // at most
		Parts        []Part
	}

	// Part is a piece of a prompt that other prompts may share. The last part
	// belongs to the request itself.
	Part struct {
		ID     string
		Tokens int
	}

	// Run is one request as it goes to one endpoint.
	Run struct {
		Request       *Request
		Endpoint      zpregistry.Endpoint
		Workspace     string
		Left          time.Duration // until the answer is useless
		Priority      int           // 0 is the most urgent; NoPriority: none
		Salt          string        // under which the engine keeps parts; empty: none
		WeightVersion int64         // that the engine must have; zero: any
		Fetch         []Transfer    // by part; empty: none
		Save          []Transfer    // by part; empty: none
		ResumeAfter   string        // event after which the stream goes on; empty: from the start
		Repeatable    bool          // a kept connection may be used
	}

	// Transfer says where one part of a prompt comes from or goes to.
	Transfer struct {
		Address string // empty: none
		Tokens  int    // to fetch; zero: all
	}

	// Answer is an endpoint's answer. Body must be closed.
	Answer struct {
		Status        int
		Header        http.Header // for the caller
		Body          io.ReadCloser
		Length        int64 // -1: unknown
		Sealed        bool  // the endpoint signed it
		Encoded       bool  // the body is compressed, which callers do not ask for
		NotRun        bool  // the endpoint says that it has not run the request
		OtherInstance bool  // another endpoint has the address, or other weights
		WeightVersion int64 // zero: unknown
	}

	// Runner sends requests to endpoints. An error means that there is no answer;
	// whether the request may have run follows from the gate.
	Runner interface {
		Run(ctx context.Context, run Run, gate *zpengine.Gate) (*Answer, error)
	}

	// Reply is the way back to the caller.
	Reply interface {
		// Begin sends status and header; a length of -1 means unknown.
		Begin(status int, header http.Header, length int64)
		// Write sends bytes at once.
		Write(p []byte) error
		// Refuse sends an error of the daemon's own. It must not follow Begin.
		Refuse(e *zperror.Error)
		// Abort ends the answer so that it cannot look complete.
		Abort()
		// HasCallerLeft asks the connection itself. The context of a request hears of
		// a close later, as it is told by a read that waits for the processor.
		HasCallerLeft() bool
	}
)

// NoPriority marks a run without a priority.
const NoPriority = -1

// SharedParts returns the parts that other prompts may share.
func (p *Prompt) SharedParts() []Part {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// SharedTokens returns the tokens of the shared parts.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for _, x := range p.SharedParts() {
		sum += x.Tokens
	}
	return sum
}
