package zpgateway

import (
	"context"
	"errors"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

// unknownLength is the length of a response that is sent in chunks.
const unknownLength = -1

// The listener of a process that ends may stand for a moment after its other connections
// have been closed, longer on a busy VM. A caller has all events of a stream by then; a
// body is held back meanwhile.
const (
	streamEndWatch = 90 * time.Millisecond
	bodyEndWatch   = 25 * time.Millisecond
)

var (
	errNoEvent      = errors.New("the connection ended before the first event of the stream")
	errCutOff       = errors.New("the endpoint crashed before the end of its response")
	errEventMissing = errors.New("the stream ended without the event in which an earlier run broke off")
)

// checkStreamEnd returns the reason why a stream that ended without an error is not
// complete, or nil.
func checkStreamEnd(j *job, a *Response) error {
	// Nothing may follow the event after which a stream is resumed, but a stream has
	// at least one event.
	hasEvent := j.lastEvent != "" || j.request.LastEventID != ""
	switch {
	case j.isInsideEvent:
		return errEventMissing
	case a.EndsWithConnection && !hasEvent:
		return errNoEvent
	default:
		return nil
	}
}

// isCutOff reports whether a response that ended with its connection was cut off by a
// crash of the endpoint: its VM then closes the connection as if the response were
// complete. One that leaves may crash as well; that it has just exited as planned cannot be
// told from that, and a whole response taken for a broken one does less harm.
func (g *Gateway) isCutOff(ctx context.Context, e zpregistry.Endpoint, a *Response, watch time.Duration) bool {
	return a.EndsWithConnection && g.hasCrashed(ctx, e, watch)
}

// splitEvents splits a stream into events and records whether it ends inside one. The
// scanner reports a reset in place of the error for the truncated event.
func (j *job) splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	advance, event, err := splitEvents(data, atEOF)
	if err != nil {
		j.isInsideEvent = true
	}
	return advance, event, err
}

// streamLength returns the length of a stream to announce to the caller. The rest of a
// stream that is resumed may be longer or shorter than its first endpoint announced.
func (j *job) streamLength(a *Response) int64 {
	if j.route.Resumable {
		return unknownLength
	}
	return a.Length
}
