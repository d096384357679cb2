package zpparts

import (
	"context"
	"time"
)

type (
	// Batch is a batch of cache events from a holder.
	Batch struct {
		Epoch   int64 // changes with each restart of the holder
		Next    int64 // position of the next event
		Lost    bool  // earlier events are missing
		Changes []Change
	}

	// Content is a complete listing of the parts in a store.
	Content struct {
		Epoch int64
		Next  int64    // position of the first event after the listing
		Parts []Change // parts that are stored completely
	}

	// Source is the client for the cache API of holders.
	Source interface {
		Events(ctx context.Context, address string, since int64, wait time.Duration) (Batch, error)
		List(ctx context.Context, address string) (Content, error)
		Free(ctx context.Context, address string, epoch int64, keys []Key) error
		FreeTokens(ctx context.Context, address string) (free int, err error)
	}

	// Follower reads the cache events of one holder. Set the exported fields before
	// Run.
	Follower struct {
		Holder  string
		Address string
		IsStore bool
		Source  Source
		// Apply is called with changes; reset means that they replace all earlier
		// entries of the holder. For an engine, only losses are reported: the daemon
		// that sends a prompt knows which of its parts are shared and announces them.
		Apply func(holder string, changes []Change, reset bool)
		// State is called with the state of a store.
		State func(s Store)
		// Report is called each time the free capacity of a store was read.
		Report func(free, parts, retired int)
		// IsStale reports whether no engine has the weight version of a part.
		IsStale func(k Key) bool
		Clock   func() time.Time

		epoch         int64
		nextEvent     int64
		synced        bool // epoch and nextEvent are known
		failures      int
		held          map[Key]int
		publishedAt   time.Time         // when all parts of a store were last published
		retired       map[Key]time.Time // stale parts, with the time of their withdrawal
		free          int
		freeCheckedAt time.Time
	}
)

// MaxHeld limits the parts of one holder that a daemon keeps.
const MaxHeld = 16384

const (
	// eventWait is the long-poll timeout of one call for events.
	eventWait = 900 * time.Millisecond
	// eventPause is the delay between calls, so that events arrive in batches.
	eventPause = 200 * time.Millisecond
	// failurePause is the delay after a failed call.
	failurePause = 300 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	// freeCheckInterval is the interval between reads of a store's free capacity.
	freeCheckInterval = 500 * time.Millisecond
	// unreachableFailures is the number of consecutive failed calls after which a
	// store is reported as not readable.
	unreachableFailures = 2
	// FreeDelay is the delay between announcing that a part is gone and freeing it.
	// The engines that could have fetched it finished all their runs before the
	// announcement.
	FreeDelay = 2500 * time.Millisecond
	// freeBatch is the maximum number of parts that one call frees.
	freeBatch = 200
	// republishInterval is the interval at which all parts of a store are published
	// again, for daemons that have become owners of some of them in the meantime.
	republishInterval = 4 * time.Second
)

// Run reads events of the holder until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.held, f.retired = map[Key]int{}, map[Key]time.Time{}
	for ctx.Err() == nil {
		pause := eventPause
		if err := f.step(ctx); err != nil {
			f.failures++
			pause = failurePause
		} else {
			f.failures = 0
		}
		if f.IsStore {
			f.publishState()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if f.IsStore && !f.synced {
		return f.resync(ctx)
	}
	ctxCall, cancel := context.WithTimeout(ctx, eventWait+callTimeout)
	defer cancel()
	b, err := f.Source.Events(ctxCall, f.Address, f.nextEvent, eventWait)
	if err != nil {
		return err
	}
	restarted := f.synced && b.Epoch != f.epoch
	if f.IsStore && (restarted || b.Lost) {
		f.synced = false
		return f.resync(ctx)
	}
	f.epoch, f.nextEvent, f.synced = b.Epoch, b.Next, true
	if !f.IsStore {
		if restarted || b.Lost {
			clear(f.held)
		}
		f.publish(f.losses(b.Changes), restarted || b.Lost)
		return nil
	}
	f.updateHeld(b.Changes)
	f.publish(b.Changes, false)
	return f.freeStaleParts(ctx)
}

// publish sets the holder of changes and passes them to Apply.
func (f *Follower) publish(changes []Change, reset bool) {
	holder := f.holder()
	for i := range changes {
		changes[i].Holder = holder
	}
	f.Apply(holder, changes, reset)
}

func (f *Follower) holder() string {
	if f.IsStore {
		return Store{Name: f.Holder, Epoch: f.epoch}.Holder()
	}
	return f.Holder
}

// losses returns the changes that reduce what an engine holds.
func (f *Follower) losses(changes []Change) []Change {
	var out []Change
	for _, c := range changes {
		if had, known := f.held[c.Key]; c.Tokens == 0 || known && c.Tokens < had {
			out = append(out, c)
		}
	}
	f.updateHeld(changes)
	return out
}

// resync reads the complete listing of a store and publishes it.
func (f *Follower) resync(ctx context.Context) error {
	ctxCall, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := f.Source.List(ctxCall, f.Address)
	if err != nil {
		return err
	}
	f.epoch, f.nextEvent, f.synced = c.Epoch, c.Next, true
	f.held, f.retired = map[Key]int{}, map[Key]time.Time{}
	f.updateHeld(c.Parts)
	f.publishedAt = f.Clock()
	f.publish(c.Parts, true)
	return nil
}

// updateHeld records what the holder has. Parts beyond MaxHeld are not recorded.
func (f *Follower) updateHeld(changes []Change) {
	for _, c := range changes {
		if _, known := f.held[c.Key]; c.Tokens > 0 {
			if known || len(f.held) < MaxHeld {
				f.held[c.Key] = c.Tokens
			}
		} else {
			delete(f.held, c.Key)
			delete(f.retired, c.Key)
		}
	}
}

// freeStaleParts reads the free capacity of a store, publishes all its parts
// again when due, and frees those of weight versions that no engine has any
// more: it withdraws a stale part first and frees it after FreeDelay.
func (f *Follower) freeStaleParts(ctx context.Context) error {
	now := f.Clock()
	if now.Sub(f.freeCheckedAt) < freeCheckInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	free, err := f.Source.FreeTokens(ctx, f.Address)
	if err != nil {
		return err
	}
	f.freeCheckedAt, f.free = now, free
	f.Report(f.free, len(f.held), len(f.retired))
	var withdrawn []Change
	var due []Key
	for key := range f.held {
		at, retired := f.retired[key]
		switch {
		case retired && now.Sub(at) >= FreeDelay && len(due) < freeBatch:
			due = append(due, key)
		case !retired && f.IsStale(key):
			f.retired[key] = now
			withdrawn = append(withdrawn, Change{Key: key})
		}
	}
	if len(withdrawn) > 0 {
		f.publish(withdrawn, false)
	}
	if now.Sub(f.publishedAt) >= republishInterval {
		f.publishedAt = now
		f.publish(f.retained(), true)
	}
	if len(due) == 0 {
		return nil
	}
	if err := f.Source.Free(ctx, f.Address, f.epoch, due); err != nil {
		return err
	}
	for _, key := range due {
		delete(f.held, key)
		delete(f.retired, key)
	}
	return nil
}

func (f *Follower) publishState() {
	f.State(Store{
		Name: f.Holder, Epoch: f.epoch, Readable: f.synced && f.failures < unreachableFailures, Free: f.free,
	})
}

// retained lists the parts of a store that are not going to be freed.
func (f *Follower) retained() []Change {
	out := make([]Change, 0, len(f.held))
	for key, tokens := range f.held {
		if _, retired := f.retired[key]; !retired {
			out = append(out, Change{Key: key, Tokens: tokens})
		}
	}
	return out
}
