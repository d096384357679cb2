package zpnet

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Peer tells about the other end of an accepted connection without reading from
// it. The zero value knows nothing.
type Peer struct {
	raw syscall.RawConn
}

type peerKey struct{}

// WithPeer keeps an accepted connection in the context of its requests. It has
// the form of http.Server.ConnContext.
func WithPeer(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
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

// PeerOf returns the peer that WithPeer has kept.
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
	// Unread bytes hide a close from a read, but not from a poll.
	events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(events, 0); err != nil || n == 0 {
		return false
	}
	if events[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	// Where a poll does not know of half-closed connections, a read tells the end.
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n == 0
}

// Unread returns how long ago the peer's last bytes arrived, zero if that is
// unknown.
func (p Peer) Unread() time.Duration {
	if p.raw == nil {
		return 0
	}
	var age time.Duration
	// Where the kernel does not tell, the age stays unknown.
	_ = p.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
