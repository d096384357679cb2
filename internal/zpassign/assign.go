package zpassign

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"github.com/zeebo/xxh3"
)

type (
	// Owner is the daemon instance that owns a partition.
	Owner struct {
		Instance string
		Epoch    int64 // increases with each change of owner, so that endpoints with fencing reject orders of earlier owners
	}

	// Group is the content of one assignment object: the owners of
	// PartitionsPerGroup consecutive partitions.
	Group struct {
		Index  int
		Owners map[int]Owner // by partition
	}

	// View is the state of the fleet from which a daemon plans transfers.
	View struct {
		Partitions int
		Regions    []string // all regions, sorted
		Members    []Member
		Owners     map[int]Owner
	}

	// Transfer is one change of a partition's owner.
	Transfer struct {
		Partition int
		From      Owner
		To        Owner
	}

	wireGroup struct {
		Owners map[string]wireOwner `json:"owners"`
	}
	wireOwner struct {
		Instance string `json:"instance"`
		Epoch    int64  `json:"epoch"`
	}
)

// PartitionsPerGroup is the number of partitions stored in one assignment
// object. It limits how many daemons contend for writing the object.
const PartitionsPerGroup = 32

// GroupPrefix is the prefix of the names of assignment objects.
const GroupPrefix = "relay/assign/"

// GroupObject returns the name of the assignment object of a group.
func GroupObject(group int) string { return fmt.Sprintf("%s%04d", GroupPrefix, group) }

// GroupOf returns the group of a partition.
func GroupOf(partition int) int { return partition / PartitionsPerGroup }

// EncodeGroup returns a group's owners as JSON.
func EncodeGroup(g Group) ([]byte, error) {
	w := wireGroup{Owners: map[string]wireOwner{}}
	for p, o := range g.Owners {
		w.Owners[strconv.Itoa(p)] = wireOwner(o)
	}
	return json.Marshal(w)
}

// DecodeGroup parses JSON written by EncodeGroup. The index is not part of it.
func DecodeGroup(data []byte) (Group, error) {
	var w wireGroup
	if err := json.Unmarshal(data, &w); err != nil {
		return Group{}, fmt.Errorf("decode assignment: %w", err)
	}
	g := Group{Owners: map[int]Owner{}}
	for key, o := range w.Owners {
		p, err := strconv.Atoi(key)
		if err != nil {
			return Group{}, fmt.Errorf("decode partition number of assignment: %w", err)
		}
		g.Owners[p] = Owner(o)
	}
	return g, nil
}

// HomeRegion returns the region whose daemons are preferred as owners of a
// partition.
func HomeRegion(partition int, regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return regions[partition%len(regions)]
}

// PartitionOf hashes a key to a partition whose home is the given region. If
// the region is unknown or is home to no partition, it may be any partition.
func PartitionOf(key, region string, partitions int, regions []string) int {
	h := xxh3.HashString(key)
	i := sort.SearchStrings(regions, region)
	if i >= len(regions) || regions[i] != region {
		return int(h % uint64(partitions))
	}
	perRegion := (partitions - i + len(regions) - 1) / len(regions)
	if perRegion <= 0 {
		return int(h % uint64(partitions))
	}
	return i + int(h%uint64(perRegion))*len(regions)
}

// PreferredOwner returns the member that should own a partition: the one with
// the highest rendezvous hashing score among the serving members of its home
// region, or among all serving members if the region has none.
func PreferredOwner(partition int, serving []Member, regions []string) (Member, bool) {
	home := HomeRegion(partition, regions)
	if best, ok := highestScore(partition, serving, home); ok {
		return best, true
	}
	return highestScore(partition, serving, "")
}

// Plan returns the transfers that the instance self should make now. It takes
// partitions that have no active owner and for which it is the preferred owner,
// and hands over its own partitions for which another member is preferred.
func Plan(v View, self string) []Transfer {
	serving := MembersInStates(v.Members, MemberServing)
	active := map[string]bool{}
	for _, m := range MembersInStates(v.Members, MemberServing, MemberLeaving) {
		active[m.Instance] = true
	}
	var transfers []Transfer
	for p := 0; p < v.Partitions; p++ {
		owner := v.Owners[p]
		if owner.Instance != self && active[owner.Instance] {
			continue // only its active owner may transfer it
		}
		preferred, ok := PreferredOwner(p, serving, v.Regions)
		if !ok {
			continue
		}
		if (preferred.Instance == self) != (owner.Instance == self) {
			to := Owner{Instance: preferred.Instance, Epoch: owner.Epoch + 1}
			transfers = append(transfers, Transfer{Partition: p, From: owner, To: to})
		}
	}
	return transfers
}

// highestScore returns the member with the highest rendezvous hashing score for
// a partition. An empty region stands for all regions.
func highestScore(partition int, members []Member, region string) (Member, bool) {
	var best Member
	var topScore uint64
	found := false
	for _, m := range members {
		if region != "" && m.Region != region {
			continue
		}
		score := xxh3.HashStringSeed(m.Instance, uint64(partition)+1)
		if !found || score > topScore {
			best, topScore, found = m, score, true
		}
	}
	return best, found
}
