package zpsoak

import (
	"fmt"
	"net/http"
)

type (
	// seamCount counts the streams that callers took up at a daemon after they had broken off.
	seamCount struct {
		Sent    int
		WentOn  int
		Joined  int // went on with events of another software version
		Refused int // because it was not known where they began
		Failed  int // in another way, before an event arrived
	}

	// seams are counts by the build at which streams began and the one at which they were
	// taken up: 0 is the build that daemons begin with, 1 the one that they are upgraded to.
	seams [2][2]seamCount
)

// countSeams counts the streams that were taken up. Those that the caller left before an
// event arrived are left out.
func (r *run) countSeams() (out seams) {
	began := map[string]request{} // by first attempt
	versionOf := map[string]string{}
	for _, q := range r.requestLog.requests {
		if q.Kind == "stream" && q.Resumes == "" {
			began[q.ID] = q
			if len(q.Events) > 0 {
				versionOf[q.ID] = q.Events[0].Version
			}
		}
	}
	for _, q := range r.requestLog.requests {
		first, ok := began[q.Resumes]
		if !ok || !q.CanceledAt.IsZero() && len(q.Events) == 0 {
			continue
		}
		out[r.buildOf(first)][r.buildOf(q)].add(q, versionOf[first.ID])
	}
	return out
}

func (r *run) buildOf(q request) int {
	if r.faults.isUpgraded(q.Daemon, q.Incarnation) {
		return 1
	}
	return 0
}

func (t *seamCount) add(q request, version string) {
	t.Sent++
	switch {
	case q.Code == codeOriginUnknown:
		t.Refused++
	case len(q.Events) > 0 && q.Events[0].Version != version:
		t.Joined++
	case len(q.Events) > 0 || q.Status == http.StatusOK && q.Complete:
		t.WentOn++
	default:
		t.Failed++
	}
}

// String lists the counts by the builds of the two daemons.
func (s seams) String() string {
	builds := []string{"from", "to"}
	text := "taken up"
	for began, list := range s {
		for at, t := range list {
			text += fmt.Sprintf("; %s-%s %d: %d went on, %d joined, %d refused, %d failed", builds[began], builds[at], t.Sent, t.WentOn, t.Joined, t.Refused, t.Failed)
		}
	}
	return text
}
