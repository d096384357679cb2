package zpcatalog

import (
	"sync"
	"time"
)

// OutageVotes tells whether the store is away for all daemons, from what they say of it. It is
// if more than half of the failure domains say so, that of this daemon included, and more than
// half of all daemons are heard at all: fewer may be cut off together. It is safe for concurrent
// use.
type OutageVotes struct {
	Domain string // failure domain of this daemon

	mu     sync.Mutex
	votes  map[string]time.Time // last word that the store does not answer, by failure domain
	latest time.Time
}

// voteMaxAge is the age up to which the word of a domain counts. It allows for a few calls to
// daemons chosen at random.
const voteMaxAge = 2 * time.Second

// RecordUnconfirmed records that the store does not answer a daemon of a failure domain, by a
// call that began at a time.
func (v *OutageVotes) RecordUnconfirmed(domain string, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.votes == nil {
		v.votes = map[string]time.Time{}
	}
	if at.After(v.votes[domain]) {
		v.votes[domain] = at
	}
	if at.After(v.latest) {
		v.latest = at
	}
}

// RecordConfirmed records that the store answers a daemon of a failure domain.
func (v *OutageVotes) RecordConfirmed(domain string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.votes, domain)
}

// IsMajority reports whether the other daemons that are heard make up more than half of a fleet
// together with this one. others is the number of all other daemons.
func IsMajority(heard, others int) bool { return 2*(heard+1) > others+1 }

// IsOutage reports whether the store is away for all. domains holds the failure domain of each
// other daemon, and heard is the number of those that have answered recently.
func (v *OutageVotes) IsOutage(domains []string, heard int, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.latest) > voteMaxAge || !IsMajority(heard, len(domains)) {
		return false
	}
	all := map[string]bool{v.Domain: true}
	for _, d := range domains {
		all[d] = true
	}
	agreeing := 1 // this one
	for d := range all {
		if d != v.Domain && now.Sub(v.votes[d]) <= voteMaxAge {
			agreeing++
		}
	}
	return 2*agreeing > len(all)
}

// Silent returns the domains of which no word counts at present.
func (v *OutageVotes) Silent(domains []string, now time.Time) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]bool{}
	for _, d := range domains {
		if now.Sub(v.votes[d]) > voteMaxAge {
			out[d] = true
		}
	}
	return out
}
