package zpgateway_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("A catalog that is not confirmed", func() {
	DescribeTable("refuses for good nothing that a newer catalog may list",
		func(change func(q *zpgateway.Request), confirmed int) {
			g := newTestGateway()
			q := request("read")
			change(q)
			expectRefused(g.serve(q), confirmed, zperror.RunStateNotRun)
			g.IsCatalogConfirmed = func() bool { return false }
			reply := g.serve(q)
			expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
			Expect(reply.refused.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("a route", func(q *zpgateway.Request) { q.Path = "/none/" }, http.StatusNotFound),
		Entry("a key", func(q *zpgateway.Request) { q.APIKey = "none" }, http.StatusUnauthorized),
	)
})
