package zpgateway

import "github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"

// regionsOf returns the regions that the current catalog allows a request. It may be newer
// than the catalog under which the request was admitted. What it no longer lists keeps the
// regions of the older one.
func (g *Gateway) regionsOf(j *job) zpcatalog.RegionFilter {
	f := zpcatalog.RegionFilter{Route: j.route.Regions}
	if j.workspace != nil {
		f.Workspace = j.workspace.Regions
	}
	current := g.Catalog()
	if current == j.catalog {
		return f
	}
	if r, ok := current.RouteOf(j.request.Host, j.request.Path); ok {
		f.Route = r.Regions
	}
	if w, ok := current.WorkspaceOf(j.request.APIKey); ok && j.workspace != nil {
		f.Workspace = w.Regions
	}
	return f
}
