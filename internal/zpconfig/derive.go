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

const maxTombstones = 4096

// rebuild derives what the changed objects bear on. It makes new values, so
// that readers may keep the old ones.
func (c *Cache) rebuild(seen changes) {
	if !seen.any {
		return
	}
	c.generation++
	if seen.members {
		c.forgetDeleted()
		c.rebuildMembers()
	}
	if seen.owners {
		c.rebuildOwners()
	}
	regions := c.regions
	if seen.head || seen.leaving {
		c.regions = regionsOf(c.manifest)
		c.leaving = DecodeLeaving(c.objects[LeavingObject].Body)
		c.rebuildServing()
	}
	if seen.members || seen.owners || !slices.Equal(regions, c.regions) {
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
		in := c.manifest.InService(e) && !c.leaving[e.Name]
		if in || zpmutant.Active(zpmutant.OutOfService) {
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

// forgetDeleted drops the oldest tombstones. Only members are ever deleted, and
// only long after they have gone, so that a peer that misses a tombstone keeps
// a record without effect.
func (c *Cache) forgetDeleted() {
	var deleted []zpobject.Object
	for _, o := range c.objects {
		if o.Deleted {
			deleted = append(deleted, o)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Revision < deleted[j].Revision })
	for _, o := range deleted[:len(deleted)/2] {
		delete(c.objects, o.Name)
	}
}
