package zpexplain_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpexplain"
)

const logLines = `  3.1000 front-a-1 {"event":504,"msg":"endpoint left","endpoint":"i-1"}
  3.2000 front-a-1 {"event":504,"msg":"endpoint left","endpoint":"i-9"}
  3.3000 front-b-1 {"event":305,"msg":"the store does not answer"}
  4.0000 front-a-1 {"event":402,"msg":"request sent to an endpoint","request":"r1","endpoint":"i-1","cost_ms":12}
  4.1000 front-a-1 {"event":402,"msg":"request sent to an endpoint","request":"r2","endpoint":"i-2"}
  4.2000 front-a-1 {"event":400,"msg":"request failed","request":"r1","code":"endpoint_failed"}
panic: not a line of the log
  4.3000 front-a-1 {"event":
`

func explain(request string) string {
	GinkgoHelper()
	lines, err := zpexplain.Read(strings.NewReader(logLines), "kept.log")
	Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	Expect(zpexplain.Explain(request, lines).Write(&out)).To(Succeed())
	return out.String()
}

var _ = Describe("Explain", func() {
	It("prints a request's lines and the state changes of its endpoints on the same daemon", func() {
		story := explain("r1")
		Expect(strings.Count(story, "\n")).To(Equal(3))
		Expect(story).To(MatchRegexp(`(?s)endpoint left.*i-1.*request sent.*cost_ms=12.*endpoint_failed`))
		Expect(story).NotTo(ContainSubstring("i-9"))
		Expect(story).NotTo(ContainSubstring("store does not answer"))
	})

	It("prints a remedy when no line names the request", func() {
		Expect(explain("r7")).To(ContainSubstring("remedy"))
	})
})
