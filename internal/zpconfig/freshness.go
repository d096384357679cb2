package zpconfig

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
)

type (
	// Mode is the state of a daemon's configuration, by which it decides whether
	// to accept new work.
	Mode string

	// Contact is one comparison with a peer.
	Contact struct {
		AskedAt  time.Time
		Answered bool
		Age      time.Duration // age of the peer's copy when it answered
	}

	// Contacts holds the last contact with each peer. It is safe for concurrent
	// use.
	Contacts struct {
		mu   sync.Mutex
		last map[string]Contact
	}

	// FreshnessPolicy decides the mode by the rule in docs/design/stale_daemon.md.
	FreshnessPolicy struct {
		Self           string        // instance of this daemon
		PlatformRegion string        // region of the platform
		MaxAge         time.Duration // age above which a copy is stale
		ContactWindow  time.Duration // age above which a contact is ignored
		ServeLast      bool          // accept work in ModeCutOff, too
	}
)

// Modes of a daemon.
const (
	ModeFresh        Mode = "fresh"
	ModePlatformDown Mode = "platform_down" // the copies of all daemons are stale
	ModeCutOff       Mode = "cut_off"       // this daemon cannot tell whether its copy is current
)

const (
	// unknownAge is the age of a copy that was never known to be current.
	unknownAge = time.Duration(1<<63 - 1)

	// minStalePeers is the number of stale peers that is sufficient evidence of
	// an outage in a region that is too large to ask a majority of its members.
	minStalePeers = 3
)

// NewContacts returns an empty set of contacts.
func NewContacts() *Contacts { return &Contacts{last: map[string]Contact{}} }

// Record stores a contact with a peer, unless a later one is known.
func (c *Contacts) Record(instance string, contact Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if contact.AskedAt.Before(c.last[instance].AskedAt) {
		return
	}
	c.last[instance] = contact
}

// Last returns the last contact with a peer.
func (c *Contacts) Last(instance string) (Contact, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact, ok := c.last[instance]
	return contact, ok
}

// Decide returns the mode at now, from the age of this daemon's copy and the last
// contacts with the members of the platform's region.
//
// If the copy is stale, the platform counts as down only if
//   - more than half of the members that were asked within ContactWindow have
//     answered with a stale copy, and
//   - those are more than half of the region's members, or include at least
//     minStalePeers other members.
//
// If this daemon is a member of the region, it counts as a stale one in both conditions.
// Members are asked at random, so that a sample is representative of a large region.
func (j FreshnessPolicy) Decide(age time.Duration, members []zpassign.Member, contacts *Contacts, now time.Time) Mode {
	if age <= j.MaxAge {
		return ModeFresh
	}
	if age == unknownAge {
		return ModeCutOff
	}
	total, asked, stale, staleOthers := 0, 0, 0, 0
	for _, m := range zpassign.MembersInStates(members, zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Region != j.PlatformRegion {
			continue
		}
		total++
		if m.Instance == j.Self {
			asked++
			stale++
			continue
		}
		contact, ok := contacts.Last(m.Instance)
		if !ok || now.Sub(contact.AskedAt) > j.ContactWindow {
			continue
		}
		asked++
		if contact.Answered && contact.Age > j.MaxAge {
			stale++
			staleOthers++
		}
	}
	if total < 2 && !j.ServeLast {
		return ModeCutOff
	}
	if stale*2 > asked && (stale > total/2 || staleOthers >= minStalePeers) {
		return ModePlatformDown
	}
	return ModeCutOff
}

// AcceptsWork reports whether a daemon may accept new work in a mode.
func (j FreshnessPolicy) AcceptsWork(m Mode) bool { return m != ModeCutOff || j.ServeLast }
