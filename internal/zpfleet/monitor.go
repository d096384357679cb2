package zpfleet

import (
	"context"
	"slices"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// monitor reads the leases that this daemon may have to end, and ends those
// that have lapsed.
func (f *Fleet) monitor(ctx context.Context) {
	for _, m := range f.watched() {
		f.watchLease(ctx, m)
	}
}

// watched returns the members whose leases this daemon monitors. The choice is
// made anew only when the members have changed.
func (f *Fleet) watched() []zpassign.Member {
	generation := f.Cache.FleetGeneration()
	if generation == f.watchedAt {
		return f.watchedNow
	}
	members := f.Cache.Members()
	serving := zpassign.Live(members, zpassign.MemberServing)
	f.watchedNow = nil
	for _, m := range zpassign.Live(members, zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Instance != f.Self.Instance && slices.Contains(zpassign.MonitorsOf(m, serving), f.Self.Instance) {
			f.watchedNow = append(f.watchedNow, m)
		}
	}
	f.watchedAt = generation
	return f.watchedNow
}

// vmAbsent reports whether the platform's list of VMs lacks a member's VM. An
// empty or unreadable list says nothing.
func (f *Fleet) vmAbsent(ctx context.Context, m zpassign.Member) bool {
	vms, err := f.API.VMs(ctx)
	if err != nil || len(vms) == 0 {
		return false
	}
	return !slices.ContainsFunc(vms, func(v zpobject.VM) bool { return v.Name == m.Name })
}

func (f *Fleet) watchLease(ctx context.Context, m zpassign.Member) {
	o, err := f.API.Get(ctx, zplease.ObjectName(m.Instance))
	if err != nil {
		return
	}
	record, err := zplease.Decode(o.Body)
	if err != nil {
		return
	}
	now := f.Clock()
	seen := f.observations[m.Instance]
	if seen == nil {
		seen = &zplease.ObservedLease{Margin: f.Timing.Margin}
		f.observations[m.Instance] = seen
	}
	seen.Observe(o.Revision, record.Duration, now)
	if record.State == zplease.StateEnded {
		f.markGone(ctx, m)
		return
	}
	if !seen.Expired(now) {
		return
	}
	// A daemon that is not on record as a monitor ends the lease only of a VM
	// that the platform no longer lists.
	mayEnd := slices.Contains(record.Monitors, f.Self.Instance) || f.vmAbsent(ctx, m)
	if mayEnd && f.Promises.BeginEnding(m.Instance, now) {
		f.endLease(ctx, m, record, o.Revision)
	}
}

// endLease ends a lapsed lease by conditional update, which fails if its
// holder has renewed it since it was read.
func (f *Fleet) endLease(ctx context.Context, m zpassign.Member, record zplease.Record, revision int64) {
	record.State = zplease.StateEnded
	body, err := zplease.Encode(record)
	if err != nil {
		return
	}
	_, err = f.API.Put(ctx, zplease.ObjectName(m.Instance), body, revision)
	if err != nil {
		if !zpobject.IsOutcomeUnknown(err) {
			f.Promises.CancelEnding(m.Instance)
		}
		return
	}
	f.Log.Emit(zplog.MemberEnded, zplog.Fields{"instance": m.Instance})
	f.markGone(ctx, m)
}

// markGone tells the fleet that a member's lease has ended.
func (f *Fleet) markGone(ctx context.Context, m zpassign.Member) {
	name := zpassign.MemberObject(m.Instance)
	o, ok := f.Cache.Object(name)
	if !ok {
		return
	}
	m.State = zpassign.MemberGone
	body, err := zpassign.EncodeMember(m)
	if err != nil {
		return
	}
	if _, err := f.API.Put(ctx, name, body, o.Revision); err == nil {
		delete(f.observations, m.Instance)
	}
}

// askPromises asks the monitors on record not to end the lease for a while, so
// that it outlasts an outage of the platform.
func (f *Fleet) askPromises(ctx context.Context) {
	monitors := f.Own.Monitors()
	for _, m := range f.Cache.Members() {
		if slices.Contains(monitors, m.Instance) {
			f.workers.Go(func() { f.compare(ctx, m, true) })
		}
	}
}
