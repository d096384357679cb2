package zpdigest

import (
	"slices"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
)

const (
	// membersPerRelay is the number of daemons of a failure domain for each of its relays.
	membersPerRelay = 48
	// sparedDaemons is the number of daemons with the most CPU cores in a failure domain
	// that relay only when others do not: they watch the store for the others already.
	sparedDaemons = 2
)

// relayOrder lists the daemons of a failure domain, those that relay first.
type relayOrder struct {
	daemons []zpassign.Member
	names   []string // sorted
	relays  int      // number of daemons that relay
}

// relaysByDomain returns the order of the daemons of each failure domain.
func relaysByDomain(members []zpassign.Member) map[string]relayOrder {
	byDomain := map[string][]zpassign.Member{}
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	out := map[string]relayOrder{}
	for domain, list := range byDomain {
		daemons := zplookup.MostCores(list, len(list))
		spared := min(sparedDaemons, len(daemons))
		o := relayOrder{daemons: slices.Concat(daemons[spared:], daemons[:spared]), relays: 1 + len(list)/membersPerRelay}
		for _, m := range list {
			o.names = append(o.names, m.Name)
		}
		slices.Sort(o.names)
		out[domain] = o
	}
	return out
}

// choose returns the relays of a failure domain. One that is avoided is replaced by the
// next daemon, and the others keep their positions, so that most daemons keep their relay.
func (o relayOrder) choose(isAvoided func(m zpassign.Member) bool) []zpassign.Member {
	var out []zpassign.Member
	spare := o.relays
	for _, m := range o.daemons[:min(o.relays, len(o.daemons))] {
		for isAvoided(m) && spare < len(o.daemons) {
			m = o.daemons[spare]
			spare++
		}
		if !isAvoided(m) {
			out = append(out, m)
		}
	}
	return out
}

// relayFor returns the relay to which a daemon reports. Each relay gets an equal share of
// the daemons in the order of their names, so that few change their relay when one joins.
// It returns false if there is no relay.
func (o relayOrder) relayFor(name string, relays []zpassign.Member) (zpassign.Member, bool) {
	if len(relays) == 0 {
		return zpassign.Member{}, false
	}
	position, _ := slices.BinarySearch(o.names, name)
	return relays[min(position*len(relays)/len(o.names), len(relays)-1)], true
}
