package zpassign

import (
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// MonitorsPerLease is the number of other instances that may end an expired
// lease.
const MonitorsPerLease = 2

// MonitorsOf chooses, among the serving members, the instances that may end the
// lease of self. They are those with the highest rendezvous hashing scores, each
// in a different failure domain and none in self's. If there are too few
// domains, the remaining monitors may be in any domain.
func MonitorsOf(self Member, serving []Member) []string {
	seed := xxh3.HashString(self.Instance)
	usedDomains := []string{self.Domain}
	var out []string
	for len(out) < MonitorsPerLease {
		best := bestMonitor(self, serving, seed, out, usedDomains)
		if best < 0 && len(usedDomains) > 0 {
			usedDomains = nil // too few domains; ignore them from here on
			continue
		}
		if best < 0 {
			break
		}
		out = append(out, serving[best].Instance)
		if usedDomains != nil {
			usedDomains = append(usedDomains, serving[best].Domain)
		}
	}
	sort.Strings(out)
	return out
}

// bestMonitor returns the index of the member with the highest score that is
// neither self, nor chosen already, nor in a used domain. It returns -1 if there
// is none.
func bestMonitor(self Member, serving []Member, seed uint64, chosen, usedDomains []string) int {
	best, topScore := -1, uint64(0)
	for i := range serving {
		m := &serving[i]
		score := xxh3.HashStringSeed(m.Instance, seed)
		if (best >= 0 && score <= topScore) || m.Instance == self.Instance {
			continue
		}
		if slices.Contains(usedDomains, m.Domain) || slices.Contains(chosen, m.Instance) {
			continue
		}
		best, topScore = i, score
	}
	return best
}
