package zpfleet

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// maxTransfersPerWrite is the maximum number of partitions that change owner in
// one write, so that a new daemon takes over its share gradually.
const maxTransfersPerWrite = 8

// planTransfers plans the transfers that this daemon should make now and writes
// them, group by group.
func (f *Fleet) planTransfers(ctx context.Context) {
	now := f.Clock()
	f.updateMode(now)
	if !f.Lease.Valid(now) {
		return
	}
	generation := f.Cache.FleetGeneration()
	v, ok := f.Cache.View()
	if !ok || generation == f.plannedGeneration {
		return
	}
	transfers := zpassign.Plan(v, f.Self.Instance)
	if len(transfers) == 0 {
		f.plannedGeneration = generation
	}
	groups := map[int][]zpassign.Transfer{}
	for _, t := range transfers {
		g := zpassign.GroupOf(t.Partition)
		if len(groups[g]) < maxTransfersPerWrite {
			groups[g] = append(groups[g], t)
		}
	}
	for g, transfers := range groups {
		f.writeTransfers(ctx, g, transfers)
	}
}

// writeTransfers writes the transfers of one group by a conditional update on the
// cached revision and adds the result to the cache. It writes nothing if the
// cached owners are no longer those from which the transfers were planned.
func (f *Fleet) writeTransfers(ctx context.Context, index int, transfers []zpassign.Transfer) {
	name := zpassign.GroupObject(index)
	o, _ := f.Cache.Object(name)
	g := zpassign.Group{Index: index, Owners: map[int]zpassign.Owner{}}
	if o.Revision != 0 {
		decoded, err := zpassign.DecodeGroup(o.Body)
		if err != nil {
			return
		}
		g.Owners = decoded.Owners
	}
	for _, t := range transfers {
		if g.Owners[t.Partition] != t.From {
			return
		}
		g.Owners[t.Partition] = t.To
	}
	body, err := zpassign.EncodeGroup(g)
	if err != nil {
		return
	}
	written, err := f.API.Put(ctx, name, body, o.Revision)
	if err != nil {
		return
	}
	f.Cache.ApplyWritten(written)
	f.logTransfers(transfers)
}

func (f *Fleet) logTransfers(transfers []zpassign.Transfer) {
	for _, t := range transfers {
		fields := zplog.Fields{"partition": t.Partition, "epoch": t.To.Epoch, "from": t.From.Instance, "to": t.To.Instance}
		if t.To.Instance == f.Self.Instance {
			f.Log.Emit(zplog.PartitionTaken, fields)
		} else {
			f.Log.Emit(zplog.PartitionLeft, fields)
		}
	}
}
