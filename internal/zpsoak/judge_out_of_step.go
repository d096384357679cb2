package zpsoak

import (
	"fmt"
	"net/http"
	"slices"
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

// String returns the counts in words.
func (t TakenUp) String() string {
	return fmt.Sprintf("%d streams taken up out of step (%d of the newer version): %d refused (%d of unknown origin), %d went on, %d joined", t.Sent, t.Newer, t.Refused, t.Unknown, t.WentOn, t.Joined)
}

// codeOriginUnknown is the error code of a stream that is refused because its origin is not known.
const codeOriginUnknown = "stream_origin_unknown"

func (r *run) countTakenUp() (out TakenUp) {
	began := map[string]string{} // software version by attempt
	for _, q := range r.requestLog.requests {
		if len(q.Events) > 0 {
			began[q.ID] = q.Events[0].Version
		}
	}
	for _, q := range r.requestLog.requests {
		if q.Resumes != "" && r.isOutOfStep(q) {
			out.add(q, began[q.Resumes])
		}
	}
	return out
}

// add counts an attempt to take up a stream that began at a software version.
func (t *TakenUp) add(q request, version string) {
	t.Sent++
	if version == versions[len(versions)-1] {
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

// isOutOfStep reports whether an attempt was sent to a daemon that was out of step, or that had
// just been.
func (r *run) isOutOfStep(q request) bool {
	return slices.ContainsFunc(r.faults.faultWindows, func(t faultWindow) bool {
		return t.Kind == OutOfStep && slices.Contains(t.Daemons, q.Daemon) && !q.SentAt.Before(t.From) && (t.To.IsZero() || q.SentAt.Before(t.To))
	})
}
