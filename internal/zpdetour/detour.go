// Package zpdetour opens connections to endpoints through another daemon while this one
// cannot reach them itself.
package zpdetour

import (
	"context"
	"errors"
	"net"
	"time"
)

type (
	// OpenFunc opens a connection to an endpoint through the daemon at peer (IP:PORT). It ends
	// once the other daemon has connected to the endpoint, or with one of the errors below;
	// nothing has been sent to the endpoint until then. The connection reports io.EOF only if
	// the endpoint has closed its side in order; the loss of the other daemon is an error.
	OpenFunc func(ctx context.Context, peer, endpoint string) (net.Conn, error)

	// Reach tells which endpoints a daemon can connect to by itself.
	Reach struct {
		IsCut   bool      // this daemon seems to be cut off from all endpoints, although others reach them
		Since   time.Time // of IsCut; zero: it is not cut off
		Blocked []string  // addresses that only others reach, sorted
	}

	// regionsKey is the key of the allowed regions in a context.
	regionsKey struct{}
	// directKey is the key in a context that forbids detours, failedKey in one that forbids a
	// connect of this daemon.
	directKey struct{}
	failedKey struct{}
)

// Errors of an OpenFunc, in place of a connection. syscall.ECONNREFUSED means that the
// endpoint's VM is up and no process listens.
var (
	ErrNoPath = errors.New("the other daemon cannot reach the endpoint")
	// ErrUndecided says nothing about the endpoint, nor about what the other daemon reaches besides.
	ErrUndecided   = errors.New("the other daemon cannot tell whether the endpoint is up")
	ErrPeerCut     = errors.New("the other daemon is cut off from all endpoints")
	ErrBusy        = errors.New("the other daemon takes no more connections for others")
	ErrUnsupported = errors.New("the other daemon does not know the call")
	ErrPeerFailed  = errors.New("the other daemon could not be reached")
)

// ErrNoPeer is returned by a Dialer that cannot connect itself and found no daemon that can. It
// says nothing about the endpoint.
var ErrNoPeer = errors.New("no other daemon can connect to endpoints now")

// WithRegions limits the daemons through which a request may be sent to those whose region is
// allowed. Without it, those of all regions may be used.
func WithRegions(ctx context.Context, allows func(region string) bool) context.Context {
	return context.WithValue(ctx, regionsKey{}, allows)
}

// AllowsRegion reports whether a request may be sent through daemons of a region.
func AllowsRegion(ctx context.Context, region string) bool {
	allows, ok := ctx.Value(regionsKey{}).(func(string) bool)
	return !ok || allows(region)
}

// DirectOnly forbids detours: the endpoint must see this daemon.
func DirectOnly(ctx context.Context) context.Context {
	return context.WithValue(ctx, directKey{}, true)
}

// IsDirectOnly reports whether detours are forbidden.
func IsDirectOnly(ctx context.Context) bool { return ctx.Value(directKey{}) != nil }

// AfterConnect tells that a connect of this daemon has just failed, so that only a detour is
// left to try.
func AfterConnect(ctx context.Context) context.Context {
	return context.WithValue(ctx, failedKey{}, true)
}

func isAfterConnect(ctx context.Context) bool { return ctx.Value(failedKey{}) != nil }
