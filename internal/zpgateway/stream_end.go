package zpgateway

import "errors"

var errNoEvent = errors.New("the connection ended before the first event of the stream")

// checkStreamEnd returns the reason why a stream that ended without an error is not
// complete, or nil.
func checkStreamEnd(j *job, a *Response) error {
	// Nothing may follow the event after which a stream is resumed, but a stream has
	// at least one event.
	hasEvent := j.lastEvent != "" || j.request.LastEventID != ""
	if a.EndsWithConnection && !hasEvent {
		return errNoEvent
	}
	return nil
}
