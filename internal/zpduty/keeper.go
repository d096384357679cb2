package zpduty

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Keeper acquires, renews and releases the lease of one duty in the store. Use
// NewKeeper to create one.
type Keeper struct {
	Name  string // of the duty's object in the store
	API   zpobject.API
	Log   *zplog.Logger
	Clock func() time.Time
	// Peek reads the object as it was some time ago, at a lower price than API. Until it
	// shows that the duty may be free, the object is not read. It may be nil.
	Peek func(ctx context.Context, name string) (zpobject.Object, error)
	// Eras is the era of the store behind API; nil for a store without eras.
	Eras *zpobject.EraTracker

	mu    sync.Mutex
	lease Lease
}

// NewKeeper returns a keeper for the daemon self. name is the name of the duty's
// object.
func NewKeeper(name, self string, timing Timing, api zpobject.API, log *zplog.Logger, clock func() time.Time) *Keeper {
	return &Keeper{Name: name, API: api, Log: log, Clock: clock, lease: Lease{Self: self, Timing: timing}}
}

// Holds reports whether this daemon holds the duty now, and returns its fencing token
// and the time until which it holds it.
func (k *Keeper) Holds() (fence int64, until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateEra()
	return k.lease.Holds(k.Clock())
}

// updateEra passes the era of the store to the lease, which ends a lease of an earlier era.
// The lock must be held.
func (k *Keeper) updateEra() {
	if k.Eras == nil {
		return
	}
	now := k.Clock()
	fence, _, held := k.lease.Holds(now)
	era, since := k.Eras.Current()
	k.lease.SetEra(era, since)
	if _, _, holds := k.lease.Holds(now); held && !holds {
		k.Log.Emit(zplog.DutyLeft, zplog.Fields{"duty": k.Name, "fence": fence, "era": era})
	}
}

// Relinquish gives up the duty without a write to the store. It is used after another
// daemon was seen to act with a higher fencing token.
func (k *Keeper) Relinquish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Relinquish()
}

// Step performs the next due action: it acquires the duty if there is work, renews it
// while there is work, or releases it otherwise. Unless the duty is held, it reads the
// object first.
func (k *Keeper) Step(ctx context.Context, hasWork bool) {
	if _, _, held := k.Holds(); !held {
		if !hasWork || !k.mayBeFree(ctx) || !k.readRecord(ctx) {
			return
		}
	}
	k.mu.Lock()
	k.updateEra()
	w, due := k.lease.Next(hasWork, k.Clock())
	k.mu.Unlock()
	if due {
		k.writeRecord(ctx, w)
	}
}

// mayBeFree peeks at the stored record and reports whether no other daemon seems to hold
// the duty.
func (k *Keeper) mayBeFree(ctx context.Context) bool {
	if k.Peek == nil {
		return true
	}
	o, err := k.Peek(ctx, k.Name)
	if err != nil && !zpobject.IsNotFound(err) {
		return false
	}
	r := k.decode(o, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateEra()
	return k.lease.MayBeFree(r, o.Revision, k.Clock())
}

// decode returns the record in an object that was read. One that can't be decoded counts as
// one without a holder.
func (k *Keeper) decode(o zpobject.Object, readErr error) Record {
	if readErr != nil {
		return Record{}
	}
	r, err := DecodeRecord(o.Body)
	if err != nil {
		k.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": k.Name, "error": err.Error()})
	}
	return r
}

// readRecord passes the stored record to the lease and reports whether the store could
// be read.
func (k *Keeper) readRecord(ctx context.Context) bool {
	o, err := k.API.Get(ctx, k.Name)
	if err != nil && !zpobject.IsNotFound(err) {
		return false
	}
	r := k.decode(o, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateEra()
	k.lease.Observe(r, o.Revision, k.Clock())
	return true
}

func (k *Keeper) writeRecord(ctx context.Context, w ConditionalWrite) {
	body, err := EncodeRecord(w.Record)
	if err != nil {
		k.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"duty": k.Name, "error": err.Error()})
		return
	}
	startedAt := k.Clock()
	o, err := k.API.Put(ctx, k.Name, body, w.IfRevision)
	k.mu.Lock()
	k.updateEra()
	_, _, held := k.lease.Holds(startedAt)
	if err == nil {
		k.lease.Confirm(w, o.Revision, startedAt, k.Clock())
	}
	fence, _, holds := k.lease.Holds(k.Clock())
	k.mu.Unlock()
	switch {
	case err != nil:
		k.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"duty": k.Name, "held": held, "error": err.Error()})
	case holds && !held:
		k.Log.Emit(zplog.DutyTaken, zplog.Fields{"duty": k.Name, "fence": fence, "era": w.Record.Era, "revision": zpobject.PlainRevision(o.Revision)})
	case w.Record.Released:
		k.Log.Emit(zplog.DutyLeft, zplog.Fields{"duty": k.Name, "fence": fence})
	}
}
