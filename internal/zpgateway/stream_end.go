package zpgateway

import "errors"

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
