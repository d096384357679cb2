package zpsoak

import (
	"errors"
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
		// Rewrite replaces data on its way to the target with data of the same length, and
		// RewriteBack data on its way back. They may be nil.
		Rewrite, RewriteBack func([]byte) []byte
		// OnClientEnd is called when the client has ended a connection, with the address from which
		// the link is connected to the target. It may be nil.
		OnClientEnd func(source string)

		mu        sync.Mutex
		lis       net.Listener
		accepting chan struct{}       // closed when no more connections are accepted
		modes     [linkSides]LinkMode // by side
		conns     map[net.Conn]bool
		partition Kind       // how the client is cut off; empty: it is not
		fillers   []net.Conn // keep the queue of new connections full while they hang
	}

	// linkSide says on whose side of a link a failure is. Those of both sides add up.
	linkSide int

	// linkDirection defines what a link does with data in one direction.
	linkDirection struct {
		rewrite        func([]byte) []byte // may be nil
		isCut, isLossy func(LinkMode) bool
		onEnd          func() // called when the sender has ended the connection; may be nil
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

const (
	targetSide linkSide = iota
	clientSide
	linkSides
)

const copyBuffer = 16 << 10

// Open starts accepting connections.
func (l *Link) Open() error {
	l.conns = map[net.Conn]bool{}
	return l.listen()
}

func (l *Link) listen() error {
	lis, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("open link to %s: %w", l.Target, err)
	}
	l.lis = lis
	l.startAccepting()
	return nil
}

// Close stops accepting connections and resets the open ones.
func (l *Link) Close() {
	_ = l.lis.Close()
	l.Reset()
}

// SetMode changes how the link fails.
func (l *Link) SetMode(m LinkMode) { l.setSideMode(targetSide, m) }

func (l *Link) setSideMode(s linkSide, m LinkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modes[s] = m
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

func (l *Link) startAccepting() {
	l.accepting = make(chan struct{})
	go l.accept(l.lis, l.accepting)
}

func (l *Link) accept(lis net.Listener, done chan struct{}) {
	defer close(done)
	for {
		in, err := lis.Accept()
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
	toTarget := linkDirection{rewrite: l.Rewrite, isCut: func(m LinkMode) bool { return m.HoldToTarget }, isLossy: func(LinkMode) bool { return false }}
	if l.OnClientEnd != nil {
		toTarget.onEnd = func() { l.OnClientEnd(out.LocalAddr().String()) }
	}
	fromTarget := linkDirection{rewrite: l.RewriteBack, isCut: func(m LinkMode) bool { return m.HoldFromTarget }, isLossy: func(m LinkMode) bool { return m.LoseFromTarget }}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(out, in, toTarget) })
	wg.Go(func() { l.copy(in, out, fromTarget) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, in)
	delete(l.conns, out)
}

// copy forwards data until either side closes. Data and the end of the connection
// that arrive while the link is cut in this direction are held until the cut ends,
// as TCP would do. Nothing is forwarded any more once data was lost.
func (l *Link) copy(to, from net.Conn, d linkDirection) {
	buffer := make([]byte, copyBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		d.recordEnd(err)
		time.Sleep(l.currentMode().Delay)
		for d.isCut(l.currentMode()) {
			time.Sleep(cutPollInterval)
		}
		lost = lost || n > 0 && d.isLossy(l.currentMode())
		if n > 0 && !lost {
			data := buffer[:n]
			if d.rewrite != nil {
				data = d.rewrite(data)
			}
			if _, writeErr := to.Write(data); writeErr != nil {
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

// recordEnd tells the end of the sender's connection, given the error with which it is read. One that
// the link itself has closed is none.
func (d linkDirection) recordEnd(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) && d.onEnd != nil {
		d.onEnd()
	}
}

// cutPollInterval is the interval between checks whether a cut has ended.
const cutPollInterval = 20 * time.Millisecond

func (l *Link) currentMode() LinkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, b := l.modes[targetSide], l.modes[clientSide]
	return LinkMode{
		Delay: a.Delay + b.Delay, Refuse: a.Refuse || b.Refuse, HoldToTarget: a.HoldToTarget || b.HoldToTarget,
		HoldFromTarget: a.HoldFromTarget || b.HoldFromTarget, LoseFromTarget: a.LoseFromTarget || b.LoseFromTarget,
	}
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
