package zpconfig

import (
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
)

type (
	// Mode says whether new work may be taken.
	Mode string

	// Contact is the last comparison with one peer.
	Contact struct {
		At       time.Time // when the peer was asked
		Answered bool
		Age      time.Duration // age of the peer's proof then
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

const (
	neverFresh = time.Duration(1<<63 - 1)

	// enoughReached is how many members, this one not counted, speak for a
	// region that is too large to ask a majority of.
	enoughReached = 3
)

// NewContacts returns an empty memory of contacts.
func NewContacts() *Contacts { return &Contacts{last: map[string]Contact{}} }

// Note records a comparison with a peer, unless a later one is known.
func (c *Contacts) Note(instance string, contact Contact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if contact.At.Before(c.last[instance].At) {
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

// Decide returns the mode at now, from the age of the own proof and the last
// contacts with the members of the platform's region. The platform counts as
// down only if a majority of those that were asked lately answered, this daemon
// included, if each of these was as stale as this daemon, and if they are a
// majority of the region's members or at least enoughReached. Members are asked
// at random, so that a sample speaks for a large region.
func (j Judge) Decide(age time.Duration, members []zpassign.Member, contacts *Contacts, now time.Time) Mode {
	if age <= j.MaxAge {
		return ModeFresh
	}
	if age == neverFresh {
		return ModeCutOff
	}
	total, asked, reached := 0, 1, 1 // this daemon reaches itself
	for _, m := range zpassign.Live(members, zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Region != j.PlatformRegion {
			continue
		}
		total++
		contact, ok := contacts.Last(m.Instance)
		if m.Instance == j.Self || !ok || now.Sub(contact.At) > j.ContactWindow {
			continue
		}
		asked++
		if contact.Answered && contact.Age > j.MaxAge {
			reached++
		}
	}
	if total < 2 && !j.ServeLast {
		return ModeCutOff
	}
	if reached*2 > asked && (reached > total/2 || reached > enoughReached) {
		return ModePlatformDown
	}
	return ModeCutOff
}

// Serves reports whether new work is taken in a mode.
func (j Judge) Serves(m Mode) bool { return m != ModeCutOff || j.ServeLast }
