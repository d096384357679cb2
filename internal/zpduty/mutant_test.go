//go:build zpmutant

package zpduty_test

import (
	"math/rand/v2"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var _ = Describe("Lease in a store that comes back from older copies", Label("mutant"), func() {
	turnOff := func(n zpmutant.Name) {
		GinkgoHelper()
		Expect(os.Setenv(zpmutant.Variable, string(n))).To(Succeed())
		DeferCleanup(os.Unsetenv, zpmutant.Variable)
	}

	It("lets a token decrease if tokens do not contain the era", func() {
		turnOff(zpmutant.EraOrder)
		failures := InterceptGomegaFailures(func() {
			for seed := range uint64(500) {
				simulate(rand.New(rand.NewPCG(seed, 2)), true)
			}
		})
		Expect(failures).NotTo(BeEmpty())
	})

	It("is held in a later era if leases of an earlier one are kept", func() {
		turnOff(zpmutant.EraLease)
		l := newLease("a")
		l.SetEra(1, at(-10_000))
		acquire(l, zpobject.QualifyRevision(1, 7), start)
		l.SetEra(2, at(100))
		expectHeld(l, at(100), true)
	})
})
