// Package zperror defines the typed errors of zinniapaddle. An error has a kind,
// a stable code, a remedy, and states whether the request it belongs to has run.
package zperror

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

type (
	// Kind classifies an error by what its receiver can do about it.
	Kind int

	// RunState tells a caller whether its request has run.
	RunState int

	// Error is the error type that packages return to each other and that the API
	// reports to clients.
	Error struct {
		Kind       Kind
		Code       string        // stable, snake case
		Message    string        // what happened
		Remedy     string        // what the receiver can do
		RunState   RunState      // whether the request has run
		RetryAfter time.Duration // zero if the receiver gets no advice
		Cause      error
	}
)

// Kinds of errors.
const (
	KindInternal    Kind = iota // a fault in the daemon
	KindInvalid                 // the request or file is malformed
	KindDenied                  // the API key is unknown or not permitted
	KindNotFound                // the named resource does not exist
	KindConflict                // a concurrent write or request took precedence
	KindOverloaded              // a limit is reached; a later attempt may succeed
	KindUnavailable             // a required component cannot be reached
	KindEndpoint                // the endpoint failed while the request ran
	KindTimeout                 // the endpoint did not answer in time
	KindCancelled               // the caller closed the connection
	KindTooLarge                // the request is larger than allowed
	KindSlowCaller              // the request did not arrive in time
)

// statusClientClosedRequest is the conventional non-standard status of a
// request whose caller closed the connection. No caller receives it.
const statusClientClosedRequest = 499

// Run states of a request.
const (
	RunStateNotRun RunState = iota
	RunStateRan
	RunStateUnknown
)

// Error formats the message and the remedy.
func (e *Error) Error() string {
	text := e.Message
	if e.Remedy != "" {
		text = fmt.Sprintf("%s; remedy: %s", text, e.Remedy)
	}
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithState returns a copy of e with the given run state.
func (e *Error) WithState(state RunState) *Error {
	c := *e
	c.RunState = state
	return &c
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// WithRetryAfter returns a copy of e that advises the receiver to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// New returns an error of the given kind for a request that has not run.
func New(kind Kind, code, message, remedy string) *Error {
	return &Error{Kind: kind, Code: code, Message: message, Remedy: remedy}
}

// Of returns the first *Error in the chain of err. Any other error is wrapped as
// an internal error whose run state is unknown.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:     KindInternal,
		Code:     "internal",
		Message:  "unexpected failure",
		Remedy:   "report it with the trace id",
		RunState: RunStateUnknown,
		Cause:    err,
	}
}

// Is reports whether the first *Error in the chain of err has the given code.
func Is(err error, code string) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// String returns the wire name of the run state.
func (s RunState) String() string {
	switch s {
	case RunStateNotRun:
		return "not_run"
	case RunStateRan:
		return "ran"
	default:
		return "unknown"
	}
}

// ParseRunState returns the run state with the given wire name, or
// RunStateUnknown for any other name.
func ParseRunState(name string) RunState {
	switch name {
	case "not_run":
		return RunStateNotRun
	case "ran":
		return RunStateRan
	default:
		return RunStateUnknown
	}
}

// HTTPStatus returns the HTTP status for the kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case KindInvalid:
		return http.StatusBadRequest
	case KindDenied:
		return http.StatusUnauthorized
	case KindNotFound:
		return http.StatusNotFound
	case KindConflict:
		return http.StatusConflict
	case KindOverloaded:
		return http.StatusTooManyRequests
	case KindUnavailable:
		return http.StatusServiceUnavailable
	case KindEndpoint:
		return http.StatusBadGateway
	case KindTimeout:
		return http.StatusGatewayTimeout
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindSlowCaller:
		return http.StatusRequestTimeout
	case KindCancelled:
		return statusClientClosedRequest
	default:
		return http.StatusInternalServerError
	}
}

// WireType returns the OpenAI error type for the kind.
func (k Kind) WireType() string {
	switch k {
	case KindInvalid, KindNotFound, KindConflict:
		return "invalid_request_error"
	case KindDenied:
		return "authentication_error"
	case KindOverloaded:
		return "rate_limit_error"
	default:
		return "server_error"
	}
}
