// Package zporder decides which orders to send to an engine so that it reaches the
// state required by the manifest. Each order carries the epoch of the partition's
// owner as a fencing token. Some engines ignore the token, so the state in every
// report is compared with the required one, and the order is sent again while they
// differ.
package zporder

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

type (
	// Order sets the weight version that an engine uses for new requests.
	Order struct {
		Epoch   int64
		Version string
	}

	// Reported is the state that an engine last reported.
	Reported struct {
		Version string
		AsOf    time.Time
	}

	// Reconciler reconciles one engine with the required state and remembers the last
	// order. It is not safe for concurrent use.
	Reconciler struct {
		Epoch       int64
		ReportDelay time.Duration // time that an order may take until reports show its effect

		lastOrderAt time.Time
		lastVersion string
	}
)

// Next returns the order to send at now, if any. It repeats an order only after a
// report that was taken more than ReportDelay after the order and still differs.
func (k *Reconciler) Next(desired string, seen Reported, now time.Time) (Order, bool) {
	if desired == "" || seen.Version == "" || seen.Version == desired {
		return Order{}, false
	}
	if zpmutant.Active(zpmutant.Fencing) && k.lastVersion == desired {
		return Order{}, false
	}
	reportIsRecent := seen.AsOf.After(k.lastOrderAt.Add(k.ReportDelay))
	if k.lastVersion == desired && !reportIsRecent {
		return Order{}, false
	}
	k.lastVersion, k.lastOrderAt = desired, now
	epoch := k.Epoch
	if zpmutant.Active(zpmutant.Fencing) {
		epoch = 0
	}
	return Order{Epoch: epoch, Version: desired}, true
}
