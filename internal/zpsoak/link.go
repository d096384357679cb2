package zpsoak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

type (
	// Link is a loopback proxy of TCP connections that can be made to fail. It is
	// safe for concurrent use.
	Link struct {
		Listen string // IP:PORT
		Target string // IP:PORT

		mu    sync.Mutex
		lis   net.Listener
		mode  LinkMode
		conns map[net.Conn]bool
	}

	// LinkMode defines how a link fails.
	LinkMode struct {
		Delay          time.Duration // added before data is forwarded
		Refuse         bool          // reset new connections
		HoldToTarget   bool          // hold data on its way to the target
		HoldFromTarget bool          // hold data on its way back
		LoseFromTarget bool          // lose data on its way back, and all that follows on its connection
	}
)

const copyBuffer = 16 << 10

// Open starts accepting connections.
func (l *Link) Open() error {
	lis, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("open link to %s: %w", l.Target, err)
	}
	l.lis, l.conns = lis, map[net.Conn]bool{}
	go l.accept()
	return nil
}

// Close stops accepting connections and resets the open ones.
func (l *Link) Close() {
	_ = l.lis.Close()
	l.Reset()
}

// SetMode changes how the link fails.
func (l *Link) SetMode(m LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
	clear(l.conns)
}

func (l *Link) accept() {
	for {
		in, err := l.lis.Accept()
		if err != nil {
			return
		}
		go l.serve(in)
	}
}

func (l *Link) serve(in net.Conn) {
	if l.currentMode().Refuse {
		abort(in)
		return
	}
	out, err := net.DialTimeout("tcp", l.Target, time.Second)
	if err != nil {
		abort(in)
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		l.copy(out, in, func(m LinkMode) bool { return m.HoldToTarget }, func(LinkMode) bool { return false })
	})
	wg.Go(func() {
		l.copy(in, out, func(m LinkMode) bool { return m.HoldFromTarget }, func(m LinkMode) bool { return m.LoseFromTarget })
	})
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, in)
	delete(l.conns, out)
}

// copy forwards data until either side closes. Data and the end of the connection
// that arrive while the link is cut in this direction are held until the cut ends,
// as TCP would do. Nothing is forwarded any more once data was lost.
func (l *Link) copy(to, from net.Conn, isCut, isLossy func(LinkMode) bool) {
	buffer := make([]byte, copyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		time.Sleep(l.currentMode().Delay)
		for isCut(l.currentMode()) {
			time.Sleep(cutPollInterval)
		}
		lost = lost || n > 0 && isLossy(l.currentMode())
		if n > 0 && !lost {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			// Passes the close on to the other side.
			_ = to.Close()
			return
		}
	}
}

// cutPollInterval is the interval between checks whether a cut has ended.
const cutPollInterval = 20 * time.Millisecond

func (l *Link) currentMode() LinkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of zero, closing sends a reset. The error is ignored: a
		// connection that has already ended needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
