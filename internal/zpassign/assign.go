package zpassign

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"

	"github.com/zeebo/xxh3"
)

type (
	// Owner is the owner of one partition.
	Owner struct {
		Instance string
		Epoch    int64 // rises with each change of owner; the fencing number
	}

	// Group is the value of one assignment object: the owners of
	// PartitionsPerGroup partitions in a row.
	Group struct {
		Index  int
		Owners map[int]Owner // by partition
	}

	// View is what a daemon knows when it plans.
	View struct {
		Partitions int
		Regions    []string // all regions, sorted
		Members    []Member
		Owners     map[int]Owner
	}

	// Step is one change of owner that a daemon should make.
	Step struct {
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

// PartitionsPerGroup bounds how many writers meet on one assignment object.
const PartitionsPerGroup = 32

// GroupPrefix is the prefix of assignment objects.
const GroupPrefix = "relay/assign/"

// GroupObject returns the name of the assignment object of a group.
func GroupObject(group int) string { return fmt.Sprintf("%s%04d", GroupPrefix, group) }

// GroupOf returns the group of a partition.
func GroupOf(partition int) int { return partition / PartitionsPerGroup }

// EncodeGroup writes a group.
func EncodeGroup(g Group) ([]byte, error) {
	w := wireGroup{Owners: map[string]wireOwner{}}
	for p, o := range g.Owners {
		w.Owners[strconv.Itoa(p)] = wireOwner(o)
	}
	return json.Marshal(w)
}

// DecodeGroup reads a group.
func DecodeGroup(text []byte) (Group, error) {
	var w wireGroup
	if err := json.Unmarshal(text, &w); err != nil {
		return Group{}, fmt.Errorf("decode assignment: %w", err)
	}
	g := Group{Owners: map[int]Owner{}}
	for key, o := range w.Owners {
		p, err := strconv.Atoi(key)
		if err != nil {
			return Group{}, fmt.Errorf("decode assignment: %w", err)
		}
		g.Owners[p] = Owner(o)
	}
	return g, nil
}

// HomeRegion returns the region whose daemons should own a partition.
func HomeRegion(partition int, regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return regions[partition%len(regions)]
}

// PartitionOf maps a key to a partition whose home is the given region, or to
// any partition if the region is unknown.
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

// Preferred returns the member that should own a partition: the one with the
// highest rendezvous score among the serving members of its home region, else
// among all serving members.
func Preferred(partition int, serving []Member, regions []string) (Member, bool) {
	home := HomeRegion(partition, regions)
	if best, ok := highest(partition, serving, home); ok {
		return best, true
	}
	return highest(partition, serving, "")
}

// Plan returns the changes that the daemon self should make now: partitions
// without a live owner that it is preferred for, and partitions of its own
// that another member is preferred for.
func Plan(v View, self string) []Step {
	serving := Live(v.Members, MemberServing)
	present := map[string]bool{}
	for _, m := range Live(v.Members, MemberServing, MemberLeaving) {
		present[m.Instance] = true
	}
	var steps []Step
	for p := 0; p < v.Partitions; p++ {
		owner := v.Owners[p]
		if owner.Instance != self && present[owner.Instance] {
			continue // another's to keep or to give
		}
		best, ok := Preferred(p, serving, v.Regions)
		if !ok {
			continue
		}
		if (best.Instance == self) != (owner.Instance == self) {
			to := Owner{Instance: best.Instance, Epoch: owner.Epoch + 1}
			steps = append(steps, Step{Partition: p, From: owner, To: to})
		}
	}
	return steps
}

func highest(partition int, members []Member, region string) (Member, bool) {
	var best Member
	var top uint64
	found := false
	for _, m := range members {
		if region != "" && m.Region != region {
			continue
		}
		score := xxh3.HashStringSeed(m.Instance, uint64(partition)+1)
		if !found || score > top {
			best, top, found = m, score, true
		}
	}
	return best, found
}
