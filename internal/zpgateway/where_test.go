package zpgateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
)

var _ = Describe("Where", func() {
	var s testGateway
	BeforeEach(func() { s = newTestGateway(responds(http.StatusOK, events)) })

	where := func(route string) zpgateway.Explanation {
		q := request(route)
		q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 60, OutputTokens: 5, Parts: []zpgateway.Part{{ID: "p0", Tokens: 20}, {ID: "own", Tokens: 40}}}
		return s.Where(context.Background(), q)
	}
	excluded := func(x zpgateway.Explanation) map[string]string {
		out := map[string]string{}
		for _, c := range x.Candidates {
			if c.Excluded != "" {
				out[c.Endpoint] = c.Excluded
			}
		}
		return out
	}

	It("names the endpoint that the request is then sent to", func() {
		s.Usage.Begin("e1", 20_000, 0)
		s.Usage.Begin("e3", 20_000, 0)
		x := where("tag")
		Expect(x.Fate).To(Equal(zpgateway.FateSent))
		Expect(x.Endpoint).To(Equal("e2"))
		Expect(x.Candidates).To(HaveLen(3))
		Expect(x.Candidates[0].Cost).To(BeNumerically("<", x.Candidates[1].Cost))
		s.serve(request("tag"))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal(x.Endpoint))
	})

	It("neither sends nor counts anything", func() {
		before := usages(s)
		for range 3 {
			where("tag")
		}
		Expect(s.runner.runs).To(BeEmpty())
		Expect(usages(s)).To(Equal(before))
		Expect(s.QueuedRequests()).To(BeZero())
	})

	It("tells which endpoints would be reached through other daemons", func() {
		list := s.Registry.AllInPool("pool", s.Clock())
		for i := range list {
			list[i].Address = list[i].ID + ":80"
		}
		s.Registry.Replace(list, s.Clock())
		s.Reach = &zpdetour.Tracker{}
		s.Reach.RecordDetour("e2:80", s.Clock())
		x := where("tag")
		Expect(x.IsCutOff).To(BeFalse())
		for _, c := range x.Candidates {
			Expect(c.IsBlocked).To(Equal(c.Endpoint == "e2"), c.Endpoint)
		}
		s.Reach.RecordDetour("e3:80", s.Clock())
		Expect(where("tag").IsCutOff).To(BeTrue())
	})

	It("tells why endpoints are excluded", func() {
		list := s.Registry.AllInPool("pool", s.Clock())
		list[0].State = zpregistry.StateDraining
		s.Registry.Replace(list, s.Clock())
		s.Health.RecordFailure("e2", zpgateway.FailureNotRun, s.Clock())
		s.Usage.Begin("e3", 0, 1000)
		x := where("tag")
		Expect(excluded(x)).To(SatisfyAll(HaveLen(3), HaveKeyWithValue("e1", ContainSubstring("leaves")),
			HaveKeyWithValue("e2", ContainSubstring("turned requests away")), HaveKeyWithValue("e3", ContainSubstring("no room"))))
		Expect(x.Fate).To(Equal(zpgateway.FateWaits))
		Expect(x.Wait).NotTo(BeNil())
	})

	It("says that a cold endpoint gets no more requests, without using up its limit", func() {
		s.Catalog().Pools[0].ColdRequestsPerSecond = 1
		list := s.Registry.AllInPool("pool", s.Clock())[:1]
		list[0].ColdUntil = s.Clock().Add(time.Minute)
		s.Registry.Replace(list, s.Clock())
		Expect(where("tag").Fate).To(Equal(zpgateway.FateSent))
		s.serve(request("tag"))
		Expect(s.runner.runs).To(HaveLen(1))
		Expect(excluded(where("tag"))).To(HaveKeyWithValue("e1", ContainSubstring("cold")))
	})

	It("refuses what the configuration does not allow, as for the request", func() {
		q := request("tag")
		q.APIKey = "none"
		x := s.Where(context.Background(), q)
		Expect(x.Fate).To(Equal(zpgateway.FateRefused))
		Expect(x.Error.Code).To(Equal("unknown_key"))
		Expect(x.Route).To(Equal("tag"))
	})
})

// usages returns the running work of all endpoints.
func usages(s testGateway) map[string]zpusage.Usage {
	out, _ := s.Usage.Own()
	return out
}
