package zporder_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zporder"
)

// engine takes orders; one without fencing takes any.
type engine struct {
	fencing bool
	version string
	highest int64
}

func (e *engine) take(o zporder.Order) {
	if e.fencing && o.Epoch < e.highest {
		return
	}
	e.highest = max(e.highest, o.Epoch)
	e.version = o.Version
}

var _ = Describe("Keeper", func() {
	start := time.Unix(1000, 0)
	settle := 500 * time.Millisecond

	It("orders only what differs", func() {
		k := &zporder.Keeper{Epoch: 3, Settle: settle}
		_, due := k.Next("v1", zporder.Seen{Version: "v1", AsOf: start}, start)
		Expect(due).To(BeFalse())
		o, due := k.Next("v2", zporder.Seen{Version: "v1", AsOf: start}, start)
		Expect(due).To(BeTrue())
		Expect(o).To(Equal(zporder.Order{Epoch: 3, Version: "v2"}))
	})

	It("waits for a report that could show the order before it orders again", func() {
		k := &zporder.Keeper{Epoch: 3, Settle: settle}
		k.Next("v2", zporder.Seen{Version: "v1", AsOf: start}, start)
		_, due := k.Next("v2", zporder.Seen{Version: "v1", AsOf: start.Add(400 * time.Millisecond)}, start.Add(time.Second))
		Expect(due).To(BeFalse())
		_, due = k.Next("v2", zporder.Seen{Version: "v1", AsOf: start.Add(600 * time.Millisecond)}, start.Add(time.Second))
		Expect(due).To(BeTrue())
	})

	It("gives no order to a plain service", func() {
		_, due := (&zporder.Keeper{}).Next("", zporder.Seen{}, start)
		Expect(due).To(BeFalse())
	})

	DescribeTable("ends in the newest state after a late order of a former owner",
		func(fencing bool) {
			e := &engine{fencing: fencing, version: "v1"}
			old := &zporder.Keeper{Epoch: 3, Settle: settle}
			late, _ := old.Next("v2", zporder.Seen{Version: "v1", AsOf: start}, start)
			k := &zporder.Keeper{Epoch: 4, Settle: settle}
			now := start
			for range 10 {
				now = now.Add(time.Second)
				if o, due := k.Next("v3", zporder.Seen{Version: e.version, AsOf: now}, now); due {
					e.take(o)
				}
				if now.Sub(start) == 3*time.Second {
					e.take(late)
				}
			}
			Expect(e.version).To(Equal("v3"))
		},
		Entry("an engine with fencing", true),
		Entry("an engine that ignores the number", false),
	)
})
