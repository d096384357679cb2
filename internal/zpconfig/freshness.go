package zpconfig

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
)

type (
	// Mode says whether new work may be taken.
	Mode string

	// Contact is the last successful comparison with one peer.
	Contact struct {
		At  time.Time     // when the peer was asked
		Age time.Duration // age of the peer's proof then
	}

	// Contacts remembers the last contact with each peer. It is safe for
	// concurrent use.
	Contacts struct {
		mu   sync.Mutex
		last map[string]Contact
	}

	// Judge decides by the freshness rule of docs/design/stale_daemon.md.
	Judge struct {
		Self           string
		PlatformRegion string
		MaxAge         time.Duration
		ContactWindow  time.Duration
		ServeLast      bool
	}
)

// Modes.
const (
	ModeFresh        Mode = "fresh"
	ModePlatformDown Mode = "platform_down" // every daemon is stale alike
	ModeCutOff       Mode = "cut_off"       // this daemon cannot know
)

const neverFresh = time.Duration(1<<63 - 1)

// NewContacts returns an empty memory of contacts.
func NewContacts() *Contacts { return &Contacts{last: map[string]Contact{}} }

// Note records a comparison with a peer.
func (c *Contacts) Note(instance string, contact Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[instance] = contact
}

// Last returns the last contact with a peer.
func (c *Contacts) Last(instance string) (Contact, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact, ok := c.last[instance]
	return contact, ok
}

// Decide returns the mode at now, from the age of the own proof and the last
// contacts with the members of the platform's region. The platform counts as
// down only if a majority of those members, this daemon included, was reached
// lately and each was as stale as this daemon.
func (j Judge) Decide(age time.Duration, members []zpassign.Member, contacts *Contacts, now time.Time) Mode {
	if age <= j.MaxAge {
		return ModeFresh
	}
	if age == neverFresh {
		return ModeCutOff
	}
	total, reached := 0, 0
	for _, m := range zpassign.Live(members, zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Region != j.PlatformRegion {
			continue
		}
		total++
		if m.Instance == j.Self || j.staleLately(m.Instance, contacts, now) {
			reached++
		}
	}
	if total > 0 && reached*2 > total && (total > 1 || j.ServeLast) {
		return ModePlatformDown
	}
	return ModeCutOff
}

// Serves reports whether new work is taken in a mode.
func (j Judge) Serves(m Mode) bool { return m != ModeCutOff || j.ServeLast }

func (j Judge) staleLately(instance string, contacts *Contacts, now time.Time) bool {
	contact, ok := contacts.Last(instance)
	if !ok || now.Sub(contact.At) > j.ContactWindow {
		return false
	}
	return contact.Age > j.MaxAge
}
