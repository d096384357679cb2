// Package zplookup finds the holders of the parts of a prompt. In each region
// the strongest daemons own the parts, and a rendezvous hash among them names
// the owner of each: all news of a part go to its owners, and whoever has a
// prompt with it asks the owner of its own region. Bytes and work then grow with
// the prompts, and not with the square of the daemons.
package zplookup

import (
	"cmp"
	"slices"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

// Owners names the owner of each part. It is not changed after NewOwners.
type Owners struct {
	regions []string
	owners  map[string][]zpassign.Member // by region
}

const (
	// minimalOwners is how many daemons of a region share its parts at least, so
	// that the loss of one costs a part of the knowledge only.
	minimalOwners = 3
	// daemonsPerOwner bounds the owners of a large region. With few owners the news
	// of one daemon for one owner come together in one message; with many, none has
	// much to do.
	daemonsPerOwner = 7
)

// NewOwners chooses the owners among daemons: in each region those with the most
// processor.
func NewOwners(daemons []zpassign.Member) *Owners {
	o := &Owners{owners: map[string][]zpassign.Member{}}
	for _, d := range daemons {
		if !slices.Contains(o.regions, d.Region) {
			o.regions = append(o.regions, d.Region)
		}
		o.owners[d.Region] = append(o.owners[d.Region], d)
	}
	for region, list := range o.owners {
		n := max(minimalOwners, len(list)/daemonsPerOwner)
		o.owners[region] = Strongest(list, n)
	}
	return o
}

// Strongest returns the n daemons with the most processor, those of equal
// strength by name.
func Strongest(daemons []zpassign.Member, n int) []zpassign.Member {
	list := slices.Clone(daemons)
	slices.SortFunc(list, func(a, b zpassign.Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(zpplace.Weigh(a.Name, ""), zpplace.Weigh(b.Name, "")))
	})
	return list[:min(n, len(list))]
}

// In returns the owner of a part in a region; ok is false if no daemon is there.
func (o *Owners) In(region, part string) (owner zpassign.Member, ok bool) {
	var best uint64
	for _, d := range o.owners[region] {
		if w := zpplace.Weigh(d.Name, part); !ok || w > best {
			owner, best, ok = d, w, true
		}
	}
	return owner, ok
}

// Of returns the owners of a part, one in each region.
func (o *Owners) Of(part string) []zpassign.Member {
	out := make([]zpassign.Member, 0, len(o.regions))
	for _, region := range o.regions {
		if owner, ok := o.In(region, part); ok {
			out = append(out, owner)
		}
	}
	return out
}

// Group groups changes by the address of each owner of their parts. Changes that
// this daemon owns itself are left out.
func (o *Owners) Group(changes []zpparts.Change, self string) map[string][]zpparts.Change {
	out := map[string][]zpparts.Change{}
	for _, c := range changes {
		for _, owner := range o.Of(c.Key.Part) {
			if owner.Name != self {
				out[owner.Address] = append(out[owner.Address], c)
			}
		}
	}
	return out
}
