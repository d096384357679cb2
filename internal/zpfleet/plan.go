package zpfleet

import (
	"context"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// stepsPerGroup bounds how many partitions change owner in one write, so that
// a new daemon takes its share in small steps.
const stepsPerGroup = 8

// plan makes the changes of ownership that are this daemon's to make.
func (f *Fleet) plan(ctx context.Context) {
	now := f.Clock()
	f.noteMode(now)
	if !f.Own.Valid(now) {
		return
	}
	generation := f.Cache.FleetGeneration()
	v, ok := f.Cache.View()
	if !ok || generation == f.plannedAt {
		return
	}
	steps := zpassign.Plan(v, f.Self.Instance)
	if len(steps) == 0 {
		f.plannedAt = generation
	}
	groups := map[int][]zpassign.Transfer{}
	for _, s := range steps {
		g := zpassign.GroupOf(s.Partition)
		if len(groups[g]) < stepsPerGroup {
			groups[g] = append(groups[g], s)
		}
	}
	for g, steps := range groups {
		f.assign(ctx, g, steps)
	}
}

// assign writes the steps of one group by conditional update on the revision
// from which they were planned, and takes the result into the cache.
func (f *Fleet) assign(ctx context.Context, index int, steps []zpassign.Transfer) {
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
	for _, s := range steps {
		if g.Owners[s.Partition] != s.From {
			return
		}
		g.Owners[s.Partition] = s.To
	}
	body, err := zpassign.EncodeGroup(g)
	if err != nil {
		return
	}
	written, err := f.API.Put(ctx, name, body, o.Revision)
	if err != nil {
		return
	}
	f.Cache.Learn(written)
	f.logSteps(steps)
}

func (f *Fleet) logSteps(steps []zpassign.Transfer) {
	for _, s := range steps {
		fields := zplog.Fields{"partition": s.Partition, "epoch": s.To.Epoch, "from": s.From.Instance, "to": s.To.Instance}
		if s.To.Instance == f.Self.Instance {
			f.Log.Emit(zplog.PartitionTaken, fields)
		} else {
			f.Log.Emit(zplog.PartitionLeft, fields)
		}
	}
}
