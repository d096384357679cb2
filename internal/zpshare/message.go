// Package zpshare passes soft state between daemons: the load that each has put
// on endpoints, which parts of prompts are where, engines that change weights,
// and requests that were present at crashes. Everything shared may be late or
// lost; what must be exact goes through the store.
package zpshare

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Message is what one daemon tells another.
	Message struct {
		Instance string
		Uses     map[string]zpusage.Use // all of the sender's; nil: as told last
		Parts    []zpparts.Change
		Expected []zpparts.Change // that an engine is about to read
		Saving   []zpparts.Change // to a store
		Changing []Changing
		Crashes  []Crash
		Stores   []zpparts.Store
		Domain   string   // failure domain of the sender
		Dark     []string // endpoints that the sender got no connection to in time
		Reset    []string // holders of which the parts in this message are all
	}

	// Changing says that an engine takes no requests for a while.
	Changing struct {
		Endpoint string
		Left     time.Duration // zero: the change has ended
	}

	// Crash says that a request was present at the fall of an endpoint.
	Crash struct {
		Fingerprint string
		Crash       string
	}
)

// IsEmpty reports whether a message says nothing but the sender's uses.
func (m *Message) IsEmpty() bool {
	return len(m.Parts) == 0 && len(m.Expected) == 0 && len(m.Saving) == 0 && len(m.Changing) == 0 && len(m.Crashes) == 0 && len(m.Stores) == 0 && len(m.Reset) == 0 && len(m.Dark) == 0
}

// append adds another message's news.
func (m *Message) append(n Message) {
	m.Parts = append(m.Parts, n.Parts...)
	m.Expected = append(m.Expected, n.Expected...)
	m.Saving = append(m.Saving, n.Saving...)
	m.Changing = append(m.Changing, n.Changing...)
	m.Crashes = append(m.Crashes, n.Crashes...)
	m.Stores = append(m.Stores, n.Stores...)
	m.Reset = append(m.Reset, n.Reset...)
	m.Dark = append(m.Dark, n.Dark...)
}
