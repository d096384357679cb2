// Package zpnet provides TCP connections that detect an unresponsive or closed
// peer.
package zpnet

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerSilenceTimeout is the silence timeout of connections from callers.
const callerSilenceTimeout = 3 * time.Second

// NewDialer returns a dialer whose connections fail once sent bytes have gone unacknowledged
// for silenceTimeout, or an idle peer has not acknowledged probes for that long.
func NewDialer(connectTimeout, silenceTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: probesFor(silenceTimeout),
		Control:         setUserTimeout(silenceTimeout),
	}
}

// NewSilenceListenConfig returns a listener configuration whose accepted connections fail
// like those of NewDialer.
func NewSilenceListenConfig(silenceTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: probesFor(silenceTimeout), Control: setUserTimeout(silenceTimeout)}
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
	return &net.ListenConfig{KeepAliveConfig: probesFor(callerSilenceTimeout), Control: LimitReceiveBuffer}
}
