package zpfront

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	wireErrorBody struct {
		Error wireError `json:"error"`
	}
	wireError struct {
		Message   string  `json:"message"`
		Type      string  `json:"type"`
		Param     *string `json:"param"`
		Code      string  `json:"code"`
		Remedy    string  `json:"remedy"`
		RunState  string  `json:"run_state"`
		RequestID string  `json:"request_id,omitempty"`
	}
)

const headerRequestID = "X-Request-Id"

var errUnknownPath = zperror.New(zperror.KindNotFound, "unknown_path",
	"there is nothing at this path", "see the README for the paths that are served")

// errorBody returns an error in the OpenAI format, with a remedy and run state.
func errorBody(err error, requestID string) wireErrorBody {
	e := zperror.Of(err)
	return wireErrorBody{Error: wireError{
		Message: e.Message, Type: e.Kind.WireType(), Code: e.Code, Remedy: e.Remedy,
		RunState: e.RunState.String(), RequestID: requestID,
	}}
}

// writeError sends an error response. No part of a response may have been sent.
func writeError(c iris.Context, err error, requestID string) {
	e := zperror.Of(err)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		c.Header("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	c.StatusCode(e.Kind.HTTPStatus())
	c.ContentType("application/json")
	text, marshalErr := json.Marshal(errorBody(err, requestID))
	if marshalErr != nil {
		return
	}
	// A write error means that the caller has disconnected.
	_, _ = c.Write(text)
}

// RefusalOf returns the whole response to a request that is refused before its head is read.
func RefusalOf(err error) []byte {
	e := zperror.Of(err)
	status := e.Kind.HTTPStatus()
	text, marshalErr := json.Marshal(errorBody(err, ""))
	if marshalErr != nil {
		text = nil // can't happen: all values are strings
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nRetry-After: %.0f\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), math.Ceil(e.RetryAfter.Seconds()), len(text), text)
}

func (f *Server) notFound(c iris.Context) { writeError(c, errUnknownPath, "") }
