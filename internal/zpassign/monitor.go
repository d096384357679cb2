package zpassign

import (
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// MonitorsPerLease is how many instances may end a lease.
const MonitorsPerLease = 2

// MonitorsOf chooses the instances that may end the lease of self: those with
// the highest rendezvous scores, each in a failure domain of its own and
// outside self's, as far as there are enough domains.
func MonitorsOf(self Member, members []Member) []string {
	ranked := rank(self, members)
	used := map[string]bool{self.Domain: true}
	var out []string
	for _, m := range ranked {
		if len(out) < MonitorsPerLease && !used[m.Domain] {
			used[m.Domain] = true
			out = append(out, m.Instance)
		}
	}
	for _, m := range ranked {
		if len(out) < MonitorsPerLease && !slices.Contains(out, m.Instance) {
			out = append(out, m.Instance)
		}
	}
	sort.Strings(out)
	return out
}

func rank(self Member, members []Member) []Member {
	var out []Member
	for _, m := range Live(members, MemberServing) {
		if m.Instance != self.Instance {
			out = append(out, m)
		}
	}
	seed := xxh3.HashString(self.Instance)
	sort.SliceStable(out, func(i, j int) bool {
		return xxh3.HashStringSeed(out[i].Instance, seed) > xxh3.HashStringSeed(out[j].Instance, seed)
	})
	return out
}
