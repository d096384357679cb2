// Package zpengine is the narrow wrapper round model engines and plain
// services. It knows exactly whether any byte of a request has been sent, and
// so whether the request may have run.
package zpengine

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

type (
	// Gate guards the first byte of one request. It opens only before the
	// deadline and while the caller is there, and remembers whether it opened.
	Gate struct {
		Deadline time.Time
		Clock    func() time.Time
		OnSend   func() // called just before the deadline is checked and the first byte sent
		// HasCallerLeft is asked before the first byte; nil: the caller stays.
		HasCallerLeft func() bool

		state   atomic.Int32
		refusal atomic.Pointer[error]
	}

	// gatedConn asks the gate of the present request before the first byte.
	gatedConn struct {
		net.Conn
		gate atomic.Pointer[Gate]
	}
)

// States of a gate.
const (
	gateUnused int32 = iota
	gateSent         // a byte may have been sent
	gateShut         // none was, and none will be
)

var (
	// ErrDeadline is returned by a write that would have come after the deadline.
	ErrDeadline = errors.New("the reservation's deadline to start has passed")
	// ErrCallerLeft is returned by a write for a caller that has left.
	ErrCallerLeft = errors.New("the caller closed its connection before the request was sent")
)

// Sent reports whether any byte may have been sent.
func (g *Gate) Sent() bool { return g.state.Load() == gateSent }

// Shut shuts the gate for good unless a byte was sent, and reports whether it is
// shut.
func (g *Gate) Shut() bool {
	return g.state.CompareAndSwap(gateUnused, gateShut) || g.state.Load() == gateShut
}

// Refusal returns why the gate did not open, nil if it did or was not asked. The
// error of the connection may tell only that it was closed then.
func (g *Gate) Refusal() error {
	if err := g.refusal.Load(); err != nil && !g.Sent() {
		return *err
	}
	return nil
}

// Open is asked before the first byte. It fails once the deadline has passed or
// the caller has left.
func (g *Gate) Open() error {
	if g.Sent() {
		return nil
	}
	err := g.open()
	if err != nil {
		g.refusal.Store(&err)
	}
	return err
}

func (g *Gate) open() error {
	if g.HasCallerLeft != nil && g.HasCallerLeft() {
		return ErrCallerLeft
	}
	// The order matters: once OnSend has registered the start, an owner that
	// asks counts it; an owner that asked before did so after the deadline of
	// any reservation that it must not miss.
	if g.OnSend != nil {
		g.OnSend()
	}
	if !g.Clock().Before(g.Deadline) {
		return ErrDeadline
	}
	if !g.state.CompareAndSwap(gateUnused, gateSent) && !g.Sent() {
		return ErrCallerLeft
	}
	return nil
}

// Write sends bytes if the gate allows.
func (c *gatedConn) Write(b []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.Open(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// closedGate refuses every byte.
var closedGate = &Gate{Clock: time.Now}

// withGate arms the connections that the request is given with its gate. Once
// any byte has been sent, a further connection, on which the transport would
// repeat the request, gets a closed gate.
func withGate(ctx context.Context, g *Gate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn
			if secure, ok := conn.(*tls.Conn); ok {
				conn = secure.NetConn()
			}
			if gated, ok := conn.(*gatedConn); ok {
				next := g
				if g.Sent() {
					next = closedGate
				}
				gated.gate.Store(next)
			}
		},
	})
}
