package zpregistry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
)

var start = time.Unix(1000, 0)

func endpoint(id string) zpregistry.Endpoint {
	return zpregistry.Endpoint{ID: id, Pool: "p", Domain: "a", Born: 5, Weights: map[string]int64{"m": 1}}
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
	var gone []string

	BeforeEach(func() {
		gone = nil
		r = zpregistry.New(2 * time.Second)
		r.OnGone = func(e zpregistry.Endpoint) { gone = append(gone, e.ID) }
		r.Replace([]zpregistry.Endpoint{endpoint("x"), endpoint("y")}, start)
	})

	It("is not ready for requests before it knows what is out of service", func() {
		r := zpregistry.New(time.Second)
		Expect(r.Listed()).To(BeFalse())
		r.Replace(nil, time.Unix(1000, 0))
		Expect(r.Listed()).To(BeFalse())
		r.SetEvacuated(nil)
		Expect(r.Listed()).To(BeTrue())
	})

	It("drops an endpoint whose entry was removed", func() {
		r.Remove("x", start)
		expectServing(r, start, "y")
		Expect(gone).To(ConsistOf("x"))
	})

	It("keeps entries that lapsed in an outage for a grace", func() {
		r.StoreReturned(start)
		r.Replace([]zpregistry.Endpoint{endpoint("y")}, start)
		expectServing(r, start.Add(time.Second), "x", "y")
		expectServing(r, start.Add(2*time.Second), "y")
	})

	It("takes an entry that is back within the grace", func() {
		r.StoreReturned(start)
		r.Remove("x", start)
		r.Put(endpoint("x"))
		expectServing(r, start.Add(time.Minute), "x", "y")
		Expect(gone).To(BeEmpty())
	})

	It("sends nothing to endpoints that drain or whose failure domain is out", func() {
		e := endpoint("x")
		e.State = zpregistry.StateDraining
		r.Put(e)
		expectServing(r, start, "y")
		r.SetEvacuated([]string{"a"})
		expectServing(r, start)
		r.SetEvacuated(nil)
		expectServing(r, start, "y")
	})

	It("ignores what an earlier life wrote late", func() {
		e := endpoint("x")
		e.Born, e.State = 4, zpregistry.StateDraining
		r.Put(e)
		expectServing(r, start, "x", "y")
	})

	It("tells of an endpoint that started anew under its id", func() {
		e := endpoint("x")
		e.Born = 6
		r.Put(e)
		Expect(gone).To(ConsistOf("x"))
	})

	It("takes over weights that were seen elsewhere", func() {
		r.SetWeights("x", "m", 2)
		e, _ := r.Find("x")
		Expect(e.Weights).To(HaveKeyWithValue("m", int64(2)))
		y, _ := r.Find("y")
		Expect(y.Weights).To(HaveKeyWithValue("m", int64(1)))
	})
})
