package zpgateway

import (
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

type (
	// brokenResponses records the requests whose responses an endpoint broke off,
	// so that a crash of the endpoint can be attributed to them. It is safe for
	// concurrent use.
	brokenResponses struct {
		mu         sync.Mutex
		byEndpoint map[string][]brokenResponse // by endpoint id
	}

	brokenResponse struct {
		fingerprint string
		at          time.Time
	}
)

// crashWindow is how long after a broken response the removal of its endpoint is
// taken as the crash that broke it. The store removes the entry of a crashed
// endpoint after three heartbeat intervals.
const crashWindow = 6 * time.Second

// add records a request whose response broke off.
func (r *brokenResponses) add(endpoint, fingerprint string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint == nil {
		r.byEndpoint = map[string][]brokenResponse{}
	}
	r.byEndpoint[endpoint] = append(recent(r.byEndpoint[endpoint], now), brokenResponse{fingerprint, now})
}

// take returns the fingerprints of the requests that broke off shortly before an
// endpoint was removed, and deletes its records.
func (r *brokenResponses) take(endpoint string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, b := range recent(r.byEndpoint[endpoint], now) {
		out = append(out, b.fingerprint)
	}
	delete(r.byEndpoint, endpoint)
	return out
}

func recent(list []brokenResponse, now time.Time) []brokenResponse {
	var out []brokenResponse
	for _, b := range list {
		if now.Sub(b.at) <= crashWindow {
			out = append(out, b)
		}
	}
	return out
}

// fingerprint identifies the content of a request. Equal requests of different
// workspaces have different fingerprints.
func fingerprint(j *job) string {
	q := j.request
	parts := make([]string, 0, 8)
	if q.Prompt != nil {
		for _, p := range q.Prompt.Parts {
			parts = append(parts, p.ID)
		}
	}
	content := strings.Join([]string{q.Method, q.Host, q.URL, strings.Join(parts, ","), string(q.Body)}, "\x00")
	return zpprefix.Fingerprint(zpprefix.NewSalt(j.workspaceName(), j.workspaceName(), "", ""), []byte(content))
}
