package zpbench

import (
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zpbench")
}

var _ = Describe("prove", func() {
	It("refuses the name of a proof that there is not, instead of proving nothing", func() {
		err := (&proveCommand{Only: []string{"configuration", "configurations"}}).Run(&console{out: io.Discard})
		Expect(err).To(MatchError(ContainSubstring(`no proof "configurations"`)))
	})
})
