package zpfleet

import (
	"bytes"
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
)

// publishLeavingVMs reads the platform's list of VMs and writes the names of the
// leaving ones to a relayed object. Only the owner of the first partition does
// so, so that the number of calls does not grow with the fleet.
func (f *Fleet) publishLeavingVMs(ctx context.Context) {
	owner, ok := f.OwnerOf(0)
	if !ok || owner.Instance != f.Self.Instance || !f.Lease.Valid(f.Clock()) {
		return
	}
	vms, err := f.API.VMs(ctx)
	if err != nil {
		return
	}
	body, err := zpconfig.EncodeLeaving(vms)
	if err != nil {
		return
	}
	o, _ := f.Cache.Object(zpconfig.LeavingObject)
	if bytes.Equal(o.Body, body) {
		return
	}
	if written, err := f.API.Put(ctx, zpconfig.LeavingObject, body, o.Revision); err == nil {
		f.Cache.ApplyWritten(written)
	}
}
