// Package zpconfig keeps the daemon's copy of what the fleet relays from the
// platform (manifest, members, assignments), how fresh that copy is proved to
// be, and what follows when the proof is old.
package zpconfig

import (
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Cache is the relayed state. It is safe for concurrent use.
	Cache struct {
		OnManifest func(m *zpmanifest.Manifest, err error)

		mu       sync.RWMutex
		objects  map[string]zpobject.Object // with tombstones
		revision int64
		freshAt  time.Time
		manifest *zpmanifest.Manifest
		members  []zpassign.Member
		owners   map[int]zpassign.Owner
		regions  []string
		leaving  map[string]bool
		parts    map[string]*zpmanifest.Manifest  // parsed parts of the manifest in force
		serving  map[string][]zpmanifest.Endpoint // by pool

		generation      int64 // counts changes
		fleetGeneration int64 // counts changes of members, owners and regions
	}

	// changes tells which kinds of objects have changed.
	changes struct {
		any, head, leaving, members, owners bool
	}

	// Delta is what one daemon passes on to another.
	Delta struct {
		Revision int64
		Age      time.Duration // age of the sender's proof
		Objects  []zpobject.Object
	}
)

// Names of relayed objects.
const (
	RelayPrefix    = "relay/"
	ManifestObject = "relay/manifest"
	LeavingObject  = "relay/leaving"
	PartPrefix     = "relay/parts/"
)

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{objects: map[string]zpobject.Object{}, owners: map[int]zpassign.Owner{}}
}

// Apply takes over the objects of a listing that are newer than the cache's
// own and notes that the state was proved to be the newest at freshAt. An
// object never goes back to an older revision. The caller guarantees that the
// listing holds all changes since the cache's revision.
func (c *Cache) Apply(objects []zpobject.Object, revision int64, freshAt time.Time) {
	c.mu.Lock()
	if revision < c.revision && !zpmutant.Active(zpmutant.VersionOrder) {
		c.mu.Unlock()
		return // older than what is known; it may hold objects deleted since
	}
	c.apply(objects, revision, freshAt)
}

// apply does the work of Apply; it unlocks the cache.
func (c *Cache) apply(objects []zpobject.Object, revision int64, freshAt time.Time) {
	var seen changes
	for _, o := range objects {
		if o.Revision <= c.objects[o.Name].Revision && !zpmutant.Active(zpmutant.VersionOrder) {
			continue
		}
		c.objects[o.Name] = o
		seen.note(o.Name)
	}
	adopted, refused := false, error(nil)
	if seen.head {
		adopted, refused = c.adopt(c.objects[ManifestObject])
	}
	if revision > c.revision {
		c.revision = revision
	}
	if revision >= c.revision && freshAt.After(c.freshAt) {
		c.freshAt = freshAt
	}
	c.rebuild(seen)
	m := c.manifest
	c.mu.Unlock()
	if c.OnManifest != nil && (adopted || refused != nil) {
		c.OnManifest(m, refused)
	}
}

// note records what kind of object has changed.
func (s *changes) note(name string) {
	s.any = true
	s.head = s.head || name == ManifestObject
	s.leaving = s.leaving || name == LeavingObject
	s.members = s.members || strings.HasPrefix(name, zpassign.MemberPrefix)
	s.owners = s.owners || strings.HasPrefix(name, zpassign.GroupPrefix)
}

// Replace applies a complete listing: what it does not name is gone.
func (c *Cache) Replace(objects []zpobject.Object, revision int64, freshAt time.Time) {
	named := map[string]bool{}
	for _, o := range objects {
		named[o.Name] = true
	}
	all := append([]zpobject.Object(nil), objects...)
	c.mu.RLock()
	for name, o := range c.objects {
		if !named[name] && !o.Deleted && o.Revision < revision {
			all = append(all, zpobject.Object{Name: name, Revision: revision, Deleted: true})
		}
	}
	c.mu.RUnlock()
	c.Apply(all, revision, freshAt)
}

// Since returns what has changed after a revision, for another daemon.
func (c *Cache) Since(revision int64, now time.Time) Delta {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d := Delta{Revision: c.revision, Age: c.age(now)}
	if revision >= c.revision {
		return d
	}
	for _, o := range c.objects {
		if o.Revision > revision {
			d.Objects = append(d.Objects, o)
		}
	}
	return d
}

// Merge takes over what another daemon passed on. askedAt is when it was
// asked, so that the proof never seems younger than it is.
func (c *Cache) Merge(d Delta, askedAt time.Time) {
	c.mu.RLock()
	behind := d.Revision < c.revision
	c.mu.RUnlock()
	if behind || d.Revision == 0 {
		return
	}
	c.Apply(d.Objects, d.Revision, askedAt.Add(-d.Age))
}

// Manifest returns the manifest in force, or nil before the first.
func (c *Cache) Manifest() *zpmanifest.Manifest {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.manifest
}

// Members returns all known members.
func (c *Cache) Members() []zpassign.Member {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.members
}

// View returns what planning needs; ok is false before the first manifest.
func (c *Cache) View() (zpassign.View, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.manifest == nil {
		return zpassign.View{}, false
	}
	return zpassign.View{
		Partitions: c.manifest.Partitions,
		Regions:    c.regions,
		Members:    c.members,
		Owners:     c.owners,
	}, true
}

// InService reports whether an endpoint may receive new work: neither it nor
// its failure domain is taken out, and the platform does not list its VM as
// leaving.
func (c *Cache) InService(e zpmanifest.Endpoint) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.manifest != nil && (c.manifest.InService(e) && !c.leaving[e.Name] || zpmutant.Active(zpmutant.OutOfService))
}

// Serving returns the endpoints of a pool that may receive new work. The
// result must not be changed.
func (c *Cache) Serving(pool string) []zpmanifest.Endpoint {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.serving[pool]
}

// Object returns the cached object of that name.
func (c *Cache) Object(name string) (zpobject.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	o, ok := c.objects[name]
	return o, ok && !o.Deleted
}

// FleetGeneration returns a number that changes with each change of members,
// owners, or what the manifest says of regions and partitions.
func (c *Cache) FleetGeneration() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.fleetGeneration
}

// Generation returns a number that changes with each change of the cache.
func (c *Cache) Generation() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.generation
}

// SpareParts returns the parts that the manifest in force does not name.
func (c *Cache) SpareParts() []zpobject.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []zpobject.Object
	for name, o := range c.objects {
		part, ok := strings.CutPrefix(name, PartPrefix)
		if ok && !o.Deleted && c.parts[part] == nil {
			out = append(out, o)
		}
	}
	return out
}

// Revision returns the revision up to which the cache is complete.
func (c *Cache) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Age returns the age of the proof of freshness.
func (c *Cache) Age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.age(now)
}

func (c *Cache) age(now time.Time) time.Duration {
	if c.freshAt.IsZero() {
		return neverFresh
	}
	return now.Sub(c.freshAt)
}

// Learn takes over one object that this daemon has just written, ahead of the
// relay. It proves nothing of the rest.
func (c *Cache) Learn(o zpobject.Object) {
	c.mu.Lock()
	c.apply([]zpobject.Object{o}, 0, time.Time{})
}
