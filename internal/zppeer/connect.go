package zppeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer/zppeerpb"
)

type (
	// endpointConn is a connection to an endpoint through another daemon.
	endpointConn struct {
		stream  zppeerpb.DRPCSharing_ConnectClient
		cancel  context.CancelFunc
		address endpointAddress
		chunks  chan []byte   // received, not read yet; closed after readErr is set
		closed  chan struct{} // closed by Close
		close   func()
		writing sync.Mutex // held while data is sent
		rest    []byte     // of the chunk that was read last
		readErr error
	}

	endpointAddress string
)

const (
	// connectTimeout is the time in which another daemon must connect to an endpoint.
	connectTimeout = 120 * time.Millisecond
	// closeTimeout is the time in which another daemon must confirm that a connection is
	// closed, so that the one to it can be used again.
	closeTimeout     = 200 * time.Millisecond
	connectChunk     = 16 << 10 // bytes
	maxBufferedChunk = 2
	// unknownCall is part of the error of a daemon that does not know a call.
	unknownCall = "unknown rpc"
)

var (
	connectErrors = map[zppeerpb.ConnectResult]error{
		zppeerpb.ConnectResult_CONNECT_RESULT_REFUSED:     syscall.ECONNREFUSED,
		zppeerpb.ConnectResult_CONNECT_RESULT_UNREACHABLE: zpdetour.ErrNoPath,
		zppeerpb.ConnectResult_CONNECT_RESULT_CUT:         zpdetour.ErrPeerCut,
		zppeerpb.ConnectResult_CONNECT_RESULT_BUSY:        zpdetour.ErrBusy,
	}

	errPeerLost = errors.New("the connection through another daemon was lost")
)

// Connect implements zppeerpb.DRPCSharingServer.
func (h *SharingHandler) Connect(stream zppeerpb.DRPCSharing_ConnectStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	conn, err := h.OpenEndpoint(stream.Context(), first.GetAddress(), decodeMilliseconds(first.GetTimeoutMs()))
	if err != nil {
		return stream.Send(&zppeerpb.ConnectReply{Result: encodeConnectError(err)})
	}
	defer func() { _ = conn.Close() }()
	if err := stream.Send(&zppeerpb.ConnectReply{Result: zppeerpb.ConnectResult_CONNECT_RESULT_CONNECTED}); err != nil {
		return err
	}
	replies := make(chan struct{})
	go func() {
		defer close(replies)
		sendReplies(stream, conn)
	}()
	err = forwardRequests(stream, conn)
	// Nothing may be sent on the stream after its handler has returned.
	_ = conn.Close()
	<-replies
	return err
}

// forwardRequests writes what the other daemon sends to the endpoint, until it sends nothing
// more or leaves.
func forwardRequests(stream zppeerpb.DRPCSharing_ConnectStream, conn net.Conn) error {
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := conn.Write(m.GetData()); err != nil {
			return nil // the reader of the endpoint's bytes tells the other daemon
		}
	}
}

// sendReplies sends what the endpoint sends to the other daemon, and how that ended.
func sendReplies(stream zppeerpb.DRPCSharing_ConnectStream, conn net.Conn) {
	buffer := make([]byte, connectChunk)
	for {
		n, err := conn.Read(buffer)
		m := &zppeerpb.ConnectReply{Data: buffer[:n], End: errors.Is(err, io.EOF), Reset_: err != nil && !errors.Is(err, io.EOF)}
		// An error means that the other daemon has left, which ends forwardRequests.
		if sendErr := stream.Send(m); sendErr != nil || err != nil {
			return
		}
	}
}

func encodeConnectError(err error) zppeerpb.ConnectResult {
	switch {
	case errors.Is(err, zpdetour.ErrPeerCut):
		return zppeerpb.ConnectResult_CONNECT_RESULT_CUT
	case errors.Is(err, zpdetour.ErrBusy):
		return zppeerpb.ConnectResult_CONNECT_RESULT_BUSY
	case errors.Is(err, syscall.ECONNREFUSED):
		return zppeerpb.ConnectResult_CONNECT_RESULT_REFUSED
	default:
		return zppeerpb.ConnectResult_CONNECT_RESULT_UNREACHABLE
	}
}

// OpenEndpoint opens a connection to an endpoint through the daemon at address peer. Its errors
// are those of a zpdetour.OpenFunc.
func OpenEndpoint(ctx context.Context, d *Dialer, peer, endpoint string) (net.Conn, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopWatching := context.AfterFunc(ctx, cancel)
	conn, err := openEndpoint(streamCtx, cancel, d, peer, endpoint)
	if d.OnCall != nil {
		d.OnCall("connect", err)
	}
	if !stopWatching() && err == nil {
		_ = conn.Close()
		return nil, context.Cause(ctx)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return conn, nil
}

func openEndpoint(ctx context.Context, cancel context.CancelFunc, d *Dialer, peer, endpoint string) (*endpointConn, error) {
	peerConn := d.pool.Get(ctx, peer, d.dial)
	stream, err := zppeerpb.NewDRPCSharingClient(peerConn).Connect(ctx)
	if err != nil {
		return nil, errors.Join(zpdetour.ErrPeerFailed, err)
	}
	if err := stream.Send(&zppeerpb.ConnectRequest{Address: endpoint, TimeoutMs: connectTimeout.Milliseconds()}); err != nil {
		return nil, errors.Join(zpdetour.ErrPeerFailed, err)
	}
	reply, err := stream.Recv()
	switch {
	case err != nil && strings.Contains(err.Error(), unknownCall):
		return nil, zpdetour.ErrUnsupported
	case err != nil:
		return nil, errors.Join(zpdetour.ErrPeerFailed, err)
	case reply.GetResult() != zppeerpb.ConnectResult_CONNECT_RESULT_CONNECTED:
		_ = stream.Close() // fails only if the other daemon has closed it already
		if err, ok := connectErrors[reply.GetResult()]; ok {
			return nil, err
		}
		return nil, fmt.Errorf("%w: result %d", zpdetour.ErrUnsupported, reply.GetResult())
	}
	c := &endpointConn{
		stream: stream, cancel: cancel, address: endpointAddress(endpoint), chunks: make(chan []byte, maxBufferedChunk), closed: make(chan struct{}),
	}
	c.close = sync.OnceFunc(c.end)
	go c.receive()
	return c, nil
}

// receive takes what the endpoint sends from the stream until that ends.
func (c *endpointConn) receive() {
	defer close(c.chunks)
	for {
		m, err := c.stream.Recv()
		if err != nil {
			c.readErr = errors.Join(errPeerLost, syscall.ECONNRESET)
			return
		}
		if len(m.GetData()) > 0 {
			select {
			case c.chunks <- m.GetData():
			case <-c.closed:
			}
		}
		if m.GetEnd() || m.GetReset_() {
			c.readErr = io.EOF
			if m.GetReset_() {
				c.readErr = syscall.ECONNRESET
			}
			return
		}
	}
}

// Read implements net.Conn.
func (c *endpointConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case chunk, ok := <-c.chunks:
			if !ok {
				return 0, c.readErr
			}
			c.rest = chunk
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *endpointConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	written := 0
	for len(b) > 0 {
		n := min(len(b), connectChunk)
		if err := c.stream.Send(&zppeerpb.ConnectRequest{Data: b[:n]}); err != nil {
			return written, errors.Join(errPeerLost, err)
		}
		written, b = written+n, b[n:]
	}
	return written, nil
}

// Close implements net.Conn. The other daemon closes its connection to the endpoint at once.
func (c *endpointConn) Close() error {
	c.close()
	return nil
}

func (c *endpointConn) end() {
	close(c.closed)
	if !c.writing.TryLock() {
		// CloseSend would wait for the blocked write, and the end of the context for CloseSend.
		c.cancel()
		return
	}
	defer c.writing.Unlock()
	time.AfterFunc(closeTimeout, c.cancel)
	// An error means that the stream has ended.
	_ = c.stream.CloseSend()
}

// LocalAddr implements net.Conn.
func (c *endpointConn) LocalAddr() net.Addr { return endpointAddress("") }

// RemoteAddr implements net.Conn.
func (c *endpointConn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn.
func (c *endpointConn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *endpointConn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *endpointConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// Network implements net.Addr.
func (a endpointAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a endpointAddress) String() string { return string(a) }
