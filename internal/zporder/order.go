// Package zporder decides which orders an engine needs so that it ends in the
// state that the manifest asks for. Each order carries the epoch of the
// partition's owner as fencing number. Some engines ignore the number, so the
// state is read back with every report and put right while it differs.
package zporder

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Order tells an engine which weight version new requests use.
	Order struct {
		Epoch   int64
		Version string
	}

	// Seen is what an engine last reported.
	Seen struct {
		Version string
		AsOf    time.Time
	}

	// Keeper holds the state of the orders to one engine. It is not safe for
	// concurrent use.
	Keeper struct {
		Epoch  int64
		Settle time.Duration // how long an order may take until reports show it

		orderedAt time.Time
		ordered   string
	}
)

// Next returns the order that is due at now, if any.
func (k *Keeper) Next(desired string, seen Seen, now time.Time) (Order, bool) {
	if desired == "" || seen.Version == "" || seen.Version == desired {
		return Order{}, false
	}
	if zpmutant.Active(zpmutant.Fencing) && k.ordered == desired {
		return Order{}, false
	}
	fresh := seen.AsOf.After(k.orderedAt.Add(k.Settle))
	if k.ordered == desired && !fresh {
		return Order{}, false
	}
	k.ordered, k.orderedAt = desired, now
	epoch := k.Epoch
	if zpmutant.Active(zpmutant.Fencing) {
		epoch = 0
	}
	return Order{Epoch: epoch, Version: desired}, true
}
