package zpconfig

import (
	"encoding/json"
	"sort"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// EncodeLeaving writes the names of the VMs that the platform lists as
// leaving, for the relay.
func EncodeLeaving(vms []zpobject.VM) ([]byte, error) {
	names := []string{}
	for _, v := range vms {
		if v.Leaving {
			names = append(names, v.Name)
		}
	}
	sort.Strings(names)
	return json.Marshal(names)
}

// DecodeLeaving reads what EncodeLeaving wrote; unreadable text names no VM.
func DecodeLeaving(text []byte) map[string]bool {
	var names []string
	if err := json.Unmarshal(text, &names); err != nil {
		return nil
	}
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}
