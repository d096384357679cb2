// Package zpshare exchanges soft state between daemons: the load that each one
// puts on endpoints, the holders of prompt parts, engines that are changing
// weights, and requests that were running at crashes. Shared state may arrive
// late or be lost; anything that must be exact goes through the store.
package zpshare

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

type (
	// Message is a set of updates from one daemon to another.
	Message struct {
		Instance     string
		Uses         map[string]zpusage.Usage // complete load of the sender; nil if unchanged
		Speeds       []zpspeed.Report         // of slow endpoints, by their own words
		Parts        []zpparts.Change
		Expected     []zpparts.Change // parts that an engine is about to prefill
		Saving       []zpparts.Change // parts being saved to a store
		Changing     []Changing
		Crashes      []zpquarantine.Report
		Harmless     []string // fingerprints of requests that run without a crash
		Stores       []zpparts.Store
		Domain       string             // failure domain of the sender
		Unreachable  []string           // endpoints to which the sender's connections timed out
		Upgrades     []zpupgrade.Report // to a judge; the handler answers them, so they are not in received messages
		ResetHolders []string           // holders whose earlier entries are replaced by Parts
	}

	// Reply is the answer of a daemon to a message.
	Reply struct {
		Instance         string             // of the daemon that received the message
		Targets          []zprollout.Target // target weight versions that became so recently
		CatalogVersion   int64              // of the configuration in use; zero: none yet
		CatalogConfirmed bool               // the store has confirmed it to the daemon recently
		CatalogAge       time.Duration      // since it did
		Upgrades         []zpupgrade.Decision
	}

	// Changing announces that an engine receives no requests for some time.
	Changing struct {
		Endpoint string
		Left     time.Duration // remaining time; 0 when the change has ended
	}
)

// IsEmpty reports whether a message contains no updates other than Uses and Speeds.
func (m *Message) IsEmpty() bool {
	return len(m.Parts) == 0 && len(m.Expected) == 0 && len(m.Saving) == 0 && len(m.Changing) == 0 && len(m.Crashes) == 0 && len(m.Harmless) == 0 && len(m.Stores) == 0 && len(m.ResetHolders) == 0 && len(m.Unreachable) == 0
}

// append adds the updates of another message, except Uses and Speeds.
func (m *Message) append(n Message) {
	m.Parts = append(m.Parts, n.Parts...)
	m.Expected = append(m.Expected, n.Expected...)
	m.Saving = append(m.Saving, n.Saving...)
	m.Changing = append(m.Changing, n.Changing...)
	m.Crashes = append(m.Crashes, n.Crashes...)
	m.Harmless = append(m.Harmless, n.Harmless...)
	m.Stores = append(m.Stores, n.Stores...)
	m.ResetHolders = append(m.ResetHolders, n.ResetHolders...)
	m.Unreachable = append(m.Unreachable, n.Unreachable...)
}
