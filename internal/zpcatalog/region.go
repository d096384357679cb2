package zpcatalog

import (
	"slices"
	"strings"
)

// RegionFilter restricts a request to the regions that both its route and its
// workspace allow. An empty list allows all regions.
type RegionFilter struct {
	Route     []string
	Workspace []string
	// Admitted are further lists that bind a request that was admitted under an older
	// catalog, in which it belonged to another workspace or pool.
	Admitted [][]string
}

// Allows reports whether a region is allowed.
func (f RegionFilter) Allows(region string) bool {
	for _, list := range f.Admitted {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return (len(f.Route) == 0 || slices.Contains(f.Route, region)) &&
		(len(f.Workspace) == 0 || slices.Contains(f.Workspace, region))
}

// IsEmpty reports whether all regions are allowed.
func (f RegionFilter) IsEmpty() bool {
	isRestricted := func(list []string) bool { return len(list) > 0 }
	return len(f.Route) == 0 && len(f.Workspace) == 0 && !slices.ContainsFunc(f.Admitted, isRestricted)
}

// String returns the allowed regions in sorted order, separated by "+". It is empty if all
// are allowed, and "none" if route and workspace have no region in common.
func (f RegionFilter) String() string {
	if f.IsEmpty() {
		return ""
	}
	var out []string
	for _, region := range slices.Concat(slices.Concat(f.Admitted...), f.Route, f.Workspace) {
		if f.Allows(region) {
			out = append(out, region)
		}
	}
	if len(out) == 0 {
		return "none"
	}
	slices.Sort(out)
	return strings.Join(slices.Compact(out), "+")
}
