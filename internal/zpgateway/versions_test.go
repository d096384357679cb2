package zpgateway_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpupgrade"
)

var _ = Describe("A pool that moves to a new version", func() {
	upgradeLimits := zpupgrade.Limits{Share: 0.1, Slack: 50}

	// newMovingGateway has e1 to e3 without a version, and n1 to n3 of v2.
	newMovingGateway := func(status zpupgrade.Status, steps ...step) testGateway {
		GinkgoHelper()
		s := newTestGateway(steps...)
		now := time.Now()
		for _, id := range []string{"n1", "n2", "n3"} {
			s.Registry.Put(zpregistry.Endpoint{
				ID: id, Pool: "pool", Address: id + ":1", FailureDomain: "a", Region: "n", Slots: 4, Weights: map[string]int64{"m": 1}, SoftwareVersion: "v2",
			})
		}
		s.Upgrades = zpupgrade.NewTracker("d", upgradeLimits, func() (int, int) { return 0, 1 })
		s.Upgrades.Replace(nil, nil, now)
		s.Upgrades.SetVersions("pool", map[string]int{"": 3}, now)
		s.Upgrades.SetVersions("pool", map[string]int{"": 3, "v2": 3}, now)
		s.Upgrades.Put(zpupgrade.Order{Pool: "pool", To: "v2", Within: time.Minute, Created: 1, Revision: 1, Status: status}, now)
		return s
	}
	versions := func(s testGateway) map[string]int {
		out := map[string]int{}
		for _, run := range s.runner.runs {
			out[run.Endpoint.SoftwareVersion]++
		}
		return out
	}

	It("sends the new version what it may have, to few endpoints", func() {
		s := newMovingGateway(zpupgrade.Status{}, responds(http.StatusOK, "x"))
		for range 100 {
			expectResponse(s.serve(request("read")), http.StatusOK, "x")
		}
		Expect(versions(s)["v2"]).To(And(BeNumerically(">", 20), BeNumerically("<=", 31)))
		used := map[string]bool{}
		for _, run := range s.runner.runs {
			if run.Endpoint.SoftwareVersion == "v2" {
				used[run.Endpoint.ID] = true
			}
		}
		Expect(used).To(HaveLen(1))
	})

	It("repeats on an old version what the new one has failed", func() {
		s := newMovingGateway(zpupgrade.Status{}, responds(http.StatusInternalServerError, "no"), responds(http.StatusOK, "x"))
		expectResponse(s.serve(request("read")), http.StatusOK, "x")
		Expect(s.runner.runs).To(HaveLen(2))
		Expect(s.runner.runs[0].Endpoint.SoftwareVersion).To(Equal("v2"))
		Expect(s.runner.runs[1].Endpoint.SoftwareVersion).To(BeEmpty())
		r := s.Upgrades.Reports(time.Now())[0]
		Expect([]int64{r.Sent, r.SentNew, r.Routes[0].New.Bad, r.Routes[0].Old.Bad}).To(Equal([]int64{2, 1, 1, 0}))
	})

	It("sends nothing to a version that was rolled back", func() {
		s := newMovingGateway(zpupgrade.Status{State: zpupgrade.StateRolledBack, To: "v2"}, responds(http.StatusOK, "x"))
		for range 40 {
			expectResponse(s.serve(request("read")), http.StatusOK, "x")
		}
		Expect(versions(s)).To(Equal(map[string]int{"": 40}))
	})

	It("sends nothing to old versions once it is completed", func() {
		s := newMovingGateway(zpupgrade.Status{State: zpupgrade.StateCompleted, To: "v2"}, responds(http.StatusOK, "x"))
		for range 40 {
			expectResponse(s.serve(request("read")), http.StatusOK, "x")
		}
		Expect(versions(s)).To(Equal(map[string]int{"v2": 40}))
	})

	It("does not count what was not sent", func() {
		s := newMovingGateway(zpupgrade.Status{}, dialFails)
		s.serve(request("book"))
		r := s.Upgrades.Reports(time.Now())[0]
		Expect([]int64{r.Sent, r.SentNew}).To(Equal([]int64{0, 0}))
	})
})
