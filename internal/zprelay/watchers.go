package zprelay

import (
	"cmp"
	"slices"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

const (
	// maxWatchersPerGroup is the number of daemons per group that watch the store if the
	// loss of one would leave no other to follow nearby.
	maxWatchersPerGroup = 2
	// minFollowDomainSize is the number of daemons in a failure domain from which they
	// follow each other. Smaller domains follow in their region.
	minFollowDomainSize = 5
	// minFollowRegionSize is the number of daemons in a region, and minFollowFleetSize that
	// in all, from which small failure domains follow watchers of another one. Below it, the
	// saved store calls do not outweigh that changes reach a daemon through another one.
	minFollowRegionSize = 6
	minFollowFleetSize  = 16
	// maxForeignWatchers is the number of watchers of other groups that a daemon follows when
	// its own ones fail: the store may turn away some daemons and serve the rest.
	maxForeignWatchers = 2
)

// groupOf returns the daemons among which some watch the store for the others: those of the
// failure domain, or those of the region if the domain is small, or none.
func groupOf(self zpassign.Member, daemons []zpassign.Member) []zpassign.Member {
	domain := filter(daemons, func(d zpassign.Member) bool { return d.Domain == self.Domain })
	if len(domain) >= minFollowDomainSize {
		return domain
	}
	region := filter(daemons, func(d zpassign.Member) bool { return d.Region == self.Region })
	if len(region) >= minFollowRegionSize && len(daemons) >= minFollowFleetSize {
		return region
	}
	return nil
}

// ownWatchers returns the daemons that watch the store for the group of self; none if it has
// no group and so watches the store itself.
func ownWatchers(self zpassign.Member, daemons []zpassign.Member) []zpassign.Member {
	return watchersOf(groupOf(self, daemons), daemons)
}

// watchersOf returns the daemons that watch the store for a group. One is enough for a
// failure domain beside others with watchers, as these stand in for it.
func watchersOf(group, daemons []zpassign.Member) []zpassign.Member {
	n := maxWatchersPerGroup
	isDomain := func(size int) bool { return size >= minFollowDomainSize }
	sizes, domains := map[string]int{}, 0
	for _, d := range daemons {
		sizes[d.Domain]++
	}
	for _, size := range sizes {
		if isDomain(size) {
			domains++
		}
	}
	if domains > 1 && len(group) > 0 && isDomain(sizes[group[0].Domain]) {
		n = 1
	}
	return zplookup.MostCores(group, n)
}

// foreignWatchers returns watchers of other groups, those of the same region first. Each
// daemon prefers others among them.
func foreignWatchers(self zpassign.Member, daemons []zpassign.Member) []zpassign.Member {
	seen := map[string]bool{} // by failure domain
	see := func(group []zpassign.Member) {
		for _, d := range group {
			seen[d.Domain] = true
		}
	}
	see(append(groupOf(self, daemons), self))
	var out []zpassign.Member
	for _, d := range daemons {
		if !seen[d.Domain] {
			group := groupOf(d, daemons)
			see(append(group, d))
			out = append(out, watchersOf(group, daemons)...)
		}
	}
	slices.SortFunc(out, func(a, b zpassign.Member) int {
		if isNear := a.Region == self.Region; isNear != (b.Region == self.Region) {
			if isNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(zpplace.RendezvousWeight(b.Name, self.Name), zpplace.RendezvousWeight(a.Name, self.Name))
	})
	return out[:min(maxForeignWatchers, len(out))]
}

func filter(daemons []zpassign.Member, keep func(d zpassign.Member) bool) []zpassign.Member {
	var out []zpassign.Member
	for _, d := range daemons {
		if keep(d) {
			out = append(out, d)
		}
	}
	return out
}
