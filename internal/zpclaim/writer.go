package zpclaim

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Writer reads and writes the claims of one shard. Calls that arrive during a
	// write are batched into the next one. Set the exported fields before use. It
	// is safe for concurrent use.
	Writer struct {
		API       zpobject.API
		Shard     int
		Retention time.Duration
		// MaxAnswerBytes is the size of the largest answer that is kept. Pages leave room for
		// the answers of the claims that are open.
		MaxAnswerBytes int64
		NewID          func() string
		Clock          func() time.Time

		mu      sync.Mutex
		pending []*operation
		running bool   // processBatches is running
		table   *Table // nil if it must be loaded; used only by processBatches
	}

	// operation is a waiting call of Acquire or Settle; one of acquire and settle is set.
	operation struct {
		acquire  *AcquireRequest
		settle   *Settlement
		decision Decision
		err      error
		done     chan struct{}
	}
)

const (
	// maxWriteAttempts limits how often a batch is applied to a reloaded table after
	// conflicts and lost responses.
	maxWriteAttempts = 6
	batchTimeout     = 5 * time.Second
)

// ErrNotConfirmed is returned if the platform could not confirm the write of a claim.
// If Acquire returns it, the request has not been sent, and no other attempt will send it
// with this token.
var ErrNotConfirmed = zperror.New(zperror.KindUnavailable, "claim_not_confirmed",
	"the platform could not confirm that the request runs only once",
	"send it again with the same Idempotency-Key when the platform is back")

// Acquire tries to claim a key, which grants the right to run its request.
func (w *Writer) Acquire(ctx context.Context, a AcquireRequest) (Decision, error) {
	op := &operation{acquire: &a, done: make(chan struct{})}
	if err := w.submit(ctx, op); err != nil {
		return Decision{}, err // the batch may still write op.decision
	}
	return op.decision, nil
}

// Settle stores the outcome of an attempt.
func (w *Writer) Settle(ctx context.Context, s Settlement) error {
	return w.submit(ctx, &operation{settle: &s, done: make(chan struct{})})
}

// submit queues an operation, starts processBatches if it is not running, and
// waits for the result.
func (w *Writer) submit(ctx context.Context, op *operation) error {
	w.mu.Lock()
	w.pending = append(w.pending, op)
	if !w.running {
		w.running = true
		go w.processBatches()
	}
	w.mu.Unlock()
	select {
	case <-op.done:
		return op.err
	case <-ctx.Done():
		return ErrNotConfirmed.WithCause(ctx.Err())
	}
}

// processBatches processes all pending operations, batch by batch, until none is
// left.
func (w *Writer) processBatches() {
	for {
		w.mu.Lock()
		batch := w.pending
		w.pending = nil
		if len(batch) == 0 {
			w.running = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		w.processBatch(batch)
	}
}

func (w *Writer) processBatch(batch []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	err := w.commitBatch(ctx, batch)
	for _, op := range batch {
		if err != nil {
			op.err = ErrNotConfirmed.WithCause(err)
		}
		close(op.done)
	}
}

// commitBatch applies a batch to the table and stores the changed pages. After a
// conflict or a lost response it reloads the table and applies the batch again. An
// ask whose token is already stored was granted by an earlier attempt whose response
// was lost. An operation that changes nothing is answered only from a table that was
// loaded for this batch, because other daemons may have written to the shard.
func (w *Writer) commitBatch(ctx context.Context, batch []*operation) error {
	var err error
	for range maxWriteAttempts {
		reloaded := w.table == nil
		if reloaded {
			if w.table, err = w.loadTable(ctx); err != nil {
				w.table = nil
				return err
			}
		}
		changed, hasNoOp := w.applyBatch(batch)
		if hasNoOp && !reloaded {
			w.table = nil
			continue
		}
		if err = w.storePages(ctx, changed); err == nil {
			w.deleteExpiredPages(ctx)
			return nil
		}
		w.table = nil
		if !zpobject.IsConflict(err) && !zpobject.IsOutcomeUnknown(err) {
			return err
		}
	}
	return err
}

func (w *Writer) loadTable(ctx context.Context) (*Table, error) {
	l, err := w.API.List(ctx, ShardPrefix(w.Shard))
	if err != nil {
		return nil, err
	}
	t, err := NewTable(w.Shard, l.Objects)
	if err != nil {
		return nil, err
	}
	t.MaxAnswerBytes = w.MaxAnswerBytes
	return t, nil
}

// applyBatch applies a batch to the table in memory and returns the changed pages.
// hasNoOp reports whether an operation changed nothing.
func (w *Writer) applyBatch(batch []*operation) (changed map[int]*Page, hasNoOp bool) {
	now := w.Clock()
	changed = map[int]*Page{}
	for _, op := range batch {
		var p *Page
		if op.acquire != nil {
			op.decision, p = w.table.Acquire(*op.acquire, now)
		} else {
			p = w.table.Settle(*op.settle)
		}
		if p != nil {
			changed[p.Index] = p
		} else {
			hasNoOp = true
		}
	}
	return changed, hasNoOp
}

// storePages writes the changed pages to the platform. After an error the table in
// memory may be newer than the stored pages and must be reloaded.
func (w *Writer) storePages(ctx context.Context, changed map[int]*Page) error {
	// The oldest page first: a claim that is released and made anew in one batch must be
	// gone from its old page before it is in the newest one, and a page must be sealed
	// before the next one is written.
	for _, i := range slices.Sorted(maps.Keys(changed)) {
		p := changed[i]
		p.WriteID = w.NewID()
		body, err := p.Encode()
		if err != nil {
			return err
		}
		o, err := w.API.Put(ctx, PageObjectName(w.Shard, p.Index), body, p.Revision)
		if err != nil {
			return err
		}
		p.Revision = o.Revision
	}
	return nil
}

// deleteExpiredPages deletes sealed pages whose claims have all reached the retention
// time. It keeps the newest page, from which the index of the next page is derived.
// A page that could not be deleted is tried again after a later batch.
func (w *Writer) deleteExpiredPages(ctx context.Context) {
	now := w.Clock()
	newest := w.table.Newest().Index
	for i, p := range w.table.Pages {
		if i == newest || p.Revision == 0 || !p.Expired(w.Retention, now) {
			continue
		}
		if err := w.API.Delete(ctx, PageObjectName(w.Shard, i), p.Revision); err != nil {
			w.table = nil
			return
		}
		delete(w.table.Pages, i)
	}
}

// Pending returns the number of operations that wait for the next batch.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}
