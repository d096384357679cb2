package zpconfig

import (
	"slices"
	"sort"
	"strings"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// maxTombstones is the number of tombstones above which the older half is dropped.
const maxTombstones = 4096

// updateDerived updates the values that are derived from the changed objects. It
// creates new values instead of modifying the old ones, which readers may still
// use.
func (c *Cache) updateDerived(changed changedKinds) {
	if !changed.any {
		return
	}
	c.generation++
	if changed.members {
		c.pruneTombstones()
		c.rebuildMembers()
	}
	if changed.owners {
		c.rebuildOwners()
	}
	regions := c.regions
	if changed.manifest || changed.leaving {
		c.regions = regionsOf(c.manifest)
		c.leaving = DecodeLeaving(c.objects[LeavingObject].Body)
		c.rebuildServing()
	}
	if changed.members || changed.owners || !slices.Equal(regions, c.regions) {
		c.fleetGeneration++
	}
}

func (c *Cache) rebuildMembers() {
	c.members = nil
	for name, o := range c.objects {
		if o.Deleted || !strings.HasPrefix(name, zpassign.MemberPrefix) {
			continue
		}
		if m, err := zpassign.DecodeMember(o.Body); err == nil {
			c.members = append(c.members, m)
		}
	}
}

func (c *Cache) rebuildOwners() {
	c.owners = map[int]zpassign.Owner{}
	for name, o := range c.objects {
		if o.Deleted || !strings.HasPrefix(name, zpassign.GroupPrefix) {
			continue
		}
		g, err := zpassign.DecodeGroup(o.Body)
		if err != nil {
			continue
		}
		for p, owner := range g.Owners {
			c.owners[p] = owner
		}
	}
}

func (c *Cache) rebuildServing() {
	c.serving = map[string][]zpmanifest.Endpoint{}
	if c.manifest == nil {
		return
	}
	for _, e := range c.manifest.Endpoints {
		inService := c.manifest.InService(e) && !c.leaving[e.Name]
		if inService || zpmutant.Active(zpmutant.OutOfService) {
			c.serving[e.Pool] = append(c.serving[e.Pool], e)
		}
	}
}

func regionsOf(m *zpmanifest.Manifest) []string {
	if m == nil {
		return nil
	}
	seen := map[string]bool{}
	var out []string
	for _, d := range m.Domains {
		if !seen[d.Region] {
			seen[d.Region] = true
			out = append(out, d.Region)
		}
	}
	sort.Strings(out)
	return out
}

// pruneTombstones drops the older half of the tombstones if there are more than
// maxTombstones. Objects are deleted only long after they have ceased to have an
// effect (see obsoleteRetention in zpfleet), so a peer that misses a tombstone
// keeps a record without effect.
func (c *Cache) pruneTombstones() {
	var tombstones []zpobject.Object
	for _, o := range c.objects {
		if o.Deleted {
			tombstones = append(tombstones, o)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	sort.Slice(tombstones, func(i, j int) bool { return tombstones[i].Revision < tombstones[j].Revision })
	for _, o := range tombstones[:len(tombstones)/2] {
		delete(c.objects, o.Name)
	}
}
