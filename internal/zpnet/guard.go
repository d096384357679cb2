package zpnet

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
)

type (
	// Guard charges the connections of an HTTP server and the heads that they send to a
	// budget. Set the exported fields, wrap the listener, and use ConnState and ConnContext
	// as the server's.
	Guard struct {
		Budget *zpmemory.Budget
		Clock  func() time.Time
		// Refusal is the HTTP response to a head for which there is no memory.
		Refusal []byte
		// MaxHeadBytes returns the limit of a head, and TooLarge is the HTTP response to a
		// head beyond it. Nil means that the server's limit alone applies.
		MaxHeadBytes func() int
		TooLarge     []byte
	}

	guardedListener struct {
		net.Listener
		guard *Guard
	}

	guardedConn struct {
		*net.TCPConn
		guard   *Guard
		holder  *zpmemory.Holder
		evicted atomic.Bool // reads fail
		// bufferedLines is the most lines that the server may have read beyond the current
		// request. It is used by one goroutine at a time, as reads are.
		bufferedLines int
		headBytes     int // of the current head, and of the body in the same reads
		bodyBytes     int // read of the current body
		isWide        bool
	}

	holderKey struct{}
)

const (
	// narrowReceiveBytes and wideReceiveBytes limit the bytes that the kernel receives for a
	// connection before they are read; it doubles them. A connection is wide for a body that
	// is longer than the narrow buffer, if there is memory for it.
	narrowReceiveBytes = 8 << 10
	wideReceiveBytes   = 64 << 10
	kernelFactor       = 2
	// serverBufferBytes is the size of the buffer through which net/http reads heads.
	serverBufferBytes = 4 << 10
	// writePieceBytes is the largest write that is made at once, so that progress shows.
	writePieceBytes = 64 << 10
	// UnreadBodyGrace is the time for a caller whose request was refused unread to read the
	// response, which a connection closed with unread bytes would discard.
	UnreadBodyGrace = 300 * time.Millisecond
)

var errHeadRefused = errors.New("the head of a request is too large, or there is no memory for it")

// Listener returns a listener whose connections are charged to the budget. Those for which
// it has no room are closed unread.
func (g *Guard) Listener(lis net.Listener) net.Listener {
	return &guardedListener{Listener: lis, guard: g}
}

// ConnState is that of an http.Server.
func (g *Guard) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := guardedOf(conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.holder.Enter(zpmemory.PhaseRunning, time.Time{})
	case http.StateIdle:
		now := g.Clock()
		c.holder.Reset(now)
		c.narrow()
		if lines := int64(c.bufferedLines); lines > 0 && c.holder.Reserve(lines*zpmemory.LineBytes, now) != nil {
			_ = c.Close() // fails only on a closed connection
		}
	case http.StateClosed, http.StateHijacked:
		c.holder.Close()
	}
}

// ConnContext is that of an http.Server. The context has the connection's Peer and Holder.
func (g *Guard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = WithPeer(ctx, conn)
	if c, ok := guardedOf(conn); ok {
		ctx = context.WithValue(ctx, holderKey{}, c.holder)
	}
	return ctx
}

// HolderOf returns the Holder stored by ConnContext, or one without a limit.
func HolderOf(ctx context.Context) *zpmemory.Holder {
	if h, ok := ctx.Value(holderKey{}).(*zpmemory.Holder); ok {
		return h
	}
	b := &zpmemory.Budget{Bytes: math.MaxInt64, Connections: 1}
	h, err := b.Open(func(zpmemory.Phase) {}, time.Time{})
	if err != nil {
		panic(err) // can't happen: the budget is empty
	}
	return h
}

func guardedOf(conn net.Conn) (*guardedConn, bool) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, ok := conn.(*guardedConn)
	return c, ok
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		c := &guardedConn{TCPConn: tcp, guard: l.guard}
		if c.holder, err = l.guard.Budget.Open(c.evict, l.guard.Clock()); err == nil {
			return c, nil
		}
		_ = tcp.Close() // fails only on a closed connection
	}
}

// Read charges what it has read of a head before the server parses it.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n <= 0 {
		return n, err
	}
	switch c.holder.Phase() {
	case zpmemory.PhaseIdle, zpmemory.PhaseHead:
		now := c.guard.Clock()
		if response := c.checkHead(p[:n], now); response != nil {
			c.refuse(response, now)
			// The server closes a connection without a response after such an error.
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadRefused}
		}
		return n, err
	case zpmemory.PhaseBody:
		c.holder.Advance(n, c.guard.Clock())
		if c.bodyBytes += n; c.bodyBytes >= narrowReceiveBytes && !c.isWide {
			c.widen()
		}
	}
	if n <= serverBufferBytes {
		c.bufferedLines = max(c.bufferedLines, bytes.Count(p[:n], []byte{'\n'}))
	}
	return n, err
}

// widen lets the kernel receive more of a long body before it is read.
func (c *guardedConn) widen() {
	if c.holder.TryReserve(kernelFactor * wideReceiveBytes) {
		c.isWide = true
		_ = c.SetReadBuffer(wideReceiveBytes) // fails only on a closed connection
	}
}

// narrow undoes widen once a request has ended.
func (c *guardedConn) narrow() {
	c.bodyBytes = 0
	if c.isWide {
		c.isWide = false
		_ = c.SetReadBuffer(narrowReceiveBytes) // fails only on a closed connection
	}
}

// checkHead charges a part of a head, and returns the response to one that is refused.
func (c *guardedConn) checkHead(p []byte, now time.Time) (response []byte) {
	if c.holder.Phase() == zpmemory.PhaseIdle {
		c.holder.Enter(zpmemory.PhaseHead, now)
		c.headBytes = 0
	}
	c.holder.Advance(len(p), now)
	end := headEnd(p)
	c.headBytes += end
	if c.guard.MaxHeadBytes != nil && c.headBytes > c.guard.MaxHeadBytes()+serverBufferBytes {
		return c.guard.TooLarge
	}
	c.bufferedLines = bytes.Count(p[end:], []byte{'\n'})
	lines := bytes.Count(p[:end], []byte{'\n'})
	if c.holder.Reserve(int64(len(p)+lines*zpmemory.LineBytes), now) != nil {
		return c.guard.Refusal
	}
	return nil
}

// headEnd returns the end of the first head in p, or the length of p.
func headEnd(p []byte) int {
	for _, blank := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(p, []byte(blank)); i >= 0 {
			return i + len(blank)
		}
	}
	return len(p)
}

// refuse answers a request whose head was not read to its end. No earlier request of the
// connection is unanswered then.
func (c *guardedConn) refuse(response []byte, now time.Time) {
	c.holder.Reset(now)
	if err := c.SetDeadline(time.Now().Add(UnreadBodyGrace)); err != nil {
		return // closed
	}
	if _, err := c.TCPConn.Write(response); err != nil {
		return // the caller has disconnected
	}
	if err := c.CloseWrite(); err != nil {
		return // the caller has disconnected
	}
	var discarded [512]byte
	for {
		if _, err := c.TCPConn.Read(discarded[:]); err != nil {
			return // the caller has disconnected, or the time is over
		}
	}
}

// Write writes in pieces that show progress.
func (c *guardedConn) Write(p []byte) (int, error) {
	phase := c.holder.Phase()
	c.holder.Enter(zpmemory.PhaseWriting, time.Time{})
	sent := 0
	for {
		n, err := c.TCPConn.Write(p[sent:min(sent+writePieceBytes, len(p))])
		sent += n
		if err != nil || sent == len(p) {
			c.holder.Enter(phase, time.Time{})
			return sent, err
		}
		c.holder.Advance(n, c.guard.Clock())
	}
}

// SetReadDeadline keeps the read of an evicted body from going on.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.evicted.Load() {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Close gives the connection's memory back.
func (c *guardedConn) Close() error {
	c.holder.Close()
	return c.TCPConn.Close()
}

// evict ends the read of a body, so that the caller gets a response, or else the connection.
func (c *guardedConn) evict(phase zpmemory.Phase) {
	if phase == zpmemory.PhaseBody {
		c.evicted.Store(true)
		if err := c.SetReadDeadline(time.Unix(1, 0)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
	_ = c.TCPConn.Close() // fails only on a closed connection
}

// LimitReceiveBuffer is a Control function of a listener; its connections inherit the size.
func LimitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A kernel that refuses the size keeps its own limit.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, narrowReceiveBytes)
	})
}
