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

	// LinkMode is how a link fails now.
	LinkMode struct {
		Delay    time.Duration // before bytes are passed on
		Refuse   bool          // reset new connections
		NoWay    bool          // pass nothing to the target
		NoReturn bool          // pass nothing back
	}
)

const copyBuffer = 16 << 10

// Open begins to accept connections.
func (l *Link) Open() error {
	lis, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("open link to %s: %w", l.Target, err)
	}
	l.lis, l.conns = lis, map[net.Conn]bool{}
	go l.accept()
	return nil
}

// Close ends the link and its connections.
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
	if l.now().Refuse {
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
	var copying sync.WaitGroup
	copying.Go(func() { l.copy(out, in, func(m LinkMode) bool { return m.NoWay }) })
	copying.Go(func() { l.copy(in, out, func(m LinkMode) bool { return m.NoReturn }) })
	copying.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, in)
	delete(l.conns, out)
}

// copy passes bytes on until either side ends. Bytes that come while the link is
// cut this way are held until it is whole again, as TCP would do; the end of a
// connection is held, too.
func (l *Link) copy(to, from net.Conn, isCut func(LinkMode) bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		time.Sleep(l.now().Delay)
		for isCut(l.now()) {
			time.Sleep(cutPoll)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			// The other side sees the same end.
			_ = to.Close()
			return
		}
	}
}

// cutPoll is the pause between looks at whether a cut has ended.
const cutPoll = 20 * time.Millisecond

func (l *Link) now() LinkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering, closing sends a reset; a connection that has ended
		// already needs none.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
