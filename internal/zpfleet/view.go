package zpfleet

import (
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/internal/zpowner"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// Mode returns the mode that results from the age of the configuration and from
// the last contacts with other members.
func (f *Fleet) Mode(now time.Time) zpconfig.Mode {
	return f.Freshness.Decide(f.Cache.Age(now), f.Cache.Members(), f.Contacts, now)
}

// AcceptsWork reports whether this daemon may accept new work at now.
func (f *Fleet) AcceptsWork(now time.Time) bool {
	return f.Cache.Manifest() != nil && f.Freshness.AcceptsWork(f.Mode(now))
}

// HoldsLease reports whether this daemon's lease is valid at now, so that it may
// act as an owner.
func (f *Fleet) HoldsLease(now time.Time) bool { return f.Lease.Valid(now) }

// Assigned returns the endpoints that are in service and belong to partitions
// assigned to this daemon. The result is computed again only after a change of
// the cache. Callers must not modify it.
func (f *Fleet) Assigned() map[string]zpowner.Assignment {
	generation := f.Cache.Generation()
	f.mu.Lock()
	defer f.mu.Unlock()
	if generation != f.assignedGeneration {
		f.assigned = f.computeAssigned()
		f.assignedGeneration = generation
	}
	return f.assigned
}

func (f *Fleet) computeAssigned() map[string]zpowner.Assignment {
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

// Peers returns the addresses of all members that have not gone, this daemon
// included, by instance.
func (f *Fleet) Peers() map[string]string {
	out := map[string]string{f.Self.Instance: f.Self.PeerAddress}
	for _, m := range zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberServing, zpassign.MemberLeaving) {
		out[m.Instance] = m.PeerAddress
	}
	return out
}

// HasOtherServingMember reports whether another serving member is known.
func (f *Fleet) HasOtherServingMember() bool {
	for _, m := range zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberServing) {
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

// OwnerOf returns the owner of a partition. It returns false if the owner is
// unknown or has gone.
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

// OwnedPartitions returns the number of partitions assigned to this daemon.
func (f *Fleet) OwnedPartitions() int {
	v, _ := f.Cache.View()
	n := 0
	for _, o := range v.Owners {
		if o.Instance == f.Self.Instance {
			n++
		}
	}
	return n
}

// EndpointPartition returns the partition of an endpoint. The partition's home is
// the endpoint's region, so that the owner is close to the endpoint.
func EndpointPartition(m *zpmanifest.Manifest, v zpassign.View, e zpmanifest.Endpoint) int {
	return zpassign.PartitionOf("endpoint/"+e.Name, m.Region(e.Domain), v.Partitions, v.Regions)
}

var _ zpowner.Fleet = (*Fleet)(nil)
