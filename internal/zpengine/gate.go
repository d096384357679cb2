// Package zpengine is the client for model engines and plain services. It
// tracks whether any byte of a request has been sent, and so whether the
// request may have run.
package zpengine

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpnet"
)

type (
	// Gate allows the first byte of one request to be sent only before the deadline,
	// while the caller is connected and MaySend agrees, and records whether it was.
	Gate struct {
		Deadline time.Time
		Clock    func() time.Time
		OnSend   func() // called just before the deadline is checked and the first byte sent
		// HasCallerLeft is called before the first byte; nil means that the caller
		// is always connected.
		HasCallerLeft func() bool
		// MaySend is called before the first byte; an error keeps the gate closed. It may
		// be nil.
		MaySend func() error

		onOpened   func() // called once when the first byte may be sent; may be nil
		state      atomic.Int32
		refusedErr atomic.Pointer[error]
		through    atomic.Pointer[string] // daemon to which the connection leads; nil: to the endpoint
		isReused   atomic.Bool            // the connection was used for another request before
	}

	// gatedConn checks the turn of the current request before each write.
	gatedConn struct {
		net.Conn
		turn atomic.Pointer[turn]
	}
)

// States of a gate.
const (
	gateUnused int32 = iota
	gateSent         // a byte may have been sent
	gateClosed       // no byte was sent, and none will be
)

var (
	// ErrDeadline is returned by a write after the deadline.
	ErrDeadline = errors.New("the reservation's deadline to start has passed")
	// ErrCallerDisconnected is returned by a write after the caller has disconnected.
	ErrCallerDisconnected = errors.New("the caller closed its connection before the request was sent")
)

// Sent reports whether any byte of the request may have been sent.
func (g *Gate) Sent() bool { return g.state.Load() == gateSent }

// Close closes the gate for good unless a byte was sent, and reports whether it
// is closed.
func (g *Gate) Close() bool {
	return g.state.CompareAndSwap(gateUnused, gateClosed) || g.state.Load() == gateClosed
}

// IsConnectionReused reports whether the request was sent on a connection that another
// request was sent on before.
func (g *Gate) IsConnectionReused() bool { return g.isReused.Load() }

// Through returns the name of the daemon through which the request was sent, or "" if it was
// sent to the endpoint itself.
func (g *Gate) Through() string {
	if name := g.through.Load(); name != nil {
		return *name
	}
	return ""
}

// Err returns why the gate did not open, or nil if it did or was not used.
// The error from the HTTP client may only say that the connection was closed.
func (g *Gate) Err() error {
	if err := g.refusedErr.Load(); err != nil && !g.Sent() {
		return *err
	}
	return nil
}

// Open allows the first byte to be sent, or fails once the deadline has passed,
// the caller has disconnected or MaySend fails.
func (g *Gate) Open() error {
	if g.Sent() {
		return nil
	}
	err := g.open()
	if err != nil {
		g.refusedErr.Store(&err)
	}
	return err
}

func (g *Gate) open() error {
	if g.HasCallerLeft != nil && g.HasCallerLeft() {
		return ErrCallerDisconnected
	}
	if g.MaySend != nil {
		if err := g.MaySend(); err != nil {
			return err
		}
	}
	// OnSend must come before the deadline check: an owner that queries later
	// counts the registered start, and an owner that queried earlier did so
	// after the deadline of any reservation that it must not miss.
	if g.OnSend != nil {
		g.OnSend()
	}
	if !g.Clock().Before(g.Deadline) {
		return ErrDeadline
	}
	if g.state.CompareAndSwap(gateUnused, gateSent) {
		if g.onOpened != nil {
			g.onOpened()
		}
		return nil
	}
	if !g.Sent() {
		return ErrCallerDisconnected
	}
	return nil
}

// Write sends bytes if the gate allows it.
func (c *gatedConn) Write(b []byte) (int, error) {
	if t := c.turn.Load(); t != nil {
		if err := t.begin(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Read reads bytes. The end of a connection that was reset is an error, also if a write has
// consumed the kernel's report of the reset.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && zpnet.WasReset(c.Conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// closedGate refuses every byte.
var closedGate = &Gate{Clock: time.Now}
