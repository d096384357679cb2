package zpcatalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
)

var _ = Describe("RegionFilter", func() {
	DescribeTable("allows a region only if route and workspace both do",
		func(route, workspace []string, allowed bool) {
			Expect(zpcatalog.RegionFilter{Route: route, Workspace: workspace}.Allows("n")).To(Equal(allowed))
		},
		Entry("neither lists regions", nil, nil, true),
		Entry("both list the region", []string{"n"}, []string{"n", "s"}, true),
		Entry("only the route lists other regions", []string{"s"}, nil, false),
		Entry("the workspace lists other regions", []string{"n"}, []string{"s"}, false),
	)

	DescribeTable("names the allowed regions",
		func(route, workspace []string, name string) {
			Expect(zpcatalog.RegionFilter{Route: route, Workspace: workspace}.String()).To(Equal(name))
		},
		Entry("neither lists regions", nil, nil, ""),
		Entry("only the route lists regions", []string{"s", "n"}, nil, "n+s"),
		Entry("only the workspace lists regions", nil, []string{"n"}, "n"),
		Entry("both list regions", []string{"n", "s"}, []string{"s", "t"}, "s"),
		Entry("they have no region in common", []string{"n"}, []string{"s"}, "none"),
	)

	It("is restricted by the lists of an older catalog, too", func() {
		f := zpcatalog.RegionFilter{Route: []string{"n", "s"}, Admitted: [][]string{nil, {"s", "t"}}}
		Expect(f.String()).To(Equal("s"))
		Expect(f.Allows("n")).To(BeFalse())
		Expect(zpcatalog.RegionFilter{Admitted: [][]string{{"s"}}}.IsEmpty()).To(BeFalse())
		Expect(zpcatalog.RegionFilter{Admitted: [][]string{nil}}.IsEmpty()).To(BeTrue())
	})
})

var _ = Describe("CacheScope", func() {
	scope := func(workspaces ...zpcatalog.Workspace) string {
		return (&zpcatalog.Catalog{Workspaces: workspaces}).BuildIndexes().CacheScope()
	}
	a, b := zpcatalog.Workspace{Name: "a", Isolated: true}, zpcatalog.Workspace{Name: "b", Isolated: true}

	It("is empty if no workspace is isolated", func() { Expect(scope(zpcatalog.Workspace{Name: "a"})).To(BeEmpty()) })

	It("depends on the isolated workspaces only, in any order", func() {
		Expect(scope(a, b)).To(Equal(scope(b, zpcatalog.Workspace{Name: "c"}, a)))
		Expect(scope(a)).NotTo(BeElementOf("", scope(b), scope(a, b)))
		Expect(scope(zpcatalog.Workspace{Name: "ab", Isolated: true})).NotTo(Equal(scope(a, b)))
	})
})

var _ = Describe("Catalog.RecordMoves", func() {
	first, second := time.Unix(1000, 0), time.Unix(1001, 0)

	catalogWith := func(shares ...zpcatalog.Share) *zpcatalog.Catalog {
		return (&zpcatalog.Catalog{Routes: []zpcatalog.Route{{Name: "r", Shares: shares}}}).BuildIndexes()
	}
	a, b := zpcatalog.Share{Pool: "a", Weight: 1}, zpcatalog.Share{Pool: "b", Weight: 2}

	DescribeTable("tells when a route was moved",
		func(next *zpcatalog.Catalog, movedAt time.Time) {
			before := catalogWith(a)
			before.Routes[0].MovedAt = first
			next.RecordMoves(before, second)
			Expect(next.Routes[0].MovedAt).To(Equal(movedAt))
		},
		Entry("to another pool", catalogWith(b), second),
		Entry("to one more pool", catalogWith(b, a), second),
		Entry("not at all", catalogWith(a, zpcatalog.Share{Pool: "b"}), first),
	)

	It("knows of no move in the first catalog, nor of a new route", func() {
		c := catalogWith(a)
		c.RecordMoves(nil, second)
		c.RecordMoves(&zpcatalog.Catalog{}, second)
		Expect(c.Routes[0].MovedAt).To(BeZero())
	})

	It("tells since when a pool has served its routes", func() {
		c := catalogWith(a)
		_, ok := c.ServesSince("b")
		Expect(ok).To(BeFalse())
		c.RecordMoves(catalogWith(b), second)
		movedAt, ok := c.ServesSince("a")
		Expect(ok).To(BeTrue())
		Expect(movedAt).To(Equal(second))
	})
})
