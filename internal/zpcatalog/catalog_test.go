package zpcatalog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
)

var _ = Describe("RegionFilter", func() {
	DescribeTable("binds by route and workspace",
		func(route, workspace []string, allowed bool) {
			Expect(zpcatalog.RegionFilter{Route: route, Workspace: workspace}.Allows("n")).To(Equal(allowed))
		},
		Entry("neither names a region", nil, nil, true),
		Entry("both name it", []string{"n"}, []string{"n", "s"}, true),
		Entry("the route does not", []string{"s"}, nil, false),
		Entry("the workspace does not", []string{"n"}, []string{"s"}, false),
	)
})
