// Package zpobject is the narrow wrapper round the platform's object API:
// named objects with revisions, conditional updates and watches.
package zpobject

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Object is one stored value.
	Object struct {
		Name     string
		Revision int64 // platform-wide, rises with each change
		Body     []byte
		Deleted  bool // only in the events of a watch
	}

	// Listing is what a List or Watch returns.
	Listing struct {
		Objects  []Object
		Revision int64 // the platform's revision when the answer was made
	}

	// VM is one entry of the platform's lagging list.
	VM struct {
		Name    string
		Leaving bool
	}

	// API is what the daemon needs of the platform.
	//
	// Put creates when ifRevision is zero, else updates only if the object
	// still has that revision. A lost answer gives an error with
	// CodeOutcomeUnknown: the change may or may not have taken effect.
	API interface {
		Get(ctx context.Context, name string) (Object, error)
		List(ctx context.Context, prefix string) (Listing, error)
		Put(ctx context.Context, name string, body []byte, ifRevision int64) (Object, error)
		Delete(ctx context.Context, name string, ifRevision int64) error
		Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (Listing, error)
		VMs(ctx context.Context) ([]VM, error)
	}
)

// Codes of the errors that an API returns.
const (
	CodeNotFound       = "object_not_found"
	CodeConflict       = "object_conflict"
	CodeTooLarge       = "object_too_large"
	CodeUnavailable    = "platform_unavailable"     // the change has not taken effect
	CodeOutcomeUnknown = "platform_outcome_unknown" // the change may have taken effect
)

// MaxBodyBytes is the largest value that the platform holds.
const MaxBodyBytes = 1 << 20

// Errors that an API returns.
var (
	ErrNotFound = zperror.New(zperror.KindNotFound, CodeNotFound,
		"the object does not exist", "create it first")
	ErrConflict = zperror.New(zperror.KindConflict, CodeConflict,
		"the object was changed by another writer", "read it again and repeat the change")
	ErrTooLarge = zperror.New(zperror.KindInvalid, CodeTooLarge,
		"the value is larger than 1 MB", "split the value")
	ErrUnavailable = zperror.New(zperror.KindUnavailable, CodeUnavailable,
		"the platform cannot be reached", "wait for the platform to return")
	ErrOutcomeUnknown = zperror.New(zperror.KindUnavailable, CodeOutcomeUnknown,
		"the platform's answer was lost", "read the object back").WithState(zperror.RunStateUnknown)
)

// IsNotFound reports whether the object does not exist.
func IsNotFound(err error) bool { return zperror.Is(err, CodeNotFound) }

// IsConflict reports whether another writer was first.
func IsConflict(err error) bool { return zperror.Is(err, CodeConflict) }

// IsOutcomeUnknown reports whether the change may have taken effect.
func IsOutcomeUnknown(err error) bool { return zperror.Is(err, CodeOutcomeUnknown) }
