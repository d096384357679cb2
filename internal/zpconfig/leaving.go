package zpconfig

import (
	"encoding/json"
	"sort"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// EncodeLeaving returns the names of the VMs that the platform lists as leaving
// as JSON, for the relayed object LeavingObject.
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

// DecodeLeaving parses the names written by EncodeLeaving. If data is invalid, no
// VM counts as leaving.
func DecodeLeaving(data []byte) map[string]bool {
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		return nil
	}
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}
