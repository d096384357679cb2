package zpfleet

import (
	"context"
	"slices"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// monitorLeases reads the leases of the members that this daemon monitors and
// ends those that have expired.
func (f *Fleet) monitorLeases(ctx context.Context) {
	for _, m := range f.monitoredMembers() {
		f.checkLease(ctx, m)
	}
}

// monitoredMembers returns the members whose leases this daemon monitors. They are
// chosen again only after a change of the fleet.
func (f *Fleet) monitoredMembers() []zpassign.Member {
	generation := f.Cache.FleetGeneration()
	if generation == f.monitoredGeneration {
		return f.monitored
	}
	members := f.Cache.Members()
	serving := zpassign.MembersInStates(members, zpassign.MemberServing)
	f.monitored = nil
	for _, m := range zpassign.MembersInStates(members, zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Instance != f.Self.Instance && slices.Contains(zpassign.MonitorsOf(m, serving), f.Self.Instance) {
			f.monitored = append(f.monitored, m)
		}
	}
	f.monitoredGeneration = generation
	return f.monitored
}

// vmAbsent reports whether a member's VM is missing from the platform's list of
// VMs. It returns false if the list is empty or cannot be read, because neither
// shows that the VM is gone.
func (f *Fleet) vmAbsent(ctx context.Context, m zpassign.Member) bool {
	vms, err := f.API.VMs(ctx)
	if err != nil || len(vms) == 0 {
		return false
	}
	return !slices.ContainsFunc(vms, func(v zpobject.VM) bool { return v.Name == m.Name })
}

// checkLease reads the lease of a member and ends it if it has expired. A member
// whose lease has ended is marked as gone.
func (f *Fleet) checkLease(ctx context.Context, m zpassign.Member) {
	o, err := f.API.Get(ctx, zplease.ObjectName(m.Instance))
	if err != nil {
		return
	}
	record, err := zplease.Decode(o.Body)
	if err != nil {
		return
	}
	now := f.Clock()
	observed := f.observations[m.Instance]
	if observed == nil {
		observed = &zplease.ObservedLease{Margin: f.Timing.Margin}
		f.observations[m.Instance] = observed
	}
	observed.Observe(o.Revision, record.Duration, now)
	if record.State == zplease.StateEnded {
		f.markGone(ctx, m)
		return
	}
	if !observed.Expired(now) {
		return
	}
	// A daemon that is not on record as a monitor may end the lease only if the
	// platform no longer lists the member's VM.
	mayEnd := slices.Contains(record.Monitors, f.Self.Instance) || f.vmAbsent(ctx, m)
	if mayEnd && f.Promises.BeginEnding(m.Instance, now) {
		f.endLease(ctx, m, record, o.Revision)
	}
}

// endLease ends an expired lease by a conditional update, which fails if the
// holder has renewed the lease since it was read.
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

// markGone sets the state of a member to gone in its record.
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

// requestPromises asks the monitors of this daemon's lease to promise not to end
// it, so that the lease stays valid during an outage of the platform.
func (f *Fleet) requestPromises(ctx context.Context) {
	monitors := f.Lease.Monitors()
	for _, m := range f.Cache.Members() {
		if slices.Contains(monitors, m.Instance) {
			f.workers.Go(func() { f.compare(ctx, m, true) })
		}
	}
}
