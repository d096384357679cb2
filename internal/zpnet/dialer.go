// Package zpnet provides TCP connections that detect an unresponsive or closed
// peer.
package zpnet

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = time.Second // minimum of the socket option
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections fail once sent bytes or
// keep-alive probes have gone unacknowledged for ackTimeout.
func NewDialer(connectTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAliveConfig(),
		Control:         setUserTimeout(ackTimeout),
	}
}

// NewAckListenConfig returns a listener configuration whose accepted connections fail once sent
// bytes have gone unacknowledged for ackTimeout.
func NewAckListenConfig(ackTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{Control: setUserTimeout(ackTimeout)}
}

func setUserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// NewListenConfig returns a listener configuration whose accepted connections
// send keep-alive probes and receive little that is not read.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: LimitReceiveBuffer}
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}
