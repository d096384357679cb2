package zpnet

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state TCP_CLOSE of tcp_info: after a reset by the peer, not after its FIN.
const tcpClosed = 7

// WasReset reports whether the peer of a connection whose end was read has reset it. The
// kernel reports a reset once: if a write got the error, reads see an ordinary end.
func WasReset(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	isReset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err == nil && info.State == tcpClosed
	})
	return isReset || err != nil // closed here meanwhile, as after a failed write
}
