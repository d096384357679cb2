package zpsettings_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

const validSettings = `
name: entry-0
region: north
failure_domain: a
platform:
  address: http://127.0.0.1:7000
  region: north
peers:
  insecure: true
lease:
  duration_ms: 6000
retry:
  budget_ratio: 0.25
`

// expectFault checks that Parse reports exactly one fault, with this line and key
// and with a remedy.
func expectFault(text string, line int, key string) {
	GinkgoHelper()
	_, faults := zpsettings.Parse([]byte(text))
	Expect(faults).To(HaveLen(1))
	Expect(faults[0].Line).To(Equal(line))
	Expect(faults[0].Key).To(Equal(key))
	Expect(faults[0].Remedy).NotTo(BeEmpty())
}

var _ = Describe("Parse", func() {
	It("overrides the defaults with the values of the file", func() {
		s, faults := zpsettings.Parse([]byte(validSettings))
		Expect(faults).To(BeEmpty())
		Expect(s.Name).To(Equal("entry-0"))
		Expect(s.Lease.Duration).To(Equal(6 * time.Second))
		Expect(s.Retry.BudgetRatio).To(Equal(0.25))
		Expect(s.Callers.MaxBodyBytes).To(Equal(zpsettings.Defaults().Callers.MaxBodyBytes))
	})

	DescribeTable("reports the line, key and remedy of a fault",
		func(addition string, line int, key string) { expectFault(validSettings+addition, line, key) },
		Entry("unknown key", "nonsense: 1\n", 14, "nonsense"),
		Entry("unknown nested key", "drain:\n  nonsense: 1\n", 15, "drain.nonsense"),
		Entry("not a number", "drain:\n  notice_ms: soon\n", 15, "drain.notice_ms"),
		Entry("negative", "drain:\n  notice_ms: -1\n", 15, "drain.notice_ms"),
		Entry("not IP:PORT", "callers:\n  listen: here\n", 15, "callers.listen"),
		Entry("unknown policy", "routing:\n  policy: random\n", 15, "routing.policy"),
		Entry("maximum age too short", "config:\n  max_age_ms: 100\n", 15, "config.max_age_ms"),
	)

	It("lists every fault at once", func() {
		_, faults := zpsettings.Parse([]byte("name: x\nnonsense: 1\n"))
		Expect(len(faults)).To(BeNumerically(">=", 5))
		Expect(zpsettings.FaultError(faults)).To(MatchError(ContainSubstring("remedy")))
	})

	It("requires mutual TLS unless peers.insecure is set", func() {
		_, faults := zpsettings.Parse([]byte("name: x\nregion: r\nfailure_domain: a\nplatform:\n  address: http://1.1.1.1:1\n  region: r\n"))
		Expect(faults).To(HaveLen(1))
		Expect(faults[0].Key).To(Equal("peers.ca_file"))
	})

	It("reports invalid YAML", func() {
		_, faults := zpsettings.Parse([]byte("name: [\n"))
		Expect(faults).NotTo(BeEmpty())
	})
})

var _ = Describe("Page", func() {
	It("names every key once", func() {
		seen := map[string]bool{}
		for _, f := range zpsettings.Fields(zpsettings.Defaults()) {
			Expect(seen).NotTo(HaveKey(f.Key))
			seen[f.Key] = true
			Expect(zpsettings.Page()).To(ContainSubstring("| `" + f.Key + "` |"))
			Expect(f.Doc).NotTo(BeEmpty())
		}
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("a: &x [*x]\n"))
	f.Add([]byte("- 1\n- 2\n"))
	f.Fuzz(func(_ *testing.T, text []byte) { zpsettings.Parse(text) })
}
