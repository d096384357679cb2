package zpgateway

import (
	"sync"
	"time"
)

type (
	// Failure classifies a failed request to an endpoint.
	Failure int

	// HealthTracker records recent failures of endpoints, from the results of
	// requests. It is safe for concurrent use.
	HealthTracker struct {
		mu         sync.Mutex
		endpoints  map[string]*health
		quietUntil time.Time // latest of all endpoints
	}

	health struct {
		avoidUntil          time.Time // the endpoint costs more in placement until then
		backoffUntil        time.Time // no request is sent to the endpoint until then
		quietUntil          time.Time // the endpoint wants no request until then
		consecutiveFailures int
		announcedAt         time.Time            // when other daemons were last told that it is unreachable
		unreachableFrom     map[string]time.Time // when it was last unreachable, by failure domain of the daemon
		failureRate         float64              // moving average: 1 is a failure, 0 a success
	}
)

// Kinds of failures.
const (
	FailureConnect        Failure = iota // no connection: refused, or reset because the endpoint is full
	FailureConnectTimeout                // no connection: the connect timed out
	FailureBroken                        // the response broke off
	FailureNoResponse                    // no response in time
	FailureNotRun                        // the endpoint refused to run the request
	FailureOtherInstance                 // another endpoint has the address
	FailureServerError                   // the endpoint responded with a 5xx status
)

const (
	failureRateWeight = 0.2 // weight of the latest request in the moving average
	// maxFailureRate is the share of failures from which an endpoint is avoided for
	// its 5xx responses. It is above the error rate of healthy services.
	maxFailureRate = 0.35

	initialAvoidance = 300 * time.Millisecond // doubles with each consecutive failure
	maxAvoidance     = 4 * time.Second

	// announceInterval is the minimum time between two messages to other daemons
	// about one endpoint.
	announceInterval = time.Second
	// unreachableWindow is the time within which daemons of unreachableDomains
	// failure domains must have failed to reach an endpoint before all daemons avoid
	// it. A single domain may have lost only its own network path to the endpoint.
	unreachableWindow  = 2 * time.Second
	unreachableDomains = 2
	// unreachableAvoidance covers most of the time until a crashed endpoint is
	// removed from the list of endpoints.
	unreachableAvoidance = 3 * time.Second

	initialBackoff = 100 * time.Millisecond // doubles with each consecutive failure
	maxBackoff     = time.Second
)

// NewHealthTracker returns a tracker without records.
func NewHealthTracker() *HealthTracker { return &HealthTracker{endpoints: map[string]*health{}} }

// RecordFailure records a failed request and reports whether other daemons should
// be told that the endpoint is unreachable.
func (t *HealthTracker) RecordFailure(endpoint string, f Failure, now time.Time) (announce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.healthOf(endpoint)
	h.consecutiveFailures++
	h.failureRate += failureRateWeight * (1 - h.failureRate)
	if f == FailureServerError && h.failureRate < maxFailureRate {
		return false
	}
	h.avoidUntil = now.Add(min(initialAvoidance<<min(h.consecutiveFailures-1, 8), maxAvoidance))
	switch f {
	case FailureOtherInstance:
		// The endpoint is gone from its address. It is removed from the list a moment later.
		h.backoffUntil = now.Add(maxBackoff)
	case FailureConnect, FailureConnectTimeout, FailureNotRun:
		h.backoffUntil = now.Add(min(initialBackoff<<min(h.consecutiveFailures-1, 8), maxBackoff))
	}
	// An engine that queues prompts or resets connections may be overloaded. If all
	// daemons avoided it, they would overload the next one, so only endpoints that are
	// unreachable or gone are announced.
	if f != FailureConnectTimeout && f != FailureOtherInstance || now.Sub(h.announcedAt) < announceInterval {
		return false
	}
	h.announcedAt = now
	return true
}

// RecordUnreachable records that a daemon of a failure domain could not reach an
// endpoint, and reports whether the endpoint is avoided as a result. Without
// these reports, each daemon of a large fleet would detect each unreachable
// endpoint only by failed requests of its own.
func (t *HealthTracker) RecordUnreachable(endpoint, domain string, now time.Time) (avoided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.healthOf(endpoint)
	if h.unreachableFrom == nil {
		h.unreachableFrom = map[string]time.Time{}
	}
	h.unreachableFrom[domain] = now
	for d, at := range h.unreachableFrom {
		if now.Sub(at) > unreachableWindow {
			delete(h.unreachableFrom, d)
		}
	}
	if len(h.unreachableFrom) < unreachableDomains {
		return false
	}
	avoided = !now.Before(h.avoidUntil)
	if until := now.Add(unreachableAvoidance); until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
	return avoided
}

// RecordSuccess records a complete response.
func (t *HealthTracker) RecordSuccess(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.healthOf(endpoint)
	h.consecutiveFailures, h.unreachableFrom = 0, nil
	h.failureRate -= failureRateWeight * h.failureRate
	if h.failureRate < maxFailureRate && now.Before(h.avoidUntil) {
		h.avoidUntil = now
	}
}

// IsAvoided reports whether an endpoint should be avoided.
func (t *HealthTracker) IsAvoided(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.endpoints[endpoint]
	return ok && now.Before(h.avoidUntil)
}

// IsBackingOff reports whether an endpoint has just refused a request and would probably
// refuse another one, or wants none for a while.
func (t *HealthTracker) IsBackingOff(endpoint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.endpoints[endpoint]
	return ok && (now.Before(h.backoffUntil) || now.Before(h.quietUntil))
}

// RecordQuiet records that an endpoint wants no requests until a time, and reports whether
// that is longer than known before. Successful responses do not end it.
func (t *HealthTracker) RecordQuiet(endpoint string, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.healthOf(endpoint)
	if !until.After(now) || !until.After(h.quietUntil) {
		return false
	}
	h.quietUntil = until
	if until.After(t.quietUntil) {
		t.quietUntil = until
	}
	return true
}

// QuietUntil returns the time until which an endpoint wants no requests, or the zero time.
func (t *HealthTracker) QuietUntil(endpoint string, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.endpoints[endpoint]; ok && now.Before(h.quietUntil) {
		return h.quietUntil
	}
	return time.Time{}
}

// HasQuiet reports whether any endpoint may want no requests.
func (t *HealthTracker) HasQuiet(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.quietUntil)
}

// Forget deletes the record of an endpoint that was removed.
func (t *HealthTracker) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, endpoint)
}

func (t *HealthTracker) healthOf(endpoint string) *health {
	h, ok := t.endpoints[endpoint]
	if !ok {
		h = &health{}
		t.endpoints[endpoint] = h
	}
	return h
}
