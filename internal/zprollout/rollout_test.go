package zprollout_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpduty"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// fakeEngines are engines of one pool that load weights at once when they are ordered to.
type fakeEngines struct {
	mu       sync.Mutex
	weights  map[string]map[string]int64 // version by engine and model
	orders   []string                    // engine and model of each order
	changing map[string]bool             // by engine, as announced
	most     int                         // largest number of engines that changed at a time
}

func (f *fakeEngines) list(time.Time) []zpregistry.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []zpregistry.Endpoint
	for id := range f.weights {
		out = append(out, zpregistry.Endpoint{ID: id, Address: id, Pool: "p", Weights: f.loaded(id)})
	}
	return out
}

// loaded returns a copy of the versions of one engine; f.mu must be held.
func (f *fakeEngines) loaded(id string) map[string]int64 {
	out := map[string]int64{}
	for model, version := range f.weights[id] {
		out[model] = version
	}
	return out
}

// Report implements zprollout.Orderer.
func (f *fakeEngines) Report(_ context.Context, e zpregistry.Endpoint) (zprollout.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return zprollout.Report{Weights: f.loaded(e.ID)}, nil
}

// Order implements zprollout.Orderer.
func (f *fakeEngines) Order(_ context.Context, e zpregistry.Endpoint, o zprollout.Order) (zprollout.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, e.ID+" "+o.Model)
	f.weights[e.ID][o.Model] = o.Version
	return zprollout.VerdictAccepted, nil
}

func (f *fakeEngines) announce(id string, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.changing, id)
	if left > 0 {
		f.changing[id] = true
	}
	f.most = max(f.most, len(f.changing))
}

var _ = Describe("Rollout", func() {
	var engines *fakeEngines
	var versions *zprollout.WeightVersions
	var isCut atomic.Bool
	var rollout *zprollout.Rollout
	var unreachable atomic.Value // the address of an engine that cannot be reached

	BeforeEach(func() {
		isCut.Store(false)
		unreachable.Store("none")
		engines = &fakeEngines{weights: map[string]map[string]int64{}, changing: map[string]bool{}}
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			engines.weights[id] = map[string]int64{"a": 1, "b": 1}
		}
		versions = zprollout.NewWeightVersions(time.Minute) // long enough for a change without pacing
		versions.SetTarget("a", 1, time.Now())
		versions.SetTarget("b", 1, time.Now())
		timing := zpduty.Timing{Validity: 800 * time.Millisecond, RenewInterval: 250 * time.Millisecond}
		r := &zprollout.Rollout{
			Reaches: func(address string, _ time.Time) bool { return address != unreachable.Load() && !isCut.Load() },
			Self:    "d", Keeper: zpduty.NewKeeper("duties/weights", "d", timing, zpobject.NewMemory(), zplog.Discard(), time.Now),
			WeightVersions: versions, Engines: engines.list, Models: func(string) []string { return []string{"a", "b"} },
			Load: func(string, time.Time) int { return 0 }, SetWeights: func(string, string, int64) {}, Announce: engines.announce,
			Orderer: engines, Rank: func() int { return 0 }, Log: zplog.Discard(), Clock: time.Now,
			Timing: zprollout.Timing{PollInterval: 50 * time.Millisecond, RepeatDelay: time.Second},
		}
		rollout = r
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
	})

	expectLoaded := func(model string, version int64) {
		GinkgoHelper()
		Eventually(func() []int64 {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			var out []int64
			for _, loaded := range engines.weights {
				out = append(out, loaded[model])
			}
			return out
		}, "5s").Should(HaveEach(version))
	}

	// Guards against a model that is up to date ending the change of another one.
	DescribeTable("loads new weights of one of two models",
		func(model string) {
			versions.SetTarget(model, 2, time.Now())
			expectLoaded(model, 2)
			Expect(engines.orders).To(ConsistOf("e1 "+model, "e2 "+model, "e3 "+model, "e4 "+model))
		},
		Entry("the first", "a"),
		Entry("the second", "b"),
	)

	// Guards against an engine that is picked for two models at a time.
	It("loads new weights of two models one after the other, within the limit of engines", func() {
		versions.SetTarget("a", 2, time.Now())
		versions.SetTarget("b", 3, time.Now())
		expectLoaded("a", 2)
		expectLoaded("b", 3)
		Expect(engines.orders).To(HaveLen(8))
		Expect(engines.most).To(Equal(zprollout.MaxChanging(4)))
	})

	// Guards against a duty that stays with a daemon that cannot order anything.
	It("leaves the duty to others while it reaches no engine", func() {
		isCut.Store(true)
		versions.SetTarget("a", 2, time.Now())
		Consistently(func() int {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			return len(engines.orders)
		}, "500ms").Should(BeZero())
		isCut.Store(false)
		expectLoaded("a", 2)
	})

	// Guards against a duty that stays with a daemon for an engine that it cannot order anything.
	It("leaves engines that it cannot reach to the next holder of the duty", func() {
		unreachable.Store("e2")
		versions.SetTarget("a", 2, time.Now())
		loaded := func() (out []string) {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			for id, w := range engines.weights {
				if w["a"] == 2 {
					out = append(out, id)
				}
			}
			return out
		}
		Eventually(loaded, "5s").Should(ConsistOf("e1", "e3", "e4"))
		Eventually(func() bool {
			_, _, held := rollout.Keeper.Holds()
			return held
		}, "3s").Should(BeFalse())
		unreachable.Store("none")
		expectLoaded("a", 2)
	})

	It("orders nothing for a model that an engine does not serve", func() {
		engines.mu.Lock()
		delete(engines.weights["e1"], "b")
		engines.mu.Unlock()
		versions.SetTarget("b", 2, time.Now())
		Eventually(func() int {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			return len(engines.orders)
		}, "5s").Should(Equal(3))
		Consistently(func() []string {
			engines.mu.Lock()
			defer engines.mu.Unlock()
			return engines.orders
		}, "500ms").ShouldNot(ContainElement("e1 b"))
	})
})
