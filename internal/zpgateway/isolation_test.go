package zpgateway_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

// isolate applies a configuration with the workspaces "one", "two" and "three", whose keys
// are their names, of which the named ones are isolated.
func (s *regionGateway) isolate(names ...string) {
	c := newCatalog()
	c.Version, c.Workspaces = s.catalog.Load().Version+1, nil
	for _, name := range []string{"one", "two", "three"} {
		c.Workspaces = append(c.Workspaces, zpcatalog.Workspace{
			Name: name, Keys: []string{name}, Priority: zpcatalog.NoPriority, Isolated: slices.Contains(names, name),
		})
	}
	s.catalog.Store(c.BuildIndexes())
}

// saltOf sends a prompt of a workspace and returns its salt.
func (s *regionGateway) saltOf(workspace string) string {
	GinkgoHelper()
	q := request("tag")
	q.APIKey = workspace
	q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 60, OutputTokens: 5, Parts: []zpgateway.Part{{ID: "p0", Tokens: 20}, {ID: "own", Tokens: 10}}}
	expectResponse(s.serve(q), http.StatusOK, events)
	return s.runner.runs[len(s.runner.runs)-1].Salt
}

var _ = Describe("A workspace that becomes isolated", func() {
	// Guards against parts that a workspace made before it was isolated and others go on using.
	It("leaves no parts that it has made to others", func() {
		s := newRegionGateway(responds(http.StatusOK, events))
		s.isolate()
		before := s.saltOf("one")
		Expect(s.saltOf("two")).To(Equal(before))
		s.isolate("one")
		Expect(s.saltOf("one")).NotTo(Equal(before))
		Expect(s.saltOf("two")).NotTo(BeElementOf(before, s.saltOf("one")))
		Expect(s.saltOf("two")).To(Equal(s.saltOf("three")))
	})

	It("is not given parts that others made while it was isolated, when it is isolated again", func() {
		s := newRegionGateway(responds(http.StatusOK, events))
		s.isolate("one")
		isolated, others := s.saltOf("one"), s.saltOf("two")
		s.isolate()
		Expect(s.saltOf("one")).NotTo(BeElementOf(isolated, others))
		s.isolate("one")
		Expect(s.saltOf("one")).To(Equal(isolated))
		Expect(s.saltOf("two")).To(Equal(others))
	})

	It("separates the parts of each set of workspaces that share", func() {
		s := newRegionGateway(responds(http.StatusOK, events))
		salts := map[string]bool{}
		for _, isolated := range [][]string{nil, {"one"}, {"two"}, {"one", "two"}} {
			s.isolate(isolated...)
			salts[s.saltOf("three")] = true
		}
		Expect(salts).To(HaveLen(4))
	})

	It("uses parts of its own for requests that were admitted before", func() {
		var s *regionGateway
		connects := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			s.isolate("one")
			if err := gate.Open(); err != nil {
				return nil, err
			}
			return responds(http.StatusOK, events)(ctx, gate)
		}
		s = newRegionGateway(connects, responds(http.StatusOK, events))
		s.isolate()
		admitted := s.saltOf("one")
		Expect(s.runner.runs).To(HaveLen(2)) // the first was withdrawn before it was sent
		Expect(s.saltOf("one")).To(Equal(admitted))
		Expect(s.saltOf("two")).NotTo(Equal(admitted))
	})

	// Guards against parts of a workspace that is renamed and isolated while its request is
	// on its way: they were shared under the name that nobody has any more.
	DescribeTable("shares no parts of requests that were admitted when its key had another workspace",
		func(change func(c *zpcatalog.Catalog)) {
			var s *regionGateway
			connects := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				c := newCatalog()
				c.Version, c.Workspaces = s.catalog.Load().Version+1, slices.Clone(s.catalog.Load().Workspaces)
				change(c)
				s.catalog.Store(c.BuildIndexes())
				if err := gate.Open(); err != nil {
					return nil, err
				}
				return responds(http.StatusOK, events)(ctx, gate)
			}
			s = newRegionGateway(connects, responds(http.StatusOK, events))
			s.isolate()
			admitted := s.saltOf("one")
			Expect(s.runner.runs).To(HaveLen(2)) // the first was withdrawn before it was sent
			Expect(admitted).NotTo(BeElementOf(s.saltOf("two"), s.saltOf("three")))
		},
		Entry("renamed and isolated", func(c *zpcatalog.Catalog) { c.Workspaces[0].Name, c.Workspaces[0].Isolated = "renamed", true }),
		Entry("its key moved to an isolated workspace", func(c *zpcatalog.Catalog) {
			c.Workspaces[0].Keys = nil
			c.Workspaces = append(c.Workspaces, zpcatalog.Workspace{Name: "four", Keys: []string{"one"}, Priority: zpcatalog.NoPriority, Isolated: true})
		}),
		Entry("removed", func(c *zpcatalog.Catalog) { c.Workspaces = c.Workspaces[1:] }),
	)

	// Guards against a daemon that has missed the change, as after a freeze, and goes on
	// sharing parts of a workspace that is isolated.
	It("shares no parts through a daemon that cannot confirm its configuration", func() {
		s := newRegionGateway(responds(http.StatusOK, events))
		s.isolate()
		for i := range s.Catalog().Routes {
			s.Catalog().Routes[i].Anonymous = true
		}
		shared := s.saltOf("one")
		s.IsCatalogConfirmed = func() bool { return false }
		unconfirmed := s.saltOf("one")
		Expect(unconfirmed).NotTo(BeElementOf(shared, s.saltOf("two"), s.saltOf("nobody")))
		Expect(s.saltOf("one")).To(Equal(unconfirmed))
		Expect(s.saltOf("two")).NotTo(BeElementOf(shared, s.saltOf("three"), s.saltOf("nobody")))
		Expect(s.saltOf("nobody")).NotTo(Equal(shared))
		s.IsCatalogConfirmed = func() bool { return true }
		Expect(s.saltOf("two")).To(Equal(shared))
	})

	It("has another salt than a model whose name ends with its name", func() {
		s := newRegionGateway(responds(http.StatusOK, events))
		s.isolate("one")
		own := s.saltOf("one")
		list := s.Registry.AllInPool("pool", s.Clock())
		for i := range list {
			list[i].Weights = map[string]int64{"m.one": 1}
		}
		s.Registry.Replace(list, s.Clock())
		q := request("tag")
		q.APIKey = "two"
		q.Prompt = &zpgateway.Prompt{Model: "m.one", Tokens: 30, OutputTokens: 5, Parts: []zpgateway.Part{{ID: "p0", Tokens: 20}, {ID: "own", Tokens: 10}}}
		s.isolate()
		s.serve(q)
		Expect(s.runner.runs[len(s.runner.runs)-1].Salt).NotTo(Equal(own))
	})

	// Guards against stores that fill up with parts that no request may use.
	It("has the parts freed that nobody uses any more, after some time", func() {
		s := newRegionGateway(responds(http.StatusOK, events))
		now := s.Clock()
		s.Clock = func() time.Time { return now }
		isStale := func(salt string) bool { return s.IsStalePart(zpparts.Key{Salt: salt, Part: "p0"}) }
		s.isolate("one")
		isolated, others := s.saltOf("one"), s.saltOf("two")
		s.isolate()
		shared := s.saltOf("two")
		for _, step := range []time.Duration{0, 20 * time.Second} {
			now = now.Add(step)
			Expect(isStale(isolated)).To(BeFalse())
			Expect(isStale(others)).To(BeFalse())
		}
		now = now.Add(15 * time.Second)
		Expect(isStale(isolated)).To(BeTrue())
		Expect(isStale(others)).To(BeTrue())
		Expect(isStale(shared)).To(BeFalse())
		s.isolate("one")
		Expect(isStale(isolated)).To(BeFalse())
		Expect(isStale(others)).To(BeFalse())
	})
})
