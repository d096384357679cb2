package zpgateway

import (
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

type (
	// flights remembers what ran on an endpoint when its answers broke off, so
	// that a fall of the endpoint can be attributed. It is safe for concurrent
	// use.
	flights struct {
		mu     sync.Mutex
		broken map[string][]brokenFlight // by endpoint
	}

	brokenFlight struct {
		fingerprint string
		at          time.Time
	}
)

// fallWindow is how long after a broken answer the fall of its endpoint still
// counts as the cause. The store drops the entry of an endpoint that fell after
// three heartbeats.
const fallWindow = 6 * time.Second

// note remembers a request whose answer broke off.
func (f *flights) note(endpoint, fingerprint string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken == nil {
		f.broken = map[string][]brokenFlight{}
	}
	f.broken[endpoint] = append(recent(f.broken[endpoint], now), brokenFlight{fingerprint, now})
}

// take returns the requests that broke off before an endpoint fell.
func (f *flights) take(endpoint string, now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, b := range recent(f.broken[endpoint], now) {
		out = append(out, b.fingerprint)
	}
	delete(f.broken, endpoint)
	return out
}

func recent(list []brokenFlight, now time.Time) []brokenFlight {
	var out []brokenFlight
	for _, b := range list {
		if now.Sub(b.at) <= fallWindow {
			out = append(out, b)
		}
	}
	return out
}

// fingerprint names what a request asks for, apart for each workspace.
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
