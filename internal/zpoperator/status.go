package zpoperator

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
)

type (
	// DaemonStatus is a member and its response to a status call.
	DaemonStatus struct {
		Member zpassign.Member
		Status zppeer.Status
		Err    error // set if the status call failed
	}

	// Confirmation lists which daemons have applied a version of the manifest.
	Confirmation struct {
		Version     int64
		Confirmed   []string
		Unconfirmed []string
	}
)

const (
	confirmInterval  = 100 * time.Millisecond
	maxParallelCalls = 64
)

// Status queries all serving and leaving members in parallel.
func (o *Operator) Status(ctx context.Context) ([]DaemonStatus, error) {
	members, err := o.members(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]DaemonStatus, len(members))
	slots := make(chan struct{}, maxParallelCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s, err := o.Exchange.ForAddress(m.PeerAddress).Status(ctx)
			out[i] = DaemonStatus{Member: m, Status: s, Err: err}
		})
	}
	wg.Wait()
	return out, nil
}

// Confirm polls the serving and leaving members until all have applied the version
// or ctx is done. A daemon that does not respond remains unconfirmed.
func (o *Operator) Confirm(ctx context.Context, version int64) (Confirmation, error) {
	for {
		// The calls may outlast ctx, so that the latest state is returned.
		statuses, err := o.Status(context.WithoutCancel(ctx))
		if err != nil {
			return Confirmation{Version: version}, err
		}
		c := newConfirmation(version, statuses)
		if len(c.Unconfirmed) == 0 || ctx.Err() != nil {
			return c, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(confirmInterval):
		}
	}
}

func (o *Operator) members(ctx context.Context) ([]zpassign.Member, error) {
	l, err := o.API.List(ctx, zpassign.MemberPrefix)
	if err != nil {
		return nil, err
	}
	var members []zpassign.Member
	for _, object := range l.Objects {
		m, err := zpassign.DecodeMember(object.Body)
		if err != nil {
			return nil, err
		}
		members = append(members, m)
	}
	return zpassign.MembersInStates(members, zpassign.MemberServing, zpassign.MemberLeaving), nil
}

func newConfirmation(version int64, statuses []DaemonStatus) Confirmation {
	c := Confirmation{Version: version}
	for _, s := range statuses {
		if s.Err == nil && s.Status.ManifestVersion >= version {
			c.Confirmed = append(c.Confirmed, s.Member.Instance)
		} else {
			c.Unconfirmed = append(c.Unconfirmed, s.Member.Instance)
		}
	}
	sort.Strings(c.Confirmed)
	sort.Strings(c.Unconfirmed)
	return c
}
