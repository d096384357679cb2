package zpgateway

import (
	"sync/atomic"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// job is the state of one request on its way.
type job struct {
	request     *Request
	caller      Reply
	catalog     *zpcatalog.Catalog
	route       *zpcatalog.Route
	workspace   *zpcatalog.Workspace // nil on anonymous routes
	pool        *zpcatalog.Pool
	deadline    time.Time
	fingerprint string

	attempts  int // sends
	runs      int // sends that may have run
	tried     map[string]bool
	runState  zperror.RunState
	failure   *buffered // a failure that an endpoint answered
	keptBytes int64     // of answers, to be released
	begun     bool      // the caller has the head of the answer
	lastEvent string    // last event that the caller has
	first     time.Time // when the caller got the first byte of the body
	lookedAt  time.Time // when the holders of the prompt's parts were looked up
	stage     atomic.Int32
	leftAt    atomic.Pointer[time.Time] // when the caller's close was seen; nil: it was not
}

func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

func (j *job) regions() zpcatalog.RegionFilter {
	f := zpcatalog.RegionFilter{Route: j.route.Regions}
	if j.workspace != nil {
		f.Workspace = j.workspace.Regions
	}
	return f
}

// priority returns the rank of the request at an engine: that of the workspace
// goes first, then that of the route. 0 is the most urgent.
func (j *job) priority() int {
	rank := min(j.route.Priority, routeRanks-1)
	if j.workspace != nil && j.workspace.Priority != zpcatalog.NoPriority {
		rank += routeRanks * j.workspace.Priority
	}
	return min(rank, lowestPriority)
}

const (
	// routeRanks is how many priorities of routes are told apart within one
	// priority of workspaces.
	routeRanks = 3
	// lowestPriority is the last rank that engines know.
	lowestPriority = 9
)

// left returns the time until the request must have its final answer.
func (j *job) left(now time.Time) time.Duration { return j.deadline.Sub(now) }

// deadlineOf returns when a request must have its final answer.
func deadlineOf(q *Request, r *zpcatalog.Route) time.Time {
	wait := r.Timeout
	if q.Wait > 0 && (wait <= 0 || q.Wait < wait) {
		wait = q.Wait
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	return q.ReceivedAt.Add(wait)
}
