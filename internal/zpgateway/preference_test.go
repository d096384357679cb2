package zpgateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

var _ = Describe("Daemons with the same view", func() {
	It("prefer different engines, also after the list of engines has changed", func() {
		first, second := map[string]int{}, map[string]int{}
		for i := range 20 {
			s := newTestGateway(responds(http.StatusOK, events))
			s.Cold = &zpplace.ColdLimiter{Self: fmt.Sprint("d", i)}
			choose := func() string {
				q := request("draft")
				q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 400, OutputTokens: 5, Parts: []zpgateway.Part{{ID: "own", Tokens: 400}}}
				expectResponse(s.serve(q), http.StatusOK, events)
				return s.runner.runs[len(s.runner.runs)-1].Endpoint.ID
			}
			first[choose()]++
			s.Registry.Replace(s.Registry.AllInPool("pool", time.Now())[1:], time.Now())
			second[choose()]++
		}
		Expect(first).To(HaveLen(3))
		Expect(second).To(HaveLen(2))
		Expect(second).NotTo(HaveKey("e1"))
	})
})
