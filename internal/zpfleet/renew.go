package zpfleet

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// renewLease writes the lease, then the member record if it is not stored yet.
func (f *Fleet) renewLease(ctx context.Context) {
	if f.Lease.Ended() {
		return
	}
	if err := f.putLease(ctx, zplease.StateHeld); err != nil {
		f.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"error": err.Error()})
		return
	}
	f.mu.Lock()
	stored := f.memberRevision != 0
	f.mu.Unlock()
	if !stored {
		if err := f.putMember(ctx); err != nil {
			f.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"error": err.Error()})
		}
	}
}

func (f *Fleet) putLease(ctx context.Context, state zplease.State) error {
	serving := zpassign.MembersInStates(f.Cache.Members(), zpassign.MemberServing)
	monitors := zpassign.MonitorsOf(f.Self, serving)
	duration := f.Timing.Duration * zplease.IntervalFactor(len(serving))
	f.mu.Lock()
	f.renewalCount++
	record := zplease.Record{Instance: f.Self.Instance, State: state, Renewal: f.renewalCount,
		Monitors: monitors, Duration: duration}
	revision := f.leaseRevision
	f.mu.Unlock()
	body, err := zplease.Encode(record)
	if err != nil {
		return err
	}
	start := f.Clock()
	f.Lease.RecordProposal(monitors)
	o, err := f.API.Put(ctx, zplease.ObjectName(f.Self.Instance), body, revision)
	if err != nil {
		return f.rereadLease(ctx, err)
	}
	f.mu.Lock()
	f.leaseRevision = o.Revision
	f.mu.Unlock()
	if state == zplease.StateHeld {
		f.Lease.RecordRenewal(start, duration, monitors)
	}
	return nil
}

// rereadLease reads the stored lease after a failed write, in order to learn its
// revision and whether another daemon has ended it. Other daemons write this
// lease only to end it.
func (f *Fleet) rereadLease(ctx context.Context, cause error) error {
	if !zpobject.IsConflict(cause) && !zpobject.IsOutcomeUnknown(cause) {
		return cause
	}
	o, err := f.API.Get(ctx, zplease.ObjectName(f.Self.Instance))
	if err != nil {
		return cause
	}
	record, err := zplease.Decode(o.Body)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.leaseRevision = o.Revision
	f.mu.Unlock()
	if record.State == zplease.StateEnded {
		f.markLeaseLost()
	}
	return cause
}

func (f *Fleet) markLeaseLost() {
	if f.Lease.Ended() {
		return
	}
	f.Lease.MarkEnded()
	f.Log.Emit(zplog.LeaseLost, zplog.Fields{"instance": f.Self.Instance})
	if f.OnLeaseLost != nil {
		f.OnLeaseLost()
	}
}

func (f *Fleet) putMember(ctx context.Context) error {
	f.mu.Lock()
	self, revision := f.Self, f.memberRevision
	self.State = f.state
	f.mu.Unlock()
	body, err := zpassign.EncodeMember(self)
	if err != nil {
		return err
	}
	name := zpassign.MemberObject(self.Instance)
	o, err := f.API.Put(ctx, name, body, revision)
	if zpobject.IsConflict(err) || zpobject.IsOutcomeUnknown(err) {
		current, readErr := f.API.Get(ctx, name)
		if readErr == nil {
			o, err = f.API.Put(ctx, name, body, current.Revision)
		}
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.memberRevision = o.Revision
	f.mu.Unlock()
	return nil
}

// SetState changes the state in this daemon's member record.
func (f *Fleet) SetState(ctx context.Context, state zpassign.MemberState) error {
	f.mu.Lock()
	f.state = state
	f.mu.Unlock()
	return f.putMember(ctx)
}

// Leave ends the lease and marks this daemon as gone. The daemon must own no
// partition and have no open request.
func (f *Fleet) Leave(ctx context.Context) error {
	err := f.putLease(ctx, zplease.StateEnded)
	f.Lease.MarkEnded()
	if stateErr := f.SetState(ctx, zpassign.MemberGone); stateErr != nil && err == nil {
		err = stateErr
	}
	return err
}
