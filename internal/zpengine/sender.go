package zpengine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

// Sender sends a request to an endpoint at most once, and knows by the
// request's Gate whether any byte of it has been sent. Set the exported fields,
// then call Open.
type Sender struct {
	ConnectTimeout time.Duration
	SilenceTimeout time.Duration // how long sent bytes or probes may stay unacknowledged before the connection fails
	IdleTimeout    time.Duration // of pooled connections
	// Detour connects through other daemons where this one cannot; nil: nobody does. Open sets
	// its Direct.
	Detour *zpdetour.Dialer

	direct   dialFunc
	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a connection for each request
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// maxResponseHeaderBytes limits the header of a response, including
// informational (1xx) responses, which a faulty server may send without end.
const maxResponseHeaderBytes = 64 << 10

// maxStatus is the highest status of HTTP (RFC 9110).
const maxStatus = 599

var errInvalidStatus = errors.New("the status is not that of a final response")

// Open creates the HTTP clients.
func (s *Sender) Open() {
	s.direct = zpnet.NewDialer(s.ConnectTimeout, s.SilenceTimeout).DialContext
	direct, anyWay := s.direct, s.direct
	if s.Detour != nil {
		s.Detour.Direct = s.direct
		direct, anyWay = s.Detour.DialDirect, s.Detour.DialContext
	}
	s.pooled = &http.Client{Transport: &http.Transport{
		DialContext:         newGatedDial(direct),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     s.IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	s.unpooled = &http.Client{Transport: &http.Transport{
		DialContext:        newGatedDial(anyWay),
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	for _, h := range []*http.Client{s.pooled, s.unpooled} {
		h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	}
}

// Close closes all idle connections.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// Send sends a request guarded by a gate. A pooled connection may turn out to be
// dead, so requests that must not be repeated use a new one. A response without the status
// of a final response, or with an error of accept, is rejected: Send returns the error, and
// the connection gets no further request. accept may be nil.
//
// The transport never gets GetBody, so that it cannot send the body again.
func (s *Sender) Send(ctx context.Context, req *http.Request, pooled bool, g *Gate, accept func(*http.Response) error) (*http.Response, error) {
	if !pooled || s.isBlocked(ctx, req) {
		res, _, err := attempt(ctx, s.unpooled, req, g, accept)
		return res, err
	}
	res, wasBarred, err := attempt(ctx, s.pooled, req, g, accept)
	if err == nil || ctx.Err() != nil || !hasRepeatableBody(req) {
		return res, err
	}
	switch {
	case wasBarred:
		res, _, err = attempt(ctx, s.unpooled, req, g, accept)
	case s.Detour != nil && isConnectError(err):
		detoured, _, detourErr := attempt(zpdetour.AfterConnect(ctx), s.unpooled, req, g, accept)
		if detourErr == nil || g.Sent() {
			return detoured, detourErr
		}
	}
	return res, err
}

// isBlocked reports whether a request takes a detour. Connections through other daemons are
// not kept: another request may not be allowed there.
func (s *Sender) isBlocked(ctx context.Context, req *http.Request) bool {
	return s.Detour != nil && !zpdetour.IsDirectOnly(ctx) && s.Detour.Tracker.IsBlocked(req.URL.Host, s.Detour.Clock())
}

// isConnectError reports whether a request failed because there was no connection.
func isConnectError(err error) bool {
	opErr, ok := errors.AsType[*net.OpError](err)
	return ok && opErr.Op == "dial"
}

// Do sends a request that may be repeated, over a pooled connection.
func (s *Sender) Do(req *http.Request) (*http.Response, error) {
	x := &exchange{}
	client := s.pooled
	if s.isBlocked(req.Context(), req) {
		client = s.unpooled
	}
	res, err := client.Do(req.WithContext(x.attach(req.Context())))
	x.end(err == nil)
	return res, err
}

// attempt sends a request once. wasBarred reports that no byte was sent, as the connection
// had brought a response that was rejected.
func attempt(ctx context.Context, h *http.Client, req *http.Request, g *Gate, accept func(*http.Response) error) (res *http.Response, wasBarred bool, err error) {
	x := &exchange{gate: g}
	isAccepted := false
	defer func() { x.end(isAccepted) }()
	req = req.WithContext(x.attach(ctx))
	if req.GetBody != nil {
		if req.Body, err = req.GetBody(); err != nil {
			return nil, false, fmt.Errorf("read the request body: %w", err)
		}
		req.GetBody = nil
	}
	res, err = h.Do(req)
	if err != nil {
		return nil, !g.Sent() && x.wasBarred(), err
	}
	if err := checkResponse(res, accept); err != nil {
		_ = res.Body.Close()
		return nil, false, err
	}
	isAccepted = true
	return res, false, nil
}

func checkResponse(res *http.Response, accept func(*http.Response) error) error {
	if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
		// After status 101 the body is the connection itself, which no deadline ends.
		return fmt.Errorf("%w: %d", errInvalidStatus, res.StatusCode)
	}
	if accept == nil {
		return nil
	}
	return accept(res)
}

func hasRepeatableBody(req *http.Request) bool {
	return req.GetBody != nil || req.Body == nil || req.Body == http.NoBody
}

// IsRefusing reports whether an address refuses connections: its host is up, but no process
// listens there. While a process ends, its listener may outlive its other connections for a
// moment; a connection that was accepted then is reset. One that accepts no more
// connections at its limit resets them, too, but does not refuse the next. watch is how
// long an accepted connection is watched for that. A firewall may refuse the connections of this
// daemon alone, so others are asked.
func (s *Sender) IsRefusing(ctx context.Context, address string, watch time.Duration) bool {
	if s.Detour != nil && s.Detour.Tracker.IsBlocked(address, s.Detour.Clock()) {
		if refusing, ok := s.Detour.AskRefusing(ctx, address, watch); ok {
			return refusing
		}
	}
	return s.isRefusingDirectly(ctx, address, watch) && (s.Detour == nil || s.Detour.IsRefusing(ctx, address, watch))
}

func (s *Sender) isRefusingDirectly(ctx context.Context, address string, watch time.Duration) bool {
	dial := newGatedDial(zpnet.NewDialer(s.ConnectTimeout, s.SilenceTimeout).DialContext)
	conn, err := dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return true
	case err != nil && !errors.Is(err, syscall.ECONNRESET), err == nil && !zpnet.EndsWithin(conn, watch):
		return false
	}
	conn, err = dial(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// newGatedDial returns a dial function whose connections can be guarded by a Gate.
func newGatedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}
