package zpfleet

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
)

const (
	collectEvery = 30 * time.Second
	// goneRetention is how long the record of a gone member is kept, so that
	// every daemon has heard that it has gone.
	goneRetention = 10 * time.Minute
)

// collect deletes the records of members that have long gone. Only the owner of
// the first partition does so.
func (f *Fleet) collect(ctx context.Context) {
	owner, ok := f.OwnerOf(0)
	now := f.Clock()
	if !ok || owner.Instance != f.Self.Instance || !f.Own.Valid(now) {
		f.goneSince = nil
		return
	}
	seen := map[string]time.Time{}
	for _, m := range zpassign.Live(f.Cache.Members(), zpassign.MemberGone) {
		since, known := f.goneSince[m.Instance]
		if !known {
			since = now
		}
		if now.Sub(since) < goneRetention || !f.deleteMember(ctx, m) {
			seen[m.Instance] = since
		}
	}
	f.goneSince = seen
	f.collectParts(ctx, now)
}

// collectParts deletes parts that no manifest has named for long. A part that
// was written again meanwhile has another revision and is kept.
func (f *Fleet) collectParts(ctx context.Context, now time.Time) {
	seen := map[int64]time.Time{}
	for _, o := range f.Cache.SpareParts() {
		since, known := f.spareSince[o.Revision]
		if !known {
			since = now
		}
		if now.Sub(since) < goneRetention || f.API.Delete(ctx, o.Name, o.Revision) != nil {
			seen[o.Revision] = since
		}
	}
	f.spareSince = seen
}

// deleteMember deletes a gone member's lease and then its member record, and
// reports whether both are deleted.
func (f *Fleet) deleteMember(ctx context.Context, m zpassign.Member) bool {
	lease, err := f.API.Get(ctx, zplease.ObjectName(m.Instance))
	if err == nil && f.API.Delete(ctx, lease.Name, lease.Revision) != nil {
		return false
	}
	o, ok := f.Cache.Object(zpassign.MemberObject(m.Instance))
	return ok && f.API.Delete(ctx, o.Name, o.Revision) == nil
}
