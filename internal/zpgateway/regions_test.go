package zpgateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// regionGateway is a gateway with e1 and e2 in region "n", e3 in "s" and e4 in "t".
type regionGateway struct {
	testGateway
	catalog atomic.Pointer[zpcatalog.Catalog]
}

func newRegionGateway(steps ...step) *regionGateway {
	s := &regionGateway{testGateway: newTestGateway(steps...)}
	s.catalog.Store(s.Catalog())
	s.Catalog = s.catalog.Load
	list := s.Registry.AllInPool("pool", time.Now())
	list[2].Region = "s"
	list = append(list, zpregistry.Endpoint{
		ID: "e4", Pool: "pool", Address: "e4:1", FailureDomain: "d", Region: "t", Slots: 4, Weights: map[string]int64{"m": 1},
	})
	s.Registry.Replace(list, time.Now())
	return s
}

// allow applies a configuration whose routes, and workspace "w", allow the given regions.
func (s *regionGateway) allow(routes, workspace []string) {
	old := s.catalog.Load()
	c := newCatalog()
	c.Version = old.Version + 1
	for i := range c.Routes {
		c.Routes[i].Regions = routes
	}
	c.Workspaces[0].Regions = workspace
	s.catalog.Store(c.BuildIndexes())
}

// fill uses up the capacity of endpoints.
func (s *regionGateway) fill(ids ...string) {
	for _, id := range ids {
		for range 8 {
			s.Usage.Begin(id, 0, 0)
		}
	}
}

func (s *regionGateway) endpoints() []string {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	var out []string
	for _, run := range s.runner.runs {
		out = append(out, run.Endpoint.ID)
	}
	return out
}

var _ = Describe("Requests with restricted regions", func() {
	DescribeTable("run only in regions that route and workspace allow",
		func(routes, workspace []string, allowed ...string) {
			s := newRegionGateway(responds(http.StatusOK, "done"))
			s.allow(routes, workspace)
			seen := map[string]bool{}
			for range 40 {
				s.serve(request("read"))
			}
			for _, run := range s.runner.runs {
				seen[run.Endpoint.Region] = true
			}
			for region := range seen {
				Expect(allowed).To(ContainElement(region))
			}
			Expect(s.runner.runs).To(HaveLen(40))
		},
		Entry("one of the route", []string{"s"}, nil, "s"),
		Entry("two of the route", []string{"s", "t"}, nil, "s", "t"),
		Entry("one of the workspace", nil, []string{"t"}, "t"),
		Entry("two of the workspace", nil, []string{"t", "s"}, "s", "t"),
		Entry("two of each, with one in common", []string{"n", "s"}, []string{"s", "t"}, "s"),
	)

	It("go to the region that is allowed now when they have waited across a change", func() {
		s := newRegionGateway(responds(http.StatusOK, "done"))
		s.allow([]string{"n"}, nil)
		s.fill("e1", "e2")
		done := make(chan *fakeReply, 1)
		go func() { done <- s.serve(request("read")) }()
		Eventually(s.QueuedRequests).Should(Equal(1))
		s.allow([]string{"s"}, nil)
		var reply *fakeReply
		Eventually(done).Should(Receive(&reply))
		expectResponse(reply, http.StatusOK, "done")
		Expect(s.endpoints()).To(Equal([]string{"e3"}))
	})

	DescribeTable("are not sent to a region that a change has excluded while they were connecting",
		func(routeName string) {
			var s *regionGateway
			connects := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				s.allow([]string{"s"}, nil)
				if err := gate.Open(); err != nil {
					return nil, err
				}
				return responds(http.StatusOK, events)(ctx, gate)
			}
			s = newRegionGateway(connects)
			s.allow([]string{"t"}, nil)
			reply := s.serve(request(routeName))
			Expect(reply.status).To(Equal(http.StatusOK))
			Expect(s.endpoints()).To(Equal([]string{"e4", "e3"}))
		},
		Entry("a booking", "book"),
		Entry("a read", "read"),
		Entry("a stream", "draft"),
	)

	It("are refused as not run while the daemon cannot confirm its catalog after a pause, and others are served", func() {
		s := newRegionGateway(responds(http.StatusOK, "done"))
		s.IsCatalogConfirmed = func() bool { return false }
		expectResponse(s.serve(request("read")), http.StatusOK, "done")
		s.allow([]string{"s"}, nil)
		expectRefused(s.serve(request("read")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(s.runner.runs).To(HaveLen(1))
	})

	It("are not sent by a daemon that was paused while they were connecting", func() {
		var s *regionGateway
		isConfirmed := true
		connects := func(_ context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			isConfirmed = false
			return nil, gate.Open()
		}
		s = newRegionGateway(connects)
		s.IsCatalogConfirmed = func() bool { return isConfirmed }
		s.allow([]string{"t"}, nil)
		expectRefused(s.serve(request("book")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
	})

	It("keep the regions of their workspace on a route without keys", func() {
		s := newRegionGateway(responds(http.StatusOK, "done"))
		s.allow(nil, []string{"t"})
		for i := range s.Catalog().Routes {
			s.Catalog().Routes[i].Anonymous = true
		}
		s.serve(request("read"))
		Expect(s.endpoints()).To(Equal([]string{"e4"}))
		Expect(s.runner.runs[0].Workspace).To(BeEmpty())
	})

	It("do not let others fetch the parts that were computed for them", func() {
		prompt := func() *zpgateway.Request {
			q := request("tag")
			q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 60, OutputTokens: 5, Parts: []zpgateway.Part{{"p0", 20}, {"own", 10}}}
			return q
		}
		salt := func(s *regionGateway) string {
			s.serve(prompt())
			return s.runner.runs[len(s.runner.runs)-1].Salt
		}
		s := newRegionGateway(responds(http.StatusOK, events))
		salts := []string{salt(s)}
		for _, regions := range [][]string{{"s"}, {"s", "t"}} {
			s.allow(regions, nil)
			salts = append(salts, salt(s))
		}
		for i, a := range salts {
			for _, b := range salts[i+1:] {
				Expect(a).NotTo(Equal(b))
			}
		}
		s.allow(nil, []string{"t", "s"})
		Expect(salt(s)).To(Equal(salts[2]))
		s.Weights.SetTarget("m", 2, time.Now())
		Expect(s.IsStalePart(zpparts.Key{Salt: salts[1], Part: "p0"})).To(BeFalse())
	})

	// changesWhileConnecting serves a read that finds another catalog when its connection is
	// established than the one under which it was admitted.
	changesWhileConnecting := func(admittedRoutes, admittedWorkspace []string, change func(c *zpcatalog.Catalog)) (*regionGateway, *fakeReply) {
		var s *regionGateway
		connects := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			c := newCatalog()
			c.Version = 3
			change(c)
			s.catalog.Store(c.BuildIndexes())
			if err := gate.Open(); err != nil {
				return nil, err
			}
			return responds(http.StatusOK, "done")(ctx, gate)
		}
		s = newRegionGateway(connects)
		s.allow(admittedRoutes, admittedWorkspace)
		return s, s.serve(request("read"))
	}

	It("do not run on the pool of their old route in the regions of a route to another pool", func() {
		s, reply := changesWhileConnecting([]string{"t"}, nil, func(c *zpcatalog.Catalog) {
			other := route("all", zpcatalog.KindIdempotent, 2, false)
			other.PathPrefix, other.Regions, other.Shares[0].Pool = "/", []string{"s"}, "other"
			c.Routes = []zpcatalog.Route{other}
		})
		expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(s.endpoints()).To(Equal([]string{"e4"}))
	})

	It("run in the regions that their workspace has now when their key was revoked", func() {
		s, reply := changesWhileConnecting(nil, []string{"t"}, func(c *zpcatalog.Catalog) {
			c.Workspaces[0].Keys, c.Workspaces[0].Regions = []string{"k3"}, []string{"s"}
		})
		expectResponse(reply, http.StatusOK, "done")
		Expect(s.endpoints()).To(Equal([]string{"e4", "e3"}))
	})

	It("do not run outside the regions of the workspace that they are sent for when their key moved to another one", func() {
		s, reply := changesWhileConnecting(nil, []string{"t"}, func(c *zpcatalog.Catalog) {
			c.Workspaces[0].Keys, c.Workspaces[0].Regions = nil, []string{"t"}
			c.Workspaces[1].Keys, c.Workspaces[1].Regions = []string{"k"}, []string{"s"}
		})
		expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(s.endpoints()).To(Equal([]string{"e4"}))
	})

	It("are sent with the salt of the regions that are allowed now", func() {
		var s *regionGateway
		connects := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			s.allow([]string{"n"}, nil)
			if err := gate.Open(); err != nil {
				return nil, err
			}
			return responds(http.StatusOK, events)(ctx, gate)
		}
		s = newRegionGateway(connects)
		q := request("tag")
		q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 60, OutputTokens: 5, Parts: []zpgateway.Part{{"p0", 20}, {"own", 10}}}
		s.serve(q)
		last := s.runner.runs[len(s.runner.runs)-1]
		Expect(last.Endpoint.Region).To(Equal("n"))
		Expect(last.Salt).To(Equal(sharedSalt + "@n"))
	})
})
