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
		stream   zppeerpb.DRPCSharing_ConnectClient
		cancel   context.CancelFunc
		address  endpointAddress
		requests *sendWindow
		replies  *receiveBuffer
		close    func()
	}

	// relayedConn is a connection to an endpoint that was opened for another daemon.
	relayedConn struct {
		net.Conn
		stream   zppeerpb.DRPCSharing_ConnectStream
		requests *receiveBuffer
		replies  *sendWindow
	}

	endpointAddress string
)

const (
	// connectTimeout is the time in which another daemon must connect to an endpoint.
	connectTimeout = 120 * time.Millisecond
	// closeTimeout is the time in which another daemon must confirm that a connection is
	// closed, so that the one to it can be used again.
	closeTimeout = 200 * time.Millisecond
	connectChunk = 16 << 10 // bytes
	// unknownCall is part of the error of a daemon that does not know a call.
	unknownCall = "unknown rpc"
)

var (
	connectErrors = map[zppeerpb.ConnectResult]error{
		zppeerpb.ConnectResult_CONNECT_RESULT_REFUSED:     syscall.ECONNREFUSED,
		zppeerpb.ConnectResult_CONNECT_RESULT_UNREACHABLE: zpdetour.ErrNoPath,
		zppeerpb.ConnectResult_CONNECT_RESULT_CUT:         zpdetour.ErrPeerCut,
		zppeerpb.ConnectResult_CONNECT_RESULT_BUSY:        zpdetour.ErrBusy,
		zppeerpb.ConnectResult_CONNECT_RESULT_UNDECIDED:   zpdetour.ErrUndecided,
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
	c := &relayedConn{Conn: conn, stream: stream, requests: newReceiveBuffer(), replies: newSendWindow()}
	var workers sync.WaitGroup
	workers.Go(c.writeRequests)
	workers.Go(c.sendReplies)
	err = c.receive()
	c.requests.discard(net.ErrClosed)
	c.replies.close()
	_ = conn.Close()
	// Nothing may be sent on the stream after its handler has returned.
	workers.Wait()
	return err
}

// receive takes what the other daemon sends from the stream, until it leaves.
func (c *relayedConn) receive() error {
	for {
		m, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.replies.add(int(m.GetTaken()))
		if err := c.requests.put(m.GetData()); err != nil {
			return err
		}
	}
}

// writeRequests writes what the other daemon sends to the endpoint.
func (c *relayedConn) writeRequests() {
	buffer := make([]byte, connectChunk)
	for {
		n, taken, err := c.requests.take(buffer)
		if err != nil {
			return
		}
		if _, err := c.Write(buffer[:n]); err != nil {
			return // sendReplies tells the other daemon, after what the endpoint may have sent
		}
		if taken > 0 {
			if err := c.stream.Send(&zppeerpb.ConnectReply{Taken: int64(taken)}); err != nil {
				return // the other daemon has left, which ends receive
			}
		}
	}
}

// sendReplies sends what the endpoint sends to the other daemon, and how that ended.
func (c *relayedConn) sendReplies() {
	buffer := make([]byte, connectChunk)
	for {
		room := c.replies.reserve(len(buffer))
		if room == 0 {
			return
		}
		n, err := c.Read(buffer[:room])
		c.replies.add(room - n)
		m := &zppeerpb.ConnectReply{Data: buffer[:n], End: errors.Is(err, io.EOF), Reset_: err != nil && !errors.Is(err, io.EOF)}
		// An error means that the other daemon has left, which ends receive.
		if sendErr := c.stream.Send(m); sendErr != nil || err != nil {
			return
		}
	}
}

func encodeConnectError(err error) zppeerpb.ConnectResult {
	switch {
	case errors.Is(err, zpdetour.ErrPeerCut):
		return zppeerpb.ConnectResult_CONNECT_RESULT_CUT
	case errors.Is(err, zpdetour.ErrUndecided):
		return zppeerpb.ConnectResult_CONNECT_RESULT_UNDECIDED
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
	c := &endpointConn{stream: stream, cancel: cancel, address: endpointAddress(endpoint), requests: newSendWindow(), replies: newReceiveBuffer()}
	c.close = sync.OnceFunc(c.end)
	go c.receive()
	return c, nil
}

// receive takes what the endpoint sends from the stream until that ends.
func (c *endpointConn) receive() {
	defer c.requests.close()
	for {
		m, err := c.stream.Recv()
		if err == nil {
			c.requests.add(int(m.GetTaken()))
			err = c.replies.put(m.GetData())
		}
		switch {
		case err != nil:
			c.replies.end(errors.Join(errPeerLost, syscall.ECONNRESET))
			return
		case m.GetReset_():
			c.replies.end(syscall.ECONNRESET)
		case m.GetEnd():
			c.replies.end(io.EOF)
		}
	}
}

// Read implements net.Conn.
func (c *endpointConn) Read(b []byte) (int, error) {
	n, taken, err := c.replies.take(b)
	if taken > 0 {
		// An error means that the stream has ended, which receive reports after the data.
		_ = c.stream.Send(&zppeerpb.ConnectRequest{Taken: int64(taken)})
	}
	return n, err
}

// Write implements net.Conn.
func (c *endpointConn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		n := c.requests.reserve(min(len(b), connectChunk))
		if n == 0 {
			return written, net.ErrClosed
		}
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
	c.requests.close()
	c.replies.discard(net.ErrClosed)
	time.AfterFunc(closeTimeout, c.cancel)
	go func() {
		// It waits while the link to the other daemon is full. An error means that the stream
		// has ended.
		_ = c.stream.CloseSend()
	}()
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
