package zpregistry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

var start = time.Unix(1000, 0)

func newEndpoint(id string) zpregistry.Endpoint {
	return zpregistry.Endpoint{ID: id, Pool: "p", FailureDomain: "a", StartedAtMS: 5, Weights: map[string]int64{"m": 1}}
}

func expectServing(r *zpregistry.Registry, now time.Time, ids ...string) {
	GinkgoHelper()
	got := []string{}
	for _, e := range r.Serving("p", now) {
		got = append(got, e.ID)
	}
	Expect(got).To(ConsistOf(ids))
}

var _ = Describe("Registry", func() {
	var r *zpregistry.Registry
	var removed []string

	BeforeEach(func() {
		removed = nil
		r = zpregistry.New(2 * time.Second)
		r.OnRemoved = func(e zpregistry.Endpoint) { removed = append(removed, e.ID) }
		r.Replace([]zpregistry.Endpoint{newEndpoint("x"), newEndpoint("y")}, start)
	})

	It("is not listed before both endpoints and evacuated failure domains were read", func() {
		r := zpregistry.New(time.Second)
		Expect(r.HasSynced()).To(BeFalse())
		r.Replace(nil, time.Unix(1000, 0))
		Expect(r.HasSynced()).To(BeFalse())
		r.SetEvacuated(nil)
		Expect(r.HasSynced()).To(BeTrue())
	})

	It("removes an endpoint whose entry was removed from the store", func() {
		r.Remove("x", start)
		expectServing(r, start, "y")
		Expect(removed).To(ConsistOf("x"))
	})

	It("keeps endpoints whose entry expired during an outage until the grace period ends", func() {
		r.StoreReturned(start)
		r.Replace([]zpregistry.Endpoint{newEndpoint("y")}, start)
		expectServing(r, start.Add(time.Second), "x", "y")
		expectServing(r, start.Add(2*time.Second), "y")
	})

	It("keeps an endpoint whose entry returns within the grace period", func() {
		r.StoreReturned(start)
		r.Remove("x", start)
		r.Put(newEndpoint("x"))
		expectServing(r, start.Add(time.Minute), "x", "y")
		Expect(removed).To(BeEmpty())
	})

	It("does not serve endpoints that are draining or in an evacuated failure domain", func() {
		e := newEndpoint("x")
		e.State = zpregistry.StateDraining
		r.Put(e)
		expectServing(r, start, "y")
		r.SetEvacuated([]string{"a"})
		expectServing(r, start)
		r.SetEvacuated(nil)
		expectServing(r, start, "y")
	})

	It("ignores a late entry of an earlier run of the endpoint", func() {
		e := newEndpoint("x")
		e.StartedAtMS, e.State = 4, zpregistry.StateDraining
		r.Put(e)
		expectServing(r, start, "x", "y")
	})

	It("reports the removal of a lapsed endpoint at the end of the grace period", func() {
		r.StoreReturned(start)
		r.Remove("x", start)
		expectServing(r, start, "x", "y")
		Expect(removed).To(BeEmpty())
		expectServing(r, start.Add(time.Hour), "y")
		Expect(removed).To(ConsistOf("x"))
	})

	It("reports the removal of an endpoint that restarted under its id", func() {
		e := newEndpoint("x")
		e.StartedAtMS = 6
		r.Put(e)
		Expect(removed).To(ConsistOf("x"))
	})

	It("updates an observed weight version at that endpoint only", func() {
		r.SetWeights("x", "m", 2)
		e, _ := r.Find("x")
		Expect(e.Weights).To(HaveKeyWithValue("m", int64(2)))
		y, _ := r.Find("y")
		Expect(y.Weights).To(HaveKeyWithValue("m", int64(1)))
	})
})
