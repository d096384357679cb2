// Package zpobject wraps the platform's object API: named objects with revisions,
// conditional updates and watches.
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
		Revision int64 // platform-wide, increases with each change; qualified by the era, see QualifyRevision
		Body     []byte
		Deleted  bool // set only in the results of a watch
	}

	// Listing is the result of List or Watch.
	Listing struct {
		Objects  []Object
		Revision int64 // the platform's revision at the time of the response
	}

	// VM is an entry of the platform's list of VMs, which lags behind the actual
	// state.
	VM struct {
		Name    string
		Leaving bool
	}

	// API is the subset of the platform's API that the daemon uses.
	//
	// Put creates the object if ifRevision is zero. Otherwise it updates the
	// object only if it still has that revision. If the response is lost, the
	// error has CodeOutcomeUnknown: the change may or may not have taken effect.
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

// MaxBodyBytes is the maximum size of an object body on the platform.
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

// IsConflict reports whether the object was changed by another writer.
func IsConflict(err error) bool { return zperror.Is(err, CodeConflict) }

// IsOutcomeUnknown reports whether the change may have taken effect.
func IsOutcomeUnknown(err error) bool { return zperror.Is(err, CodeOutcomeUnknown) }
