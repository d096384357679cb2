// Package zpnet opens TCP connections that notice a silent peer.
package zpnet

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = time.Second // shortest that the socket option can express
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections fail once sent bytes or
// keep-alive probes have gone unacknowledged for silence.
func NewDialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: keepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
}

// NewListenConfig returns a listener configuration whose accepted connections
// send keep-alive probes.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive()}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}
