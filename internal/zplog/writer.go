package zplog

import (
	"fmt"
	"io"
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

// Write takes one line.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what is buffered. Nothing may be written afterwards.
func (w *Writer) Close() {
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
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(w.out, `{"event":%d,"level":"warning","msg":%q,"lines":%d}`+"\n",
					LinesDropped.Number, LinesDropped.Text, n)
			}
		}
	}
}
