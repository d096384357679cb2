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
	members := f.Cache.Members()
	var absent map[string]bool
	for _, m := range zpassign.Live(members, zpassign.MemberServing, zpassign.MemberLeaving) {
		if m.Instance == f.Self.Instance {
			continue
		}
		if slices.Contains(zpassign.MonitorsOf(m, members), f.Self.Instance) {
			if absent == nil {
				absent = f.absentVMs(ctx, members)
			}
			f.watchLease(ctx, m, absent[m.Name])
		}
	}
}

// absentVMs returns the names of members that the platform's list of VMs does
// not hold. An empty or unreadable list says nothing.
func (f *Fleet) absentVMs(ctx context.Context, members []zpassign.Member) map[string]bool {
	absent := map[string]bool{}
	vms, err := f.API.VMs(ctx)
	if err != nil || len(vms) == 0 {
		return absent
	}
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.Name] = true
	}
	for _, m := range members {
		absent[m.Name] = !listed[m.Name]
	}
	return absent
}

func (f *Fleet) watchLease(ctx context.Context, m zpassign.Member, vmAbsent bool) {
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
		seen = &zplease.Observation{Timing: f.Timing}
		f.observations[m.Instance] = seen
	}
	seen.Observe(o.Revision, now)
	if record.State == zplease.StateEnded {
		f.markGone(ctx, m)
		return
	}
	mayEnd := slices.Contains(record.Monitors, f.Self.Instance) || vmAbsent
	if mayEnd && seen.Lapsed(now) && f.Promises.BeginEnd(m.Instance, now) {
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
			f.Promises.EndFailed(m.Instance)
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
	addresses := map[string]string{}
	for _, m := range f.Cache.Members() {
		addresses[m.Instance] = m.Address
	}
	for _, monitor := range f.Own.Monitors() {
		address, ok := addresses[monitor]
		if !ok {
			continue
		}
		f.workers.Go(func() { f.compare(ctx, address, true) })
	}
}
