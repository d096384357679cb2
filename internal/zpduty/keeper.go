package zpduty

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// Keeper keeps one duty through the store. Set the exported fields before use.
type Keeper struct {
	Name  string // of the object
	API   zpobject.API
	Log   *zplog.Logger
	Clock func() time.Time

	mu    sync.Mutex
	lease Lease
}

// NewKeeper returns a keeper that acts as self.
func NewKeeper(name, self string, timing Timing, api zpobject.API, log *zplog.Logger, clock func() time.Time) *Keeper {
	return &Keeper{Name: name, API: api, Log: log, Clock: clock, lease: Lease{Self: self, Timing: timing}}
}

// Holds reports whether this daemon may act now.
func (k *Keeper) Holds() (fence int64, until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Holds(k.Clock())
}

// Drop gives the duty up after another daemon was seen to act with a higher
// fence.
func (k *Keeper) Drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Drop()
}

// Step does what is due: it reads the object unless the duty is held, and takes,
// renews or releases it.
func (k *Keeper) Step(ctx context.Context, work bool) {
	if _, _, held := k.Holds(); !held {
		if !work || !k.look(ctx) {
			return
		}
	}
	k.mu.Lock()
	w, due := k.lease.Next(work, k.Clock())
	k.mu.Unlock()
	if due {
		k.write(ctx, w)
	}
}

func (k *Keeper) look(ctx context.Context) bool {
	o, err := k.API.Get(ctx, k.Name)
	if err != nil && !zpobject.IsNotFound(err) {
		return false
	}
	var r Record
	if err == nil {
		if r, err = DecodeRecord(o.Body); err != nil {
			k.Log.Emit(zplog.EntryIgnored, zplog.Fields{"object": k.Name, "error": err.Error()})
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Saw(r, o.Revision, k.Clock())
	return true
}

func (k *Keeper) write(ctx context.Context, w Write) {
	body, err := EncodeRecord(w.Record)
	if err != nil {
		k.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"duty": k.Name, "error": err.Error()})
		return
	}
	began := k.Clock()
	o, err := k.API.Put(ctx, k.Name, body, w.IfRevision)
	k.mu.Lock()
	_, _, held := k.lease.Holds(began)
	if err == nil {
		k.lease.Wrote(w, o.Revision, began, k.Clock())
	}
	fence, _, holds := k.lease.Holds(k.Clock())
	k.mu.Unlock()
	switch {
	case err != nil:
		k.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"duty": k.Name, "held": held, "error": err.Error()})
	case holds && !held:
		k.Log.Emit(zplog.DutyTaken, zplog.Fields{"duty": k.Name, "fence": fence})
	case w.Record.Released:
		k.Log.Emit(zplog.DutyLeft, zplog.Fields{"duty": k.Name, "fence": fence})
	}
}
