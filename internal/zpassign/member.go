// Package zpassign assigns partitions to daemons. It defines the stored records
// of members and assignments, chooses the preferred owner of each partition and
// the monitors of each lease, and plans the transfers that a daemon should make.
package zpassign

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

type (
	// Member is the record of one daemon instance.
	Member struct {
		Instance      string
		Name          string
		PeerAddress   string // IP:PORT at which it accepts calls of other daemons
		CallerAddress string // IP:PORT at which it accepts requests of callers
		Region        string
		Domain        string
		State         MemberState
		Cores         float64 // CPU cores available on its VM; 0 if unknown
		// PeerVersion is the version of the messages between daemons that it speaks; 0: its build
		// does not tell.
		PeerVersion int
	}

	// MemberState is the lifecycle state of an instance.
	MemberState string

	wireMember struct {
		Instance    string  `json:"instance"`
		Name        string  `json:"name"`
		Address     string  `json:"address"`
		Callers     string  `json:"callers"`
		Region      string  `json:"region"`
		Domain      string  `json:"failure_domain"`
		State       string  `json:"state"`
		Cores       float64 `json:"cores,omitempty"`
		PeerVersion int     `json:"peer_version,omitempty"`
	}
)

// Lifecycle states of an instance.
const (
	MemberServing MemberState = "serving"
	MemberLeaving MemberState = "leaving" // draining; receives no partitions
	MemberGone    MemberState = "gone"    // stopped, or its lease was ended
)

// MemberPrefix is the prefix of the names of member objects.
const MemberPrefix = "relay/members/"

// MemberObject returns the name of an instance's member object.
func MemberObject(instance string) string { return MemberPrefix + instance }

// EncodeMember returns a member record as JSON.
func EncodeMember(m Member) ([]byte, error) {
	return json.Marshal(wireMember{
		Instance: m.Instance, Name: m.Name, Address: m.PeerAddress, Callers: m.CallerAddress,
		Region: m.Region, Domain: m.Domain, State: string(m.State), Cores: m.Cores, PeerVersion: m.PeerVersion,
	})
}

// DecodeMember parses a member record written by EncodeMember.
func DecodeMember(data []byte) (Member, error) {
	var w wireMember
	if err := json.Unmarshal(data, &w); err != nil {
		return Member{}, fmt.Errorf("decode member: %w", err)
	}
	return Member{
		Instance: w.Instance, Name: w.Name, PeerAddress: w.Address, CallerAddress: w.Callers,
		Region: w.Region, Domain: w.Domain, State: MemberState(w.State), Cores: w.Cores, PeerVersion: w.PeerVersion,
	}, nil
}

// MembersInStates returns the members that are in one of the given states, sorted by
// instance.
func MembersInStates(members []Member, states ...MemberState) []Member {
	var out []Member
	for _, m := range members {
		for _, s := range states {
			if m.State == s {
				out = append(out, m)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return strings.Compare(out[i].Instance, out[j].Instance) < 0 })
	return out
}
