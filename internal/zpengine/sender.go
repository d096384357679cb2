package zpengine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

// Sender sends a request to an endpoint at most once, and knows by the
// request's gate whether any byte of it has been sent. Set the exported fields,
// then call Open.
type Sender struct {
	ConnectTimeout time.Duration
	Silence        time.Duration // unacknowledged bytes after which a connection is given up
	IdleTimeout    time.Duration // of kept connections

	kept  *http.Client // keeps connections
	fresh *http.Client // a new connection for each request
}

// headLimit bounds the head of an answer, bytes; it also counts heads that are
// only informational. Servers in trouble send heads without end.
const headLimit = 64 << 10

// Open prepares the connections.
func (s *Sender) Open() {
	s.kept = &http.Client{Transport: &http.Transport{
		DialContext:         gatedDial(s.ConnectTimeout, s.Silence),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     s.IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: headLimit,
	}}
	s.fresh = &http.Client{Transport: &http.Transport{
		DialContext:        gatedDial(s.ConnectTimeout, s.Silence),
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: headLimit,
	}}
	for _, h := range []*http.Client{s.kept, s.fresh} {
		h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	}
}

// Close drops all idle connections.
func (s *Sender) Close() {
	s.kept.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Send sends a request through a gate. A kept connection may turn out to be
// dead, so requests that must not be repeated go over a fresh one.
func (s *Sender) Send(ctx context.Context, req *http.Request, kept bool, g *Gate) (*http.Response, error) {
	h := s.fresh
	if kept {
		h = s.kept
	}
	return h.Do(req.WithContext(withGate(ctx, g)))
}

// Do sends a request that may be repeated over a kept connection.
func (s *Sender) Do(req *http.Request) (*http.Response, error) { return s.kept.Do(req) }

// gatedDial makes connections that a gate can guard.
func gatedDial(timeout, silence time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := zpnet.NewDialer(timeout, silence)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn}, nil
	}
}
