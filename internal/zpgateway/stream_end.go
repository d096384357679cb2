package zpgateway

import "errors"

// unknownLength is the length of a response that is sent in chunks.
const unknownLength = -1

var (
	errNoEvent      = errors.New("the connection ended before the first event of the stream")
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
