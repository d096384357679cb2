package zppeer

import (
	"bytes"
	"errors"
	"sync"
)

type (
	// sendWindow bounds the bytes of one direction that were sent and not taken by the reader at
	// the other side, so that a slow reader never blocks the stream between the daemons: the end
	// of the connection would wait behind what is blocked.
	sendWindow struct {
		mu       sync.Mutex
		grown    sync.Cond
		left     int // bytes
		isClosed bool
	}

	// receiveBuffer holds the bytes of one direction that were received and not taken yet.
	receiveBuffer struct {
		mu      sync.Mutex
		arrived sync.Cond
		data    bytes.Buffer
		err     error // after the data
		taken   int   // bytes, since the last report to the sender
	}
)

const (
	// windowSize is the size of both, in bytes, and takenReport how much is taken before the
	// sender is told.
	windowSize  = 64 << 10
	takenReport = 16 << 10
)

var errWindowExceeded = errors.New("the other daemon sent more than the window allows")

func newSendWindow() *sendWindow {
	w := &sendWindow{left: windowSize}
	w.grown.L = &w.mu
	return w
}

// reserve waits until bytes may be sent and returns how many, at most n; zero once the window
// is closed.
func (w *sendWindow) reserve(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.left == 0 && !w.isClosed {
		w.grown.Wait()
	}
	if w.isClosed {
		return 0
	}
	n = min(n, w.left)
	w.left -= n
	return n
}

// add allows further bytes.
func (w *sendWindow) add(n int) {
	if n <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = min(w.left+n, windowSize)
	w.grown.Broadcast()
}

func (w *sendWindow) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isClosed = true
	w.grown.Broadcast()
}

func newReceiveBuffer() *receiveBuffer {
	r := &receiveBuffer{}
	r.arrived.L = &r.mu
	return r
}

// put adds bytes that were received.
func (r *receiveBuffer) put(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.data.Len()+len(data) > windowSize+takenReport {
		return errWindowExceeded
	}
	if r.err == nil {
		_, _ = r.data.Write(data) // never fails
	}
	r.arrived.Broadcast()
	return nil
}

// end makes take return an error once all data is taken. The first call counts.
func (r *receiveBuffer) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
	r.arrived.Broadcast()
}

// discard makes take return an error at once.
func (r *receiveBuffer) discard(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data.Reset()
	r.err = err
	r.arrived.Broadcast()
}

// take waits for bytes and copies them to b. taken is how many to report to the sender now.
func (r *receiveBuffer) take(b []byte) (n, taken int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.data.Len() == 0 && r.err == nil {
		r.arrived.Wait()
	}
	if r.data.Len() == 0 {
		return 0, 0, r.err
	}
	n, _ = r.data.Read(b) // fails only without data
	r.taken += n
	if r.taken >= takenReport {
		taken, r.taken = r.taken, 0
	}
	return n, taken, nil
}
