package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its start. It is
// safe for concurrent use.
type record struct {
	mu        sync.Mutex
	out       io.Writer
	startedAt time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, startedAt: time.Now()} }

// note writes one line at the present time.
func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

// noteAt writes one line about an event at a given time.
func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written is missing from the record; the result stays the same.
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", at.Sub(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
