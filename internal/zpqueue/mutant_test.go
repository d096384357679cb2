//go:build zpmutant

package zpqueue_test

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
)

var _ = Describe("A flood of requests with fair queueing turned off", func() {
	It("lets requests of another workspace expire", func() {
		Expect(os.Setenv(zpmutant.Variable, string(zpmutant.FairQueue))).To(Succeed())
		DeferCleanup(os.Unsetenv, zpmutant.Variable)
		Expect(simulateFlood()["quiet"]).To(BeNumerically(">", 0))
	})
})
