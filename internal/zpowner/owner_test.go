package zpowner_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpowner"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	// fakeFleet assigns one endpoint with one slot to this daemon.
	fakeFleet struct{}

	warmReporter struct{}
)

func (fakeFleet) Assigned() map[string]zpowner.Assignment {
	endpoint := zpmanifest.Endpoint{Name: "e", Slots: 1, ColdSlots: 1}
	return map[string]zpowner.Assignment{"e": {Endpoint: endpoint, Epoch: 1, FirstOwner: true}}
}

func (fakeFleet) HoldsLease(time.Time) bool { return true }

func (fakeFleet) Peers() map[string]string { return map[string]string{} }

func (warmReporter) Report(context.Context, zpmanifest.Endpoint) (zpadmission.Report, error) {
	return zpadmission.Report{Boot: "b", Warm: true, AsOf: time.Now()}, nil
}

var _ = Describe("Owner", func() {
	It("keeps a queued request whose first call was canceled while a newer call waits for it", func() {
		o := &zpowner.Owner{
			StartDeadline: time.Second, ReportInterval: 20 * time.Millisecond, QueueLimit: 10, Reporter: warmReporter{}, Fleet: fakeFleet{},
			FetchHoldings: func(context.Context, string, []string) ([]zpadmission.Holding, error) { return nil, nil },
			Log:           zplog.Discard(), Clock: time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			o.Run(ctx)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		request := func(id string) zpadmission.Request {
			return zpadmission.Request{ID: id, MaxWait: 10 * time.Second, Weight: 1, Cost: 1}
		}
		reserve := func(ctx context.Context, id string) chan zpadmission.Decision {
			out := make(chan zpadmission.Decision, 1)
			go func() { out <- o.Reserve(ctx, "e", request(id), 5*time.Second) }()
			return out
		}
		granted := HaveField("Granted", BeTrue())
		Eventually(func() zpadmission.Decision { return o.Reserve(ctx, "e", request("running"), time.Second) }, "3s").Should(granted)

		first, cancelFirst := context.WithCancel(ctx)
		older := reserve(first, "queued")
		Consistently(older, "100ms").ShouldNot(Receive())
		newer := reserve(ctx, "queued")
		Consistently(newer, "100ms").ShouldNot(Receive())
		cancelFirst()
		Eventually(older).Should(Receive(HaveField("Code", zpadmission.CodeExpired)))
		o.Release("e", zpadmission.Result{ID: "running"})
		Eventually(newer, "3s").Should(Receive(granted))
	})
})
