package zpcatalog

import "slices"

// RegionFilter restricts a request to the regions that both its route and its
// workspace allow. An empty list allows all regions.
type RegionFilter struct {
	Route     []string
	Workspace []string
}

// Allows reports whether a region is allowed.
func (f RegionFilter) Allows(region string) bool {
	return (len(f.Route) == 0 || slices.Contains(f.Route, region)) &&
		(len(f.Workspace) == 0 || slices.Contains(f.Workspace, region))
}
