package zpgateway

import (
	"sync"
	"time"
)

type (
	// Failure is a way in which an endpoint failed.
	Failure int

	// Suspects remembers endpoints that failed lately. It is safe for concurrent
	// use.
	Suspects struct {
		mu      sync.Mutex
		records map[string]*suspect
	}

	suspect struct {
		until    time.Time // costs more until then
		shut     time.Time // takes nothing until then
		inARow   int
		told     time.Time            // when other daemons were told of it last
		darkTo   map[string]time.Time // failure domains to whose daemons it was dark, and when
		failures float64              // moving average: 1 is a failure, 0 a success
	}
)

// Failures.
const (
	FailureConnect Failure = iota // no connection: refused, or reset as the endpoint is full
	FailureDark                   // no connection: nothing came back in time
	FailureBroken                 // the answer broke off
	FailureSilence                // no answer in time
	FailureRefusal                // not run
	FailureOther                  // another endpoint has the address
	FailureAnswer                 // an error of the endpoint itself
)

const (
	failureWeight = 0.2 // of the newest request in the moving average
	// failureShare is the share of failures over which an endpoint is avoided. It
	// is above the share of errors that sound services return.
	failureShare = 0.35

	firstAvoidance = 300 * time.Millisecond // doubles with each failure in a row
	maxAvoidance   = 4 * time.Second

	// tellPause is the pause between two messages about one endpoint.
	tellPause = time.Second
	// darkWindow is the time within which daemons of darkDomains failure domains
	// must have found the endpoint dark, so that all avoid it. One domain alone may
	// have lost its way to it.
	darkWindow  = 2 * time.Second
	darkDomains = 2
	// darkAvoidance covers most of the time until the entry of an endpoint that
	// fell is gone from the list.
	darkAvoidance = 3 * time.Second

	firstShut = 100 * time.Millisecond // doubles with each failure in a row
	maxShut   = time.Second
)

// NewSuspects returns an empty list.
func NewSuspects() *Suspects { return &Suspects{records: map[string]*suspect{}} }

// Failed notes a failure and reports whether other daemons should be told that
// the endpoint is dark.
func (s *Suspects) Failed(endpoint string, f Failure, now time.Time) (tell bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(endpoint)
	r.inARow++
	r.failures += failureWeight * (1 - r.failures)
	if f == FailureAnswer && r.failures < failureShare {
		return false
	}
	r.until = now.Add(min(firstAvoidance<<min(r.inARow-1, 8), maxAvoidance))
	switch f {
	case FailureConnect, FailureDark, FailureRefusal, FailureOther:
		r.shut = now.Add(min(firstShut<<min(r.inARow-1, 8), maxShut))
	}
	// An engine that lets a prompt wait, or resets connections, may be loaded; all
	// avoiding it would load the next one. Only one that is dark is told of.
	if f != FailureDark || now.Sub(r.told) < tellPause {
		return false
	}
	r.told = now
	return true
}

// Dark notes that an endpoint was dark to a daemon of a failure domain,
// and reports whether that has it avoided from now on. A fleet of many daemons
// and endpoints would otherwise find out one request at a time.
func (s *Suspects) Dark(endpoint, domain string, now time.Time) (avoided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(endpoint)
	if r.darkTo == nil {
		r.darkTo = map[string]time.Time{}
	}
	r.darkTo[domain] = now
	for d, at := range r.darkTo {
		if now.Sub(at) > darkWindow {
			delete(r.darkTo, d)
		}
	}
	if len(r.darkTo) < darkDomains {
		return false
	}
	avoided = !now.Before(r.until)
	if until := now.Add(darkAvoidance); until.After(r.until) {
		r.until = until
	}
	return avoided
}

// Succeeded notes a whole answer.
func (s *Suspects) Succeeded(endpoint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(endpoint)
	r.inARow, r.darkTo = 0, nil
	r.failures -= failureWeight * r.failures
	if r.failures < failureShare && now.Before(r.until) {
		r.until = now
	}
}

// Suspect reports whether an endpoint should be avoided.
func (s *Suspects) Suspect(endpoint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[endpoint]
	return ok && now.Before(r.until)
}

// Shut reports whether an endpoint has just taken no request, so that another
// one would only be refused as well.
func (s *Suspects) Shut(endpoint string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[endpoint]
	return ok && now.Before(r.shut)
}

// Forget drops what is known of an endpoint that is gone.
func (s *Suspects) Forget(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, endpoint)
}

func (s *Suspects) record(endpoint string) *suspect {
	r, ok := s.records[endpoint]
	if !ok {
		r = &suspect{}
		s.records[endpoint] = r
	}
	return r
}
