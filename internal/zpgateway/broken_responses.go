package zpgateway

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
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
		report zpquarantine.Report
		at     time.Time
	}
)

// crashWindow is how long after a broken response the removal of its endpoint is
// taken as the crash that broke it. The store removes the entry of a crashed
// endpoint after three heartbeat intervals.
const crashWindow = 6 * time.Second

// add records a request whose response broke off.
func (r *brokenResponses) add(endpoint string, report zpquarantine.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byEndpoint == nil {
		r.byEndpoint = map[string][]brokenResponse{}
	}
	r.byEndpoint[endpoint] = append(recent(r.byEndpoint[endpoint], now), brokenResponse{report, now})
}

// take returns the requests that broke off shortly before an endpoint was removed, and
// deletes its records.
func (r *brokenResponses) take(endpoint string, now time.Time) []zpquarantine.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []zpquarantine.Report
	for _, b := range recent(r.byEndpoint[endpoint], now) {
		out = append(out, b.report)
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
