package zpclaim

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Writer writes the claims of one shard. Calls that arrive while a write
	// is under way share the next one. Set the exported fields before use.
	Writer struct {
		API       zpobject.API
		Shard     int
		Retention time.Duration
		NewID     func() string
		Clock     func() time.Time

		mu      sync.Mutex
		pending []*call
		busy    bool
		table   *Table // nil: must be read first; used by the one running batch
	}

	call struct {
		ask     *Ask
		settle  *Settlement
		verdict Verdict
		err     error
		done    chan struct{}
	}
)

const (
	// maxTries bounds how often a batch is written anew after conflicts and
	// lost answers.
	maxTries     = 6
	batchTimeout = 5 * time.Second
)

// ErrNotConfirmed is returned when the platform could not confirm a claim. The
// request was not sent; nobody else will send it with this token.
var ErrNotConfirmed = zperror.New(zperror.KindUnavailable, "claim_not_confirmed",
	"the platform could not confirm that the request runs only once",
	"send it again with the same Idempotency-Key when the platform is back")

// Ask asks for the right to run a request.
func (w *Writer) Ask(ctx context.Context, a Ask) (Verdict, error) {
	c := &call{ask: &a, done: make(chan struct{})}
	err := w.do(ctx, c)
	return c.verdict, err
}

// Settle records how an attempt ended.
func (w *Writer) Settle(ctx context.Context, s Settlement) error {
	return w.do(ctx, &call{settle: &s, done: make(chan struct{})})
}

func (w *Writer) do(ctx context.Context, c *call) error {
	w.mu.Lock()
	w.pending = append(w.pending, c)
	if !w.busy {
		w.busy = true
		go w.runBatches()
	}
	w.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ErrNotConfirmed.WithCause(ctx.Err())
	}
}

func (w *Writer) runBatches() {
	for {
		w.mu.Lock()
		batch := w.pending
		w.pending = nil
		if len(batch) == 0 {
			w.busy = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		w.runBatch(batch)
	}
}

func (w *Writer) runBatch(batch []*call) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	err := w.write(ctx, batch)
	for _, c := range batch {
		if err != nil {
			c.err = ErrNotConfirmed.WithCause(err)
		}
		close(c.done)
	}
}

// write applies a batch and stores it, anew from the platform's state after
// each conflict or lost answer. An ask whose token is found stored was granted
// by an earlier try of which the answer was lost. A call that changes nothing
// is answered only from a table read for this batch, since other daemons may
// have written to the shard.
func (w *Writer) write(ctx context.Context, batch []*call) error {
	var err error
	for range maxTries {
		fresh := w.table == nil
		if fresh {
			if w.table, err = w.read(ctx); err != nil {
				w.table = nil
				return err
			}
		}
		changed, idle := w.apply(batch)
		if idle && !fresh {
			w.table = nil
			continue
		}
		if err = w.store(ctx, changed); err == nil {
			w.tidy(ctx)
			return nil
		}
		w.table = nil
		if !zpobject.IsConflict(err) && !zpobject.IsOutcomeUnknown(err) {
			return err
		}
	}
	return err
}

func (w *Writer) read(ctx context.Context) (*Table, error) {
	l, err := w.API.List(ctx, ShardPrefix(w.Shard))
	if err != nil {
		return nil, err
	}
	return NewTable(w.Shard, l.Objects)
}

// apply changes the table in memory and returns the changed pages. idle tells
// that some call changed nothing.
func (w *Writer) apply(batch []*call) (changed map[int]*Page, idle bool) {
	now := w.Clock()
	changed = map[int]*Page{}
	for _, c := range batch {
		var p *Page
		if c.ask != nil {
			c.verdict, p = w.table.Ask(*c.ask, now)
		} else {
			p = w.table.Settle(*c.settle)
		}
		if p != nil {
			changed[p.Index] = p
		} else {
			idle = true
		}
	}
	return changed, idle
}

// store writes the changed pages. After an error the table in memory may be
// ahead of the platform and must be read anew.
func (w *Writer) store(ctx context.Context, changed map[int]*Page) error {
	for _, p := range changed {
		p.Sealed = p.Sealed || p.Full()
		p.Batch = w.NewID()
		body, err := p.Encode()
		if err != nil {
			return err
		}
		o, err := w.API.Put(ctx, PageObject(w.Shard, p.Index), body, p.Revision)
		if err != nil {
			return err
		}
		p.Revision = o.Revision
	}
	return nil
}

// tidy deletes sealed pages whose claims are all past their retention, except
// the newest, which keeps the numbering. Failures are left to the next time.
func (w *Writer) tidy(ctx context.Context) {
	now := w.Clock()
	newest := w.table.Newest().Index
	for i, p := range w.table.Pages {
		if i == newest || p.Revision == 0 || !p.Expired(w.Retention, now) {
			continue
		}
		if err := w.API.Delete(ctx, PageObject(w.Shard, i), p.Revision); err != nil {
			w.table = nil
			return
		}
		delete(w.table.Pages, i)
	}
}

// Pending returns how many calls wait for the next write.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}
