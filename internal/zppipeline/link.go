package zppipeline

import "context"

// requestLinkBytes asks the owner of the inter-region link to grant the bytes. It
// returns false if the owner does not respond.
func (p *Pipeline) requestLinkBytes(ctx context.Context, j *Job, bytes int64) bool {
	if len(j.Manifest.Links) == 0 {
		return false
	}
	link := j.Manifest.Links[0]
	owner, ok := p.Fleet.KeyOwner("link/"+link.Name, link.Regions[0])
	if !ok {
		return false
	}
	g, err := p.Exchange.ForMember(owner).GrantBytes(ctx, link.Name, bytes, j.Urgent)
	return err == nil && g.Bytes >= bytes
}
