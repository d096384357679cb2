package zpgateway

import (
	"errors"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
)

var errChoiceRevoked = errors.New("the endpoint, its region or the cache salt is no longer allowed, or this is not confirmed")

// checkRegionsConfirmed returns an error if the regions of a request are restricted and may
// have changed during a pause of the process.
func (g *Gateway) checkRegionsConfirmed(j *job) error {
	if g.IsCatalogConfirmed() || g.regionsOf(j).IsEmpty() {
		return nil
	}
	return errRegionUnconfirmed.WithRetryAfter(retryAfterUnavailable)
}

// checkChoice returns an error if the chosen endpoint is not, or may no longer be, in a
// region that the request is allowed, or if its salt no longer holds: other requests could
// then move its parts to other regions, or use them although a workspace is isolated.
func (g *Gateway) checkChoice(j *job, c choice) error {
	regions := g.regionsOf(j)
	hasOtherSalt := c.salt != "" && c.salt != g.saltFor(j, c.weights, regions)
	if hasOtherSalt || !regions.Allows(c.endpoint.Region) || g.checkRegionsConfirmed(j) != nil {
		return errChoiceRevoked
	}
	return nil
}

// regionsOf returns the regions that the current catalog allows a request. It may be newer
// than the catalog under which the request was admitted. What it no longer lists keeps the
// regions of the older one. The workspace of a key counts also on routes that need none.
func (g *Gateway) regionsOf(j *job) zpcatalog.RegionFilter {
	f := zpcatalog.RegionFilter{Route: j.route.Regions}
	current := g.Catalog()
	if r, ok := current.RouteOf(j.request.Host, j.request.Path); ok {
		f.Route = r.Regions
		if !r.HasPool(j.pool.Name) {
			// No catalog allows the old pool in the new regions.
			f.Admitted = append(f.Admitted, j.route.Regions)
		}
	}
	w, hasKey := current.WorkspaceOf(j.request.APIKey)
	if hasKey {
		f.Workspace = w.Regions
	}
	admitted, ok := j.catalog.WorkspaceOf(j.request.APIKey)
	if !ok || hasKey && w.Name == admitted.Name {
		return f
	}
	// The key was revoked or moved, but the request is sent for the workspace that had it.
	if now, ok := current.WorkspaceNamed(admitted.Name); ok {
		admitted = now
	}
	f.Admitted = append(f.Admitted, admitted.Regions)
	return f
}
