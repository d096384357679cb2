package zpfleet

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplease"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// renew writes the lease, and the member record if it is not stored yet.
func (f *Fleet) renew(ctx context.Context) {
	if f.Own.Ended() {
		return
	}
	if err := f.putLease(ctx, zplease.StateHeld); err != nil {
		f.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"error": err.Error()})
		return
	}
	f.mu.Lock()
	stored := f.memberRev != 0
	f.mu.Unlock()
	if !stored {
		if err := f.putMember(ctx); err != nil {
			f.Log.Emit(zplog.LeaseRenewFailed, zplog.Fields{"error": err.Error()})
		}
	}
}

func (f *Fleet) putLease(ctx context.Context, state zplease.State) error {
	serving := zpassign.Live(f.Cache.Members(), zpassign.MemberServing)
	monitors := zpassign.MonitorsOf(f.Self, serving)
	duration := f.Timing.Duration * zplease.IntervalFactor(len(serving))
	f.mu.Lock()
	f.renewal++
	record := zplease.Record{Instance: f.Self.Instance, State: state, Renewal: f.renewal,
		Monitors: monitors, Duration: duration}
	revision := f.leaseRev
	f.mu.Unlock()
	body, err := zplease.Encode(record)
	if err != nil {
		return err
	}
	start := f.Clock()
	f.Own.RecordProposal(monitors)
	o, err := f.API.Put(ctx, zplease.ObjectName(f.Self.Instance), body, revision)
	if err != nil {
		return f.rereadLease(ctx, err)
	}
	f.mu.Lock()
	f.leaseRev = o.Revision
	f.mu.Unlock()
	if state == zplease.StateHeld {
		f.Own.RecordRenewal(start, duration, monitors)
	}
	return nil
}

// rereadLease finds out what stands after a failed write. Only this daemon
// writes its lease, but for the one that ends it.
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
	f.leaseRev = o.Revision
	f.mu.Unlock()
	if record.State == zplease.StateEnded {
		f.lost()
	}
	return cause
}

func (f *Fleet) lost() {
	if f.Own.Ended() {
		return
	}
	f.Own.MarkEnded()
	f.Log.Emit(zplog.LeaseLost, zplog.Fields{"instance": f.Self.Instance})
	if f.Replaced != nil {
		f.Replaced()
	}
}

func (f *Fleet) putMember(ctx context.Context) error {
	f.mu.Lock()
	self, revision := f.Self, f.memberRev
	self.State = f.state
	f.mu.Unlock()
	body, err := zpassign.EncodeMember(self)
	if err != nil {
		return err
	}
	name := zpassign.MemberObject(self.Instance)
	o, err := f.API.Put(ctx, name, body, revision)
	if zpobject.IsConflict(err) || zpobject.IsOutcomeUnknown(err) {
		stands, readErr := f.API.Get(ctx, name)
		if readErr == nil {
			o, err = f.API.Put(ctx, name, body, stands.Revision)
		}
	}
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.memberRev = o.Revision
	f.mu.Unlock()
	return nil
}

// SetState changes the stage in the member record.
func (f *Fleet) SetState(ctx context.Context, state zpassign.MemberState) error {
	f.mu.Lock()
	f.state = state
	f.mu.Unlock()
	return f.putMember(ctx)
}

// Leave gives up the lease and the membership. The daemon must hold no
// partition and have no open request.
func (f *Fleet) Leave(ctx context.Context) error {
	err := f.putLease(ctx, zplease.StateEnded)
	f.Own.MarkEnded()
	if gone := f.SetState(ctx, zpassign.MemberGone); gone != nil && err == nil {
		err = gone
	}
	return err
}
