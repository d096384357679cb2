package zpgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// crashedFleet answers runs at the endpoints that stand and refuses connections to the others.
// What an endpoint has answered still counts as its load, so that requests spread.
type crashedFleet struct {
	usage   *zpusage.Tracker
	crashed map[string]bool
	arrived int // runs that reached an endpoint
	refused int // connections that were refused
}

func (f *crashedFleet) Run(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
	if f.crashed[run.Endpoint.ID] {
		f.refused++
		return dialFails(ctx, gate)
	}
	f.arrived++
	f.usage.Begin(run.Endpoint.ID, 0, 0)
	return responds(http.StatusOK, "done")(ctx, gate)
}

var _ = Describe("A crash of many endpoints at once", func() {
	const endpoints = 90
	// play sends requests while every n-th endpoint refuses connections, with a budget that
	// allows no retry.
	play := func(n, requests int) (served int, refusals []*zperror.Error, f *crashedFleet) {
		s := newTestGateway()
		f = &crashedFleet{crashed: map[string]bool{}, usage: s.Usage}
		s.Runner, s.Retries = f, &zpretry.Budgets{Ratio: 0, Burst: 0}
		var list []zpregistry.Endpoint
		for i := range endpoints {
			id := fmt.Sprintf("e%d", i)
			f.crashed[id] = i%n == 0
			list = append(list, zpregistry.Endpoint{ID: id, Pool: "pool", Address: id + ":1", FailureDomain: "a", Region: "n", Slots: 4})
		}
		s.Registry.Replace(list, time.Now())
		for range requests {
			if r := s.serve(request("book")); r.refused == nil {
				served++
			} else {
				refusals = append(refusals, r.refused)
			}
		}
		return served, refusals, f
	}

	// Guards against requests that are refused although most endpoints stand, because each
	// daemon finds out about each crashed endpoint and took a retry from the budget for it.
	It("refuses no request while others stand, and repeats nothing that has arrived", func() {
		served, refusals, f := play(3, 60)
		Expect(refusals).To(BeEmpty())
		Expect(served).To(Equal(60))
		Expect(f.arrived).To(Equal(60))
		Expect(f.refused).To(BeNumerically(">", 0))
	})

	It("ends requests after some connections if all are gone, as not run", func() {
		served, refusals, f := play(1, 5)
		Expect(served).To(BeZero())
		Expect(refusals).To(HaveLen(5))
		for _, e := range refusals {
			Expect(e.RunState).To(Equal(zperror.RunStateNotRun))
			Expect(e.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(f.refused).To(BeNumerically("<=", 9*5))
	})
})
