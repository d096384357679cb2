package zporder_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zporder"
)

// engine simulates an engine that applies orders. With fencing it ignores orders
// whose epoch is lower than the highest one that it has applied.
type engine struct {
	fencing      bool
	version      string
	highestEpoch int64
}

func (e *engine) apply(o zporder.Order) {
	if e.fencing && o.Epoch < e.highestEpoch {
		return
	}
	e.highestEpoch = max(e.highestEpoch, o.Epoch)
	e.version = o.Version
}

var _ = Describe("Reconciler", func() {
	start := time.Unix(1000, 0)
	settle := 500 * time.Millisecond

	It("returns an order only if the reported version differs", func() {
		k := &zporder.Reconciler{Epoch: 3, ReportDelay: settle}
		_, due := k.Next("v1", zporder.Reported{Version: "v1", AsOf: start}, start)
		Expect(due).To(BeFalse())
		o, due := k.Next("v2", zporder.Reported{Version: "v1", AsOf: start}, start)
		Expect(due).To(BeTrue())
		Expect(o).To(Equal(zporder.Order{Epoch: 3, Version: "v2"}))
	})

	It("repeats an order only after a report that could show its effect", func() {
		k := &zporder.Reconciler{Epoch: 3, ReportDelay: settle}
		k.Next("v2", zporder.Reported{Version: "v1", AsOf: start}, start)
		_, due := k.Next("v2", zporder.Reported{Version: "v1", AsOf: start.Add(400 * time.Millisecond)}, start.Add(time.Second))
		Expect(due).To(BeFalse())
		_, due = k.Next("v2", zporder.Reported{Version: "v1", AsOf: start.Add(600 * time.Millisecond)}, start.Add(time.Second))
		Expect(due).To(BeTrue())
	})

	It("returns no order for a plain service, which has no weight version", func() {
		_, due := (&zporder.Reconciler{}).Next("", zporder.Reported{}, start)
		Expect(due).To(BeFalse())
	})

	DescribeTable("restores the version of the current owner after a delayed order of a former owner",
		func(fencing bool) {
			e := &engine{fencing: fencing, version: "v1"}
			formerOwner := &zporder.Reconciler{Epoch: 3, ReportDelay: settle}
			lateOrder, _ := formerOwner.Next("v2", zporder.Reported{Version: "v1", AsOf: start}, start)
			owner := &zporder.Reconciler{Epoch: 4, ReportDelay: settle}
			now := start
			for range 10 {
				now = now.Add(time.Second)
				if o, due := owner.Next("v3", zporder.Reported{Version: e.version, AsOf: now}, now); due {
					e.apply(o)
				}
				if now.Sub(start) == 3*time.Second {
					e.apply(lateOrder)
				}
			}
			Expect(e.version).To(Equal("v3"))
		},
		Entry("on an engine with fencing", true),
		Entry("on an engine that ignores the fencing token", false),
	)
})
