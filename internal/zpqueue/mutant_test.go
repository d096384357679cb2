//go:build zpmutant

package zpqueue_test

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

var _ = Describe("Without the fair queue", func() {
	It("a flood of one workspace costs another its requests", func() {
		Expect(os.Setenv(zpmutant.Variable, string(zpmutant.FairQueue))).To(Succeed())
		DeferCleanup(os.Unsetenv, zpmutant.Variable)
		Expect(playFlood()["quiet"]).To(BeNumerically(">", 0))
	})
})
