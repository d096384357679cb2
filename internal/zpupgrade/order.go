// Package zpupgrade decides how the requests of a pool move to endpoints of a new
// software version: how many this daemon may send to the new version, whether its answers
// are as good as those of the old ones, and when the move is completed or rolled back. It
// makes no calls.
package zpupgrade

import (
	"strconv"
	"time"
)

type (
	// Order asks that the requests of a pool move to a software version.
	Order struct {
		Pool    string
		To      string
		Within  time.Duration // from the order to its deadline
		Created int64         // revision at which the order's object was created
		// Revision is that of the object as last read. A write of the status must name it.
		Revision int64
		Status   Status
	}

	// Status is what the store says of an order.
	Status struct {
		State State
		To    string // version that the state is about
	}

	// State is the state of an order.
	State int

	// Limits bound what a new version may get before it is known to be good.
	Limits struct {
		Share         float64       // of the requests to its pool, fleet-wide
		Slack         int           // additional requests, fleet-wide
		RollbackAfter time.Duration // within which a bad version must get no more requests
	}
)

// States of an order.
const (
	StateNone State = iota
	StateRunning
	StateCompleted
	StateRolledBack
)

// IsFinal reports whether the state does not change any more.
func (s State) IsFinal() bool { return s == StateCompleted || s == StateRolledBack }

// String returns the name of the state for logs.
func (s State) String() string {
	return [...]string{"none", "running", "completed", "rolled_back"}[s]
}

// state returns the state of the order. A status of another version belongs to an order
// that this one has replaced.
func (o Order) state() State {
	if o.Status.To != o.To {
		return StateNone
	}
	return o.Status.State
}

// id identifies the order among daemons. It stays the same when its status is written.
func (o Order) id() string {
	return strconv.FormatInt(o.Created, 10) + "/" + strconv.FormatInt(o.Within.Milliseconds(), 10) + "/" + o.To
}
