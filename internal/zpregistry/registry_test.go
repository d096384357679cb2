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

	Describe("after the store came back from an older copy", func() {
		draining := newEndpoint("x")
		draining.State = zpregistry.StateDraining
		at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

		// Guards against new work for what was taken out since the copy was made.
		It("does not serve an endpoint that was draining, until its entry is written again", func() {
			r.Put(draining)
			r.StoreRestored(at(1))
			r.Replace([]zpregistry.Endpoint{newEndpoint("x"), newEndpoint("y")}, at(1))
			expectServing(r, at(1), "y")
			Expect(r.IsServing("x", at(1))).To(BeFalse())
			r.Put(draining)
			expectServing(r, at(6), "y")
		})

		It("does not serve an endpoint that was gone, unless it has started again", func() {
			r.Remove("x", start)
			r.StoreRestored(at(1))
			r.Replace([]zpregistry.Endpoint{newEndpoint("x"), newEndpoint("y")}, at(1))
			expectServing(r, at(1), "y")
			again := newEndpoint("x")
			again.StartedAtMS = 9
			r.Put(again)
			expectServing(r, at(2), "x", "y")
		})

		It("may lack entries until the endpoints have written them again", func() {
			Expect(r.MayLackEntries(at(1))).To(BeFalse())
			r.StoreReturned(at(1))
			Expect(r.MayLackEntries(at(2))).To(BeTrue())
			Expect(r.MayLackEntries(at(3))).To(BeFalse())
			r.StoreRestored(at(4))
			Expect(r.MayLackEntries(at(8))).To(BeTrue())
			Expect(r.MayLackEntries(at(9))).To(BeFalse())
		})

		It("does not serve a failure domain that was evacuated", func() {
			r.SetEvacuated([]string{"a"})
			r.StoreRestored(at(1))
			r.SetEvacuated(nil)
			expectServing(r, at(1))
			Expect(r.IsServing("y", at(1))).To(BeFalse())
		})

		It("keeps an endpoint whose entry the copy lacks for a while", func() {
			r.StoreRestored(at(1))
			r.Replace([]zpregistry.Endpoint{newEndpoint("y")}, at(1))
			expectServing(r, at(2), "x", "y")
			expectServing(r, at(3), "y")
		})

		It("believes the store again after some seconds, also if it came back twice", func() {
			r.SetEvacuated([]string{"a"})
			r.StoreRestored(at(1))
			r.SetEvacuated(nil)
			r.StoreRestored(at(4))
			expectServing(r, at(8))
			expectServing(r, at(9), "x", "y")
			Expect(r.IsServing("x", at(9))).To(BeTrue())
		})
	})

	It("updates an observed weight version at that endpoint only", func() {
		r.SetWeights("x", "m", 2)
		e, _ := r.Find("x")
		Expect(e.Weights).To(HaveKeyWithValue("m", int64(2)))
		y, _ := r.Find("y")
		Expect(y.Weights).To(HaveKeyWithValue("m", int64(1)))
	})
})
