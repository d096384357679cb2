package zpnet

import (
	"net"
	"time"
)

// EndsWithin reports whether the other side ends a connection within the time, and closes it.
// The connection need not support deadlines.
func EndsWithin(conn net.Conn, d time.Duration) bool {
	defer func() { _ = conn.Close() }()
	if d <= 0 {
		return false
	}
	ended := make(chan bool, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err != nil
	}()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case hasEnded := <-ended:
		return hasEnded
	case <-timer.C:
		return false
	}
}
