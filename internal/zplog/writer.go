package zplog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer writes lines to a destination in the background, so that a slow one never
// blocks the caller. Lines that exceed the buffer are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // guards closed against sends
	closed bool
}

const (
	maxBufferedLines   = 2048
	dropReportInterval = time.Second
)

// NewWriter returns a writer to out and starts its goroutine, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. After Close it discards the line.
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

// Close writes the buffered lines and stops the writer.
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
		// The error is ignored: there is nowhere else to report a failed log write.
		_, _ = w.out.Write(line)
		if now := time.Now(); now.Sub(reported) >= dropReportInterval {
			reported = now
			w.report()
		}
	}
	w.report()
}

// report logs the number of lines dropped since the last report, if any.
func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"event":%d,"level":"warning","msg":%q,"lines":%d}`+"\n", LinesDropped.Number, LinesDropped.Text, n)
	}
}
