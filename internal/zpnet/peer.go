package zpnet

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peer reports the state of the remote end of an accepted connection without
// reading from it. The zero value is an unknown peer.
type Peer struct {
	raw syscall.RawConn
}

type peerKey struct{}

// WithPeer stores the Peer of an accepted connection in the context of its
// requests. Its signature is that of http.Server.ConnContext.
func WithPeer(ctx context.Context, conn net.Conn) context.Context {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	c, ok := conn.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, peerKey{}, Peer{raw: raw})
}

// PeerOf returns the Peer stored by WithPeer.
func PeerOf(ctx context.Context) Peer {
	p, _ := ctx.Value(peerKey{}).(Peer)
	return p
}

// HasClosed reports whether the peer has closed or reset the connection. An
// unknown peer counts as open.
func (p Peer) HasClosed() bool {
	if p.raw == nil {
		return false
	}
	closed := false
	err := p.raw.Control(func(fd uintptr) { closed = isClosed(int(fd)) })
	return closed || err != nil
}

func isClosed(fd int) bool {
	// Unread bytes hide a close from recv, but not from poll.
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(events, 0); err != nil || n == 0 {
		return false
	}
	if events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	// Where poll does not report half-closed connections, recv reports EOF.
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0
}

// SinceLastReceive returns the time since the peer's last bytes arrived, or zero if
// unknown.
func (p Peer) SinceLastReceive() time.Duration {
	if p.raw == nil {
		return 0
	}
	var elapsed time.Duration
	// If the kernel does not report TCP_INFO, the time stays unknown.
	_ = p.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			elapsed = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return elapsed
}
