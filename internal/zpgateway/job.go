package zpgateway

import (
	"sync/atomic"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// job is the state of one request while it is served.
type job struct {
	request      *Request
	caller       Reply
	catalog      *zpcatalog.Catalog
	route        *zpcatalog.Route
	workspace    *zpcatalog.Workspace // nil on anonymous routes
	pool         *zpcatalog.Pool
	deadline     time.Time
	line         string                // requests that compete for the same endpoints; set when it is placed
	fingerprints []string              // of the whole request, then of its shared parts
	trial        *zpquarantine.Finding // the ban that the next send tests; nil: none

	attempts         int       // number of sends
	sentAt           time.Time // of the last send
	events           int       // complete events received since the last send
	firstEvent       string    // id of the first of them; empty: none
	through          string    // daemon through which the last send went; empty: none
	possibleRuns     int       // number of sends that may have run
	tried            map[string]bool
	noPath           []string // ids of endpoints to which there was no way; others go first
	triedNewVersion  bool     // it was sent to the version that its pool moves to
	streamVersion    string   // software version at which the stream began; see isBound
	isBound          bool     // the stream may go on at streamVersion only
	origin           zporigin.Status
	runState         zperror.RunState
	failure          *bufferedResponse // last 5xx response of an endpoint
	bufferedBytes    int64             // memory of buffered responses, released at the end
	headerSent       bool              // status and header were written to the caller
	lastEvent        string            // id of the last event written to the caller
	position         streamPosition    // of the caller in the stream, from earlier attempts, too
	weights          int64             // newest weights that made an event that the caller has from this response; zero: unknown
	isInsideEvent    bool              // a stream broke off inside the event after lastEvent
	firstByteAt      time.Time         // when writing the body to the caller began
	partsRefreshedAt time.Time         // when the directory was refreshed for the prompt's parts
	stage            atomic.Int32
	disconnectedAt   atomic.Pointer[time.Time] // when the caller's disconnect was detected; nil: connected
}

func (j *job) workspaceName() string {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// priority returns the priority of the request at an engine: ordered by the
// priority of the workspace, then by that of the route. 0 is the highest.
func (j *job) priority() int {
	rank := min(j.route.Priority, routePriorities-1)
	if j.workspace != nil && j.workspace.Priority != zpcatalog.NoPriority {
		rank += routePriorities * j.workspace.Priority
	}
	return min(rank, lowestPriority)
}

const (
	// routePriorities is the number of route priorities within one workspace
	// priority.
	routePriorities = 3
	// lowestPriority is the lowest priority that engines support.
	lowestPriority = 9
)

// remaining returns the time until the request's deadline.
func (j *job) remaining(now time.Time) time.Duration { return j.deadline.Sub(now) }

// firstEventBy returns the time by which the first event or byte of the answer must reach the
// caller. Callers of streams leave earlier than at their deadline.
func (j *job) firstEventBy() time.Time {
	if j.route.Kind != zpcatalog.KindStream || j.headerSent {
		return j.deadline
	}
	patience := max(minPatience, patienceObjectives*j.route.TargetLatency, patienceGaps*j.route.MaxEventGap)
	if by := j.request.ReceivedAt.Add(patience); by.Before(j.deadline) {
		return by
	}
	return j.deadline
}

// Callers of streams leave after the longest of these times without an event: a fixed one,
// so many times the objective, and so many times the longest gap between events.
const (
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// deadlineOf returns the time by which the response must be complete: the
// shorter of the route's timeout and the caller's after the request arrived.
func deadlineOf(q *Request, r *zpcatalog.Route) time.Time {
	wait := r.Timeout
	if q.Timeout > 0 && (wait <= 0 || q.Timeout < wait) {
		wait = q.Timeout
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	return q.ReceivedAt.Add(wait)
}
