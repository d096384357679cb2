// Package zpassign decides which daemon owns which partition: the records of
// members and assignments, the preferred owner of each partition, and the
// changes that one daemon should make.
package zpassign

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

type (
	// Member is one daemon instance as the fleet knows it.
	Member struct {
		Instance string
		Name     string
		Address  string // IP:PORT for peers
		Callers  string // IP:PORT for callers
		Region   string
		Domain   string
		State    MemberState
		Cores    float64 // of processor that the VM gives it; zero: unknown
	}

	// MemberState is the stage of an instance's life.
	MemberState string

	wireMember struct {
		Instance string  `json:"instance"`
		Name     string  `json:"name"`
		Address  string  `json:"address"`
		Callers  string  `json:"callers"`
		Region   string  `json:"region"`
		Domain   string  `json:"failure_domain"`
		State    string  `json:"state"`
		Cores    float64 `json:"cores,omitempty"`
	}
)

// Stages of an instance's life.
const (
	MemberServing MemberState = "serving"
	MemberLeaving MemberState = "leaving" // drains; owns nothing new
	MemberGone    MemberState = "gone"    // stopped, or its lease was ended
)

// MemberPrefix is the prefix of member objects.
const MemberPrefix = "relay/members/"

// MemberObject returns the name of an instance's member object.
func MemberObject(instance string) string { return MemberPrefix + instance }

// EncodeMember writes a member record.
func EncodeMember(m Member) ([]byte, error) {
	return json.Marshal(wireMember{
		Instance: m.Instance, Name: m.Name, Address: m.Address, Callers: m.Callers,
		Region: m.Region, Domain: m.Domain, State: string(m.State), Cores: m.Cores,
	})
}

// DecodeMember reads a member record.
func DecodeMember(text []byte) (Member, error) {
	var w wireMember
	if err := json.Unmarshal(text, &w); err != nil {
		return Member{}, fmt.Errorf("decode member: %w", err)
	}
	return Member{
		Instance: w.Instance, Name: w.Name, Address: w.Address, Callers: w.Callers,
		Region: w.Region, Domain: w.Domain, State: MemberState(w.State), Cores: w.Cores,
	}, nil
}

// Live returns the members in the given states, sorted by instance.
func Live(members []Member, states ...MemberState) []Member {
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
