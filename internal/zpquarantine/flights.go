package zpquarantine

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// Flights lets equal requests of which none has run to its end go one after
	// the other, so that a request which crashes engines meets them singly
	// however often it is sent at once. It is safe for concurrent use.
	Flights struct {
		mu     sync.Mutex
		flying map[string]flight
		proven *lru.Cache[string, struct{}]
	}

	flight struct {
		id    string
		since time.Time
	}
)

const (
	provenKept = 100_000
	// FlightLimit is how long a flight whose end was not told holds others up.
	FlightLimit = 30 * time.Second
)

// NewFlights returns an empty table.
func NewFlights() *Flights {
	// The size is a positive constant, so New cannot fail.
	proven, _ := lru.New[string, struct{}](provenKept)
	return &Flights{flying: map[string]flight{}, proven: proven}
}

// Start reports whether the request with that id may run now.
func (f *Flights) Start(fingerprint, id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proven.Contains(fingerprint) {
		return true
	}
	other, ok := f.flying[fingerprint]
	if ok && other.id != id && now.Sub(other.since) < FlightLimit {
		return false
	}
	f.flying[fingerprint] = flight{id: id, since: now}
	return true
}

// End notes that a request has ended. One that ran to its end proves that its
// equals do no harm.
func (f *Flights) End(fingerprint, id string, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.flying[fingerprint].id == id {
		delete(f.flying, fingerprint)
	}
	if whole {
		f.proven.Add(fingerprint, struct{}{})
	}
}
