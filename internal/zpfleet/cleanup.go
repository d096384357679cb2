package zpfleet

import (
	"context"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
)

const (
	cleanupPeriod = 30 * time.Second
	// obsoleteRetention is how long the record of a gone member is kept, so that
	// every daemon has received its state before the record is deleted. It
	// applies to unreferenced parts of manifests, too.
	obsoleteRetention = 10 * time.Minute
)

// cleanUp deletes the records of members that have been gone for
// obsoleteRetention, and unreferenced parts of manifests. Only the owner of the
// first partition does so.
func (f *Fleet) cleanUp(ctx context.Context) {
	owner, ok := f.OwnerOf(0)
	now := f.Clock()
	if !ok || owner.Instance != f.Self.Instance || !f.Lease.Valid(now) {
		f.goneSince = nil
		return
	}
	remaining := map[string]time.Time{}
	for _, m := range zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberGone) {
		since, known := f.goneSince[m.Instance]
		if !known {
			since = now
		}
		if now.Sub(since) < obsoleteRetention || !f.deleteMember(ctx, m) {
			remaining[m.Instance] = since
		}
	}
	f.goneSince = remaining
	f.cleanUpParts(ctx, now)
}

// cleanUpParts deletes parts that the manifest in force has not named for
// obsoleteRetention. A part that was written again in the meantime has another
// revision and is kept.
func (f *Fleet) cleanUpParts(ctx context.Context, now time.Time) {
	remaining := map[int64]time.Time{}
	for _, o := range f.Cache.UnreferencedParts() {
		since, known := f.unreferencedSince[o.Revision]
		if !known {
			since = now
		}
		if now.Sub(since) < obsoleteRetention || f.API.Delete(ctx, o.Name, o.Revision) != nil {
			remaining[o.Revision] = since
		}
	}
	f.unreferencedSince = remaining
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
