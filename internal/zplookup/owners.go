// Package zplookup finds the holders of the parts of a prompt. In each region
// the daemons with the most CPU cores own the parts, and rendezvous hashing
// assigns each part to one of them. All updates about a part are sent to its
// owners, and a daemon with a prompt that contains the part queries the owner in
// its own region. Traffic and work therefore grow with the number of prompts
// instead of the square of the number of daemons.
package zplookup

import (
	"cmp"
	"slices"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

// Owners maps each part to its owners. It is immutable.
type Owners struct {
	regions  []string
	byRegion map[string][]zpassign.Member // owners
}

const (
	// minOwners is the minimum number of owners in a region, so that the loss of one
	// loses the state of only some of the parts.
	minOwners = 3
	// daemonsPerOwner determines the number of owners in a large region. With few
	// owners, a daemon can batch its updates for one owner in one message; with
	// many, each owner has little load.
	daemonsPerOwner = 7
)

// NewOwners selects the daemons with the most CPU cores in each region as owners.
func NewOwners(daemons []zpassign.Member) *Owners {
	o := &Owners{byRegion: map[string][]zpassign.Member{}}
	for _, d := range daemons {
		if !slices.Contains(o.regions, d.Region) {
			o.regions = append(o.regions, d.Region)
		}
		o.byRegion[d.Region] = append(o.byRegion[d.Region], d)
	}
	for region, list := range o.byRegion {
		n := max(minOwners, len(list)/daemonsPerOwner)
		o.byRegion[region] = MostCores(list, n)
	}
	return o
}

// MostCores returns the n daemons with the most CPU cores. It breaks ties by a
// hash of the name.
func MostCores(daemons []zpassign.Member, n int) []zpassign.Member {
	list := slices.Clone(daemons)
	slices.SortFunc(list, func(a, b zpassign.Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(zpplace.RendezvousWeight(a.Name, ""), zpplace.RendezvousWeight(b.Name, "")))
	})
	return list[:min(n, len(list))]
}

// InRegion returns the owner of a part in a region. It returns false if the
// region has no daemons.
func (o *Owners) InRegion(region, part string) (owner zpassign.Member, ok bool) {
	var best uint64
	for _, d := range o.byRegion[region] {
		if w := zpplace.RendezvousWeight(d.Name, part); !ok || w > best {
			owner, best, ok = d, w, true
		}
	}
	return owner, ok
}

// First returns the owner that all daemons name first for a key, of whatever region. It
// returns false if there are no daemons.
func (o *Owners) First(key string) (owner zpassign.Member, ok bool) {
	var best uint64
	for _, d := range o.InAllRegions(key) {
		if w := zpplace.RendezvousWeight(d.Name, key); !ok || w > best {
			owner, best, ok = d, w, true
		}
	}
	return owner, ok
}

// Ranked returns the owners in each region, ordered by their weight for a key.
func (o *Owners) Ranked(key string) [][]zpassign.Member {
	var out [][]zpassign.Member
	for _, region := range o.regions {
		list := slices.Clone(o.byRegion[region])
		slices.SortFunc(list, func(a, b zpassign.Member) int {
			return cmp.Compare(zpplace.RendezvousWeight(b.Name, key), zpplace.RendezvousWeight(a.Name, key))
		})
		out = append(out, list)
	}
	return out
}

// InAllRegions returns the owners of a part, one per region.
func (o *Owners) InAllRegions(part string) []zpassign.Member {
	out := make([]zpassign.Member, 0, len(o.regions))
	for _, region := range o.regions {
		if owner, ok := o.InRegion(region, part); ok {
			out = append(out, owner)
		}
	}
	return out
}

// Group groups changes by the addresses of the owners of their parts. It omits
// the owner named self.
func (o *Owners) Group(changes []zpparts.Change, self string) map[string][]zpparts.Change {
	out := map[string][]zpparts.Change{}
	for _, c := range changes {
		for _, owner := range o.InAllRegions(c.Key.Part) {
			if owner.Name != self {
				out[owner.PeerAddress] = append(out[owner.PeerAddress], c)
			}
		}
	}
	return out
}
