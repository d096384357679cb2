package zpsoak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// TakenUp counts the streams that clients took up at daemons that were out of step.
type TakenUp struct {
	Sent    int
	Newer   int // of Sent: the stream began at the newer software version
	Refused int
	Unknown int // of Refused: the daemon could not tell at which version the stream began
	WentOn  int // with an event at least
	Joined  int // of WentOn: at another software version
}

// Moments counts the streams that were taken up in a drawn shape, by what met: the parts of the
// shape, how the caller took the stream up, and what else happened.
type Moments map[string]TakenUp

// String returns sent/refused/of unknown origin/gone on/joined for each, sorted by name.
func (m Moments) String() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		t := m[name]
		out = append(out, fmt.Sprintf("%s %d/%d/%d/%d/%d", name, t.Sent, t.Refused, t.Unknown, t.WentOn, t.Joined))
	}
	return strings.Join(out, ", ")
}

// String returns the counts in words.
func (t TakenUp) String() string {
	return fmt.Sprintf("%d streams taken up out of step (%d of the newer version): %d refused (%d of unknown origin), %d went on, %d joined", t.Sent, t.Newer, t.Refused, t.Unknown, t.WentOn, t.Joined)
}

// codeOriginUnknown is the error code of a stream that is refused because its origin is not known.
const codeOriginUnknown = "stream_origin_unknown"

func (r *run) countTakenUp() (out TakenUp, moments Moments) {
	began := map[string]request{} // by attempt
	for _, q := range r.requestLog.requests {
		if len(q.Events) > 0 {
			began[q.ID] = q
		}
	}
	moments = Moments{}
	for _, q := range r.requestLog.requests {
		shape, ok := r.outOfStepShape(q)
		if q.Resumes == "" || !ok {
			continue
		}
		first := began[q.Resumes]
		version := ""
		if len(first.Events) > 0 {
			version = first.Events[0].Version
		}
		out.add(q, version)
		if shape == nil {
			continue
		}
		for _, name := range slices.Concat(shape, r.momentsOf(q, first)) {
			t := moments[name]
			t.add(q, version)
			moments[name] = t
		}
	}
	return out, moments
}

// momentsOf returns what met when a stream was taken up.
func (r *run) momentsOf(q, first request) (out []string) {
	add := func(name string, isMet bool) {
		if isMet {
			out = append(out, name)
		}
	}
	wasActive := func(from time.Time, match func(faultWindow) bool) bool {
		return r.hasFault(from, q.SentAt.Add(1), match)
	}
	isTarget := func(daemon int) func(faultWindow) bool {
		return func(t faultWindow) bool { return isOwnFault(t.Kind) && t.Target == daemon }
	}
	if isOut := wasActive(q.SentAt, isTarget(q.Daemon)); isOut {
		add("during", true)
	} else {
		wasOut := wasActive(r.startOfMoment(q), isTarget(q.Daemon))
		add("back_in_step", wasOut)
		add("not_yet", !wasOut)
	}
	add("caller_"+q.Way, q.Way != "")
	add("beginner_killed", wasActive(first.SentAt, func(t faultWindow) bool { return t.Kind == DaemonKill && t.Target == first.Daemon }))
	add("beginner_struck", wasActive(first.SentAt, isTarget(first.Daemon)))
	add("other_struck", wasActive(first.SentAt, func(t faultWindow) bool {
		return isOwnFault(t.Kind) && t.Target != first.Daemon && t.Target != q.Daemon
	}))
	for name, kinds := range besideKinds {
		add("beside_"+name, wasActive(first.SentAt, func(t faultWindow) bool { return slices.Contains(kinds, t.Kind) }))
	}
	return out
}

// besideKinds are faults beside which streams are taken up.
var besideKinds = map[string][]Kind{
	"store": {StoreDown, StoreLose, StoreLate, StoreSlow}, "restore": {StoreRestore}, "evacuation": {Evacuate}, "drain": {EndpointDrain},
	"crash": {EndpointCrash}, "leave": {EndpointLeave}, "configuration": {Reconfigure}, "update": {EndpointUpdate},
}

// add counts an attempt to take up a stream that began at a software version.
func (t *TakenUp) add(q request, version string) {
	t.Sent++
	if version != versions[0] {
		t.Newer++
	}
	switch {
	case len(q.Events) > 0:
		t.WentOn++
	case q.Status != 0 && q.Status != http.StatusOK:
		t.Refused++
		if q.Code == codeOriginUnknown {
			t.Unknown++
		}
	}
	if slices.ContainsFunc(q.Events, func(e event) bool { return e.Version != version }) {
		t.Joined++
	}
}

// outOfStepShape returns the drawn shape, or nil for the plain one. ok is false if an attempt was
// not sent to a daemon that was out of step, or that was about to be or had just been.
func (r *run) outOfStepShape(q request) (shape []string, ok bool) {
	i := slices.IndexFunc(r.faults.faultWindows, q.isAtOutOfStep)
	if i < 0 {
		return nil, false
	}
	return r.faults.faultWindows[i].Shape, true
}

// startOfMoment returns the start of the time in which streams are taken up at daemons that are
// out of step. q is one of them.
func (r *run) startOfMoment(q request) time.Time {
	return r.faults.faultWindows[slices.IndexFunc(r.faults.faultWindows, q.isAtOutOfStep)].From
}

func (q request) isAtOutOfStep(t faultWindow) bool {
	return t.Kind == OutOfStep && slices.Contains(t.Daemons, q.Daemon) && !q.SentAt.Before(t.From) && (t.To.IsZero() || q.SentAt.Before(t.To))
}
