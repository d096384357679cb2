package zpparts

import (
	"context"
	"time"
)

type (
	// Batch is what a holder tells of its parts.
	Batch struct {
		Epoch   int64 // of the holder's life
		Next    int64 // where to go on
		Lost    bool  // events before these are missing
		Changes []Change
	}

	// Content is all that a store holds.
	Content struct {
		Epoch int64
		Next  int64
		Whole []Change
	}

	// Source asks holders for their parts.
	Source interface {
		Events(ctx context.Context, address string, since int64, wait time.Duration) (Batch, error)
		List(ctx context.Context, address string) (Content, error)
		Free(ctx context.Context, address string, epoch int64, keys []Key) error
		Room(ctx context.Context, address string) (free int, err error)
	}

	// Follower follows one holder. Set the exported fields before Run.
	Follower struct {
		Holder  string
		Address string
		IsStore bool
		Source  Source
		// Apply takes over changes; reset means that they are all that the holder
		// has. Of an engine only losses are told: the daemon that sends a prompt
		// knows which of its parts are shared and tells of them.
		Apply func(holder string, changes []Change, reset bool)
		// State takes over the state of a store.
		State func(s Store)
		// Report is called with each answer about the room in a store.
		Report func(free, parts, retired int)
		// IsStale reports whether no engine has the weights that a part belongs to.
		IsStale func(k Key) bool
		Clock   func() time.Time

		epoch    int64
		next     int64
		ready    bool
		failures int
		held     map[Key]int
		toldAt   time.Time // when all parts of a store were told last
		retired  map[Key]time.Time
		free     int
		roomAt   time.Time
	}
)

const (
	// eventWait is the longest wait of one call for events.
	eventWait = 900 * time.Millisecond
	// eventPause is the pause between calls, so that events come in batches.
	eventPause = 200 * time.Millisecond
	// failurePause is the pause after a call that failed.
	failurePause = 300 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	// roomPause is the pause between questions for the room in a store.
	roomPause = 500 * time.Millisecond
	// failuresAway is how many calls in a row must fail until a store counts as
	// away.
	failuresAway = 2
	// FreeDelay is how long after the news that a part is gone it is freed. The
	// engines that could have fetched it had ended all their runs before.
	FreeDelay = 2500 * time.Millisecond
	// freeBatch bounds the parts that one call frees.
	freeBatch = 200
	// retell is the pause after which all parts of a store are told again, to
	// daemons that have become the owners of some since.
	retell = 4 * time.Second
)

// Run follows the holder until ctx ends.
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
			f.tell()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	if f.IsStore && !f.ready {
		return f.list(ctx)
	}
	ctxCall, cancel := context.WithTimeout(ctx, eventWait+callTimeout)
	defer cancel()
	b, err := f.Source.Events(ctxCall, f.Address, f.next, eventWait)
	if err != nil {
		return err
	}
	restarted := f.ready && b.Epoch != f.epoch
	if f.IsStore && (restarted || b.Lost) {
		f.ready = false
		return f.list(ctx)
	}
	f.epoch, f.next, f.ready = b.Epoch, b.Next, true
	if !f.IsStore {
		if restarted || b.Lost {
			clear(f.held)
		}
		f.apply(f.losses(b.Changes), restarted || b.Lost)
		return nil
	}
	f.remember(b.Changes)
	f.apply(b.Changes, false)
	return f.tidy(ctx)
}

// apply names the holder in changes and hands them over.
func (f *Follower) apply(changes []Change, reset bool) {
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

// losses returns the changes after which an engine holds less than before.
func (f *Follower) losses(changes []Change) []Change {
	var out []Change
	for _, c := range changes {
		if had, known := f.held[c.Key]; c.Tokens == 0 || known && c.Tokens < had {
			out = append(out, c)
		}
	}
	f.remember(changes)
	return out
}

// list reads all that a store holds.
func (f *Follower) list(ctx context.Context) error {
	ctxCall, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := f.Source.List(ctxCall, f.Address)
	if err != nil {
		return err
	}
	f.epoch, f.next, f.ready = c.Epoch, c.Next, true
	f.held, f.retired = map[Key]int{}, map[Key]time.Time{}
	f.remember(c.Whole)
	f.toldAt = f.Clock()
	f.apply(c.Whole, true)
	return nil
}

func (f *Follower) remember(changes []Change) {
	for _, c := range changes {
		if c.Tokens > 0 {
			f.held[c.Key] = c.Tokens
		} else {
			delete(f.held, c.Key)
			delete(f.retired, c.Key)
		}
	}
}

// tidy asks for the room in a store and frees parts of weights that no engine
// has any more.
func (f *Follower) tidy(ctx context.Context) error {
	now := f.Clock()
	if now.Sub(f.roomAt) < roomPause {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	free, err := f.Source.Room(ctx, f.Address)
	if err != nil {
		return err
	}
	f.roomAt, f.free = now, free
	f.Report(f.free, len(f.held), len(f.retired))
	var gone []Change
	var due []Key
	for key := range f.held {
		at, retired := f.retired[key]
		switch {
		case retired && now.Sub(at) >= FreeDelay && len(due) < freeBatch:
			due = append(due, key)
		case !retired && f.IsStale(key):
			f.retired[key] = now
			gone = append(gone, Change{Key: key})
		}
	}
	if len(gone) > 0 {
		f.apply(gone, false)
	}
	if now.Sub(f.toldAt) >= retell {
		f.toldAt = now
		f.apply(f.whole(), true)
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

func (f *Follower) tell() {
	f.State(Store{
		Name: f.Holder, Epoch: f.epoch, Readable: f.ready && f.failures < failuresAway, Free: f.free,
	})
}

// whole lists the parts that a store holds and keeps.
func (f *Follower) whole() []Change {
	out := make([]Change, 0, len(f.held))
	for key, tokens := range f.held {
		if _, retired := f.retired[key]; !retired {
			out = append(out, Change{Key: key, Tokens: tokens})
		}
	}
	return out
}
