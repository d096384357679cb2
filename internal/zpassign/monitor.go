package zpassign

import (
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// MonitorsPerLease is how many instances may end a lease.
const MonitorsPerLease = 2

// MonitorsOf chooses the instances that may end the lease of self among the
// serving members: those with the highest rendezvous scores, each in a failure
// domain of its own and outside self's, as far as there are enough domains.
func MonitorsOf(self Member, serving []Member) []string {
	seed := xxh3.HashString(self.Instance)
	used := []string{self.Domain}
	var out []string
	for len(out) < MonitorsPerLease {
		best := bestMonitor(self, serving, seed, out, used)
		if best < 0 && len(used) > 0 {
			used = nil // too few domains: any other member will do
			continue
		}
		if best < 0 {
			break
		}
		out = append(out, serving[best].Instance)
		if used != nil {
			used = append(used, serving[best].Domain)
		}
	}
	sort.Strings(out)
	return out
}

// bestMonitor returns the index of the member with the highest score that is
// not chosen yet and not in a used domain, or -1.
func bestMonitor(self Member, serving []Member, seed uint64, chosen, used []string) int {
	best, top := -1, uint64(0)
	for i := range serving {
		m := &serving[i]
		score := xxh3.HashStringSeed(m.Instance, seed)
		if (best >= 0 && score <= top) || m.Instance == self.Instance {
			continue
		}
		if slices.Contains(used, m.Domain) || slices.Contains(chosen, m.Instance) {
			continue
		}
		best, top = i, score
	}
	return best
}
