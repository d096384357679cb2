package zpfleet

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpowner"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// Mode returns by the freshness rule whether new work may be taken.
func (f *Fleet) Mode(now time.Time) zpconfig.Mode {
	return f.Judge.Decide(f.Cache.Age(now), f.Cache.Members(), f.Contacts, now)
}

// Serves reports whether new work may be taken at now.
func (f *Fleet) Serves(now time.Time) bool {
	return f.Cache.Manifest() != nil && f.Judge.Serves(f.Mode(now))
}

// HoldsLease reports whether this daemon may act as an owner at now.
func (f *Fleet) HoldsLease(now time.Time) bool { return f.Own.Valid(now) }

// Assigned returns the endpoints in service of the partitions assigned to this
// daemon. It is worked out anew only when the cache has changed; the result
// must not be changed.
func (f *Fleet) Assigned() map[string]zpowner.Assignment {
	generation := f.Cache.Generation()
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.assignedAt {
		f.assigned = f.assignedNow()
		f.assignedAt = generation
	}
	return f.assigned
}

func (f *Fleet) assignedNow() map[string]zpowner.Assignment {
	out := map[string]zpowner.Assignment{}
	v, ok := f.Cache.View()
	m := f.Cache.Manifest()
	if !ok {
		return out
	}
	for _, e := range m.Endpoints {
		owner := v.Owners[EndpointPartition(m, v, e)]
		if owner.Instance == f.Self.Instance && f.Cache.InService(e) {
			out[e.Name] = zpowner.Assignment{
				Endpoint: e, Epoch: owner.Epoch, FirstOwner: owner.Epoch == 1, Version: m.PoolVersion(e.Pool),
			}
		}
	}
	return out
}

// Peers returns the addresses of all present members, this daemon included.
func (f *Fleet) Peers() map[string]string {
	out := map[string]string{f.Self.Instance: f.Self.Address}
	for _, m := range zpassign.Live(f.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		out[m.Instance] = m.Address
	}
	return out
}

// Others reports whether another serving member is known.
func (f *Fleet) Others() bool {
	for _, m := range zpassign.Live(f.Cache.Members(), zpassign.MemberServing) {
		if m.Instance != f.Self.Instance {
			return true
		}
	}
	return false
}

// Present reports whether an instance is a member that has not gone.
func (f *Fleet) Present(instance string) bool {
	_, ok := f.Peers()[instance]
	return ok
}

// OwnerOf returns the owner of a partition, if it is a present member.
func (f *Fleet) OwnerOf(partition int) (zpassign.Member, bool) {
	v, ok := f.Cache.View()
	if !ok {
		return zpassign.Member{}, false
	}
	instance := v.Owners[partition].Instance
	if instance == f.Self.Instance {
		return f.Self, true
	}
	for _, m := range v.Members {
		if m.Instance == instance && m.State != zpassign.MemberGone {
			return m, true
		}
	}
	return zpassign.Member{}, false
}

// EndpointOwner returns the owner of an endpoint.
func (f *Fleet) EndpointOwner(e zpmanifest.Endpoint) (zpassign.Member, bool) {
	v, ok := f.Cache.View()
	if !ok {
		return zpassign.Member{}, false
	}
	return f.OwnerOf(EndpointPartition(f.Cache.Manifest(), v, e))
}

// KeyOwner returns the owner of a key's partition in a region.
func (f *Fleet) KeyOwner(key, region string) (zpassign.Member, bool) {
	v, ok := f.Cache.View()
	if !ok {
		return zpassign.Member{}, false
	}
	return f.OwnerOf(zpassign.PartitionOf(key, region, v.Partitions, v.Regions))
}

// Owned returns how many partitions are assigned to this daemon.
func (f *Fleet) Owned() int {
	v, _ := f.Cache.View()
	n := 0
	for _, o := range v.Owners {
		if o.Instance == f.Self.Instance {
			n++
		}
	}
	return n
}

// EndpointPartition returns the partition of an endpoint. Its home is the
// endpoint's region, so that the owner is near.
func EndpointPartition(m *zpmanifest.Manifest, v zpassign.View, e zpmanifest.Endpoint) int {
	return zpassign.PartitionOf("endpoint/"+e.Name, m.Region(e.Domain), v.Partitions, v.Regions)
}

var _ zpowner.Fleet = (*Fleet)(nil)
