package zplog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer hands lines to a slow destination without ever blocking. Lines that
// find its buffer full are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // guards closed against sends
	closed bool
}

const (
	bufferedLines = 2048
	reportDropped = time.Second
)

// NewWriter returns a writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. After Close it drops it.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is buffered.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.lines)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	reported := time.Now()
	for line := range w.lines {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.out.Write(line)
		if now := time.Now(); now.Sub(reported) >= reportDropped {
			reported = now
			w.report()
		}
	}
	w.report()
}

// report writes how many lines were dropped since the last report.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"event":%d,"level":"warning","msg":%q,"lines":%d}`+"\n", LinesDropped.Number, LinesDropped.Text, n)
	}
}
