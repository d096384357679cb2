package zporigin

import (
	"context"
	"sync"
	"time"
)

type (
	// Reader reads the software versions of endpoints that have changed, by pool. Callers at the
	// same time share a read that begins after all of them have called, so that it holds what
	// the store had by then. Set the exported fields before use. It is safe for concurrent use.
	Reader struct {
		Read  func(ctx context.Context) (map[string][]string, error)
		Pause func() time.Duration // between reads

		mu        sync.Mutex
		isRunning bool
		next      *read // begins when the one in progress has ended; nil: nobody waits for it
	}

	// read is one read, and its result once done is closed.
	read struct {
		done     chan struct{}
		versions map[string][]string
		err      error
	}
)

// Latest returns the versions of a read that begins after the call, or an error if ctx ends
// before that read.
func (r *Reader) Latest(ctx context.Context) (map[string][]string, error) {
	x := r.join()
	select {
	case <-x.done:
		return x.versions, x.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *Reader) join() *read {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &read{done: make(chan struct{})}
	}
	if !r.isRunning {
		r.isRunning = true
		go r.run()
	}
	return r.next
}

// run reads until nobody waits.
func (r *Reader) run() {
	for {
		r.mu.Lock()
		x := r.next
		if x == nil {
			r.isRunning = false
			r.mu.Unlock()
			return
		}
		r.next = nil
		r.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		x.versions, x.err = r.Read(ctx)
		cancel()
		close(x.done)
		time.Sleep(r.Pause())
	}
}
