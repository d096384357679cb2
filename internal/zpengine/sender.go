package zpengine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

// Sender sends a request to an endpoint at most once, and knows by the
// request's Gate whether any byte of it has been sent. Set the exported fields,
// then call Open.
type Sender struct {
	ConnectTimeout time.Duration
	AckTimeout     time.Duration // how long sent bytes may stay unacknowledged before the connection fails
	IdleTimeout    time.Duration // of pooled connections

	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a connection for each request
}

// maxResponseHeaderBytes limits the header of a response, including
// informational (1xx) responses, which a faulty server may send without end.
const maxResponseHeaderBytes = 64 << 10

// Open creates the HTTP clients.
func (s *Sender) Open() {
	s.pooled = &http.Client{Transport: &http.Transport{
		DialContext:         newGatedDial(s.ConnectTimeout, s.AckTimeout),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     s.IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	s.unpooled = &http.Client{Transport: &http.Transport{
		DialContext:        newGatedDial(s.ConnectTimeout, s.AckTimeout),
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
// dead, so requests that must not be repeated use a new one.
func (s *Sender) Send(ctx context.Context, req *http.Request, pooled bool, g *Gate) (*http.Response, error) {
	h := s.unpooled
	if pooled {
		h = s.pooled
	}
	return h.Do(req.WithContext(withGate(ctx, g)))
}

// Do sends a request that may be repeated, over a pooled connection.
func (s *Sender) Do(req *http.Request) (*http.Response, error) { return s.pooled.Do(req) }

// IsRefusing reports whether an address refuses connections: its host is up, but no process
// listens there.
func (s *Sender) IsRefusing(ctx context.Context, address string) bool {
	conn, err := newGatedDial(s.ConnectTimeout, s.AckTimeout)(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// newGatedDial returns a dial function whose connections can be guarded by a Gate.
func newGatedDial(connectTimeout, ackTimeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := zpnet.NewDialer(connectTimeout, ackTimeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}
