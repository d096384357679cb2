// Package zpconfig holds the daemon's copy of the objects that the fleet relays
// from the platform (manifest, members, assignments). It tracks how long ago the
// copy was known to be current, and decides whether a daemon with a stale copy
// may accept new work.
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
	// Cache is the copy of the relayed objects, with values derived from them. It
	// is safe for concurrent use.
	Cache struct {
		// OnManifest, if set, is called after a new manifest was put in force or
		// was refused with err. It receives the manifest that is in force then.
		OnManifest func(m *zpmanifest.Manifest, err error)

		mu        sync.RWMutex
		objects   map[string]zpobject.Object // by name, with tombstones
		revision  int64                      // up to which the cache is complete
		currentAt time.Time                  // when the copy was last known to be current
		manifest  *zpmanifest.Manifest
		members   []zpassign.Member
		owners    map[int]zpassign.Owner
		regions   []string
		leaving   map[string]bool
		parts     map[string]*zpmanifest.Manifest  // parsed parts of the manifest in force, by name
		serving   map[string][]zpmanifest.Endpoint // endpoints that may receive new work, by pool

		generation      int64 // incremented with each change
		fleetGeneration int64 // incremented with each change of members, owners or regions
	}

	// changedKinds is the set of the kinds of objects that have changed.
	changedKinds struct {
		any, manifest, leaving, members, owners bool
	}

	// Delta is the changes that one daemon sends to another.
	Delta struct {
		Revision int64         // up to which the sender's cache is complete
		Age      time.Duration // time since the sender's copy was known to be current
		Objects  []zpobject.Object
	}
)

// Names and prefixes of names of relayed objects.
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

// Apply stores those objects of a listing that are newer than the cached ones,
// and records that the listing was current at currentAt. A cached object is never
// replaced by an older revision. The caller guarantees that the listing contains
// all changes since the cache's revision.
func (c *Cache) Apply(objects []zpobject.Object, revision int64, currentAt time.Time) {
	c.mu.Lock()
	if revision < c.revision && !zpmutant.Active(zpmutant.VersionOrder) {
		c.mu.Unlock()
		return // an older listing may contain objects that were deleted since
	}
	c.applyAndUnlock(objects, revision, currentAt)
}

// applyAndUnlock applies a listing. The caller must hold the lock; applyAndUnlock
// releases it before it calls OnManifest.
func (c *Cache) applyAndUnlock(objects []zpobject.Object, revision int64, currentAt time.Time) {
	var changed changedKinds
	for _, o := range objects {
		if o.Revision <= c.objects[o.Name].Revision && !zpmutant.Active(zpmutant.VersionOrder) {
			continue
		}
		c.objects[o.Name] = o
		changed.add(o.Name)
	}
	applied, manifestErr := false, error(nil)
	if changed.manifest {
		applied, manifestErr = c.applyManifest(c.objects[ManifestObject])
	}
	if revision > c.revision {
		c.revision = revision
	}
	if revision >= c.revision && currentAt.After(c.currentAt) {
		c.currentAt = currentAt
	}
	c.updateDerived(changed)
	m := c.manifest
	c.mu.Unlock()
	if c.OnManifest != nil && (applied || manifestErr != nil) {
		c.OnManifest(m, manifestErr)
	}
}

// add adds the kind of the named object.
func (k *changedKinds) add(name string) {
	k.any = true
	k.manifest = k.manifest || name == ManifestObject
	k.leaving = k.leaving || name == LeavingObject
	k.members = k.members || strings.HasPrefix(name, zpassign.MemberPrefix)
	k.owners = k.owners || strings.HasPrefix(name, zpassign.GroupPrefix)
}

// Replace applies a complete listing. Cached objects that it does not contain are
// treated as deleted.
func (c *Cache) Replace(objects []zpobject.Object, revision int64, currentAt time.Time) {
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
	}
	all := append([]zpobject.Object(nil), objects...)
	c.mu.RLock()
	for name, o := range c.objects {
		if !listed[name] && !o.Deleted && o.Revision < revision {
			all = append(all, zpobject.Object{Name: name, Revision: revision, Deleted: true})
		}
	}
	c.mu.RUnlock()
	c.Apply(all, revision, currentAt)
}

// Since returns the changes after a revision, to be sent to another daemon.
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

// Merge applies the changes that another daemon has sent. The age counts from
// askedAt, when that daemon was asked, so that the copy never appears to be newer
// than it is.
func (c *Cache) Merge(d Delta, askedAt time.Time) {
	c.mu.RLock()
	older := d.Revision < c.revision
	c.mu.RUnlock()
	if older || d.Revision == 0 {
		return
	}
	c.Apply(d.Objects, d.Revision, askedAt.Add(-d.Age))
}

// Manifest returns the manifest in force, or nil if there is none yet.
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

// View returns the state of the fleet for planning transfers. It returns false if
// there is no manifest yet.
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

// Serving returns the endpoints of a pool that may receive new work. Callers must
// not modify the result.
func (c *Cache) Serving(pool string) []zpmanifest.Endpoint {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.serving[pool]
}

// Object returns the named object from the cache, unless it was deleted.
func (c *Cache) Object(name string) (zpobject.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	o, ok := c.objects[name]
	return o, ok && !o.Deleted
}

// FleetGeneration returns a number that increases with each change of members,
// owners, or the regions of the manifest.
func (c *Cache) FleetGeneration() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.fleetGeneration
}

// Generation returns a number that increases with each change of the cache.
func (c *Cache) Generation() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.generation
}

// UnreferencedParts returns the part objects that the manifest in force does not
// name.
func (c *Cache) UnreferencedParts() []zpobject.Object {
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

// Age returns the time since the copy was last known to be current.
func (c *Cache) Age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.age(now)
}

func (c *Cache) age(now time.Time) time.Duration {
	if c.currentAt.IsZero() {
		return unknownAge
	}
	return now.Sub(c.currentAt)
}

// ApplyWritten stores an object that this daemon has just written, before it
// arrives by the relay. The cache's revision and age stay as they are, because the
// write says nothing about other objects.
func (c *Cache) ApplyWritten(o zpobject.Object) {
	c.mu.Lock()
	c.applyAndUnlock([]zpobject.Object{o}, 0, time.Time{})
}
