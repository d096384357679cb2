package zpretry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
)

var _ = Describe("Budget", func() {
	It("does not amplify an overload in which every first attempt fails", func() {
		b := &zpretry.Budget{Ratio: 0.1, Burst: 10}
		retries := 0
		for range 1000 {
			b.RecordAttempt()
			if b.Take() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 110))
	})

	It("allows a burst, then a share of the first attempts", func() {
		b := &zpretry.Budget{Ratio: 0.5, Burst: 2}
		Expect([]bool{b.Take(), b.Take(), b.Take()}).To(Equal([]bool{true, true, false}))
		b.RecordAttempt()
		Expect(b.Take()).To(BeFalse())
		b.RecordAttempt()
		Expect(b.Take()).To(BeTrue())
	})

	It("is separate for each workspace", func() {
		book := &zpretry.Budgets{Ratio: 0, Burst: 1}
		Expect(book.For("a", "p").Take()).To(BeTrue())
		Expect(book.For("a", "p").Take()).To(BeFalse())
		Expect(book.For("b", "p").Take()).To(BeTrue())
	})
})

var _ = Describe("Backoff", func() {
	DescribeTable("doubles its upper limit with each retry",
		func(n int, limit time.Duration) {
			random := rand.New(rand.NewPCG(1, 1))
			maxDelay := time.Duration(0)
			for range 1000 {
				maxDelay = max(maxDelay, zpretry.Backoff(50*time.Millisecond, n, random))
			}
			Expect(maxDelay).To(And(BeNumerically("<", limit), BeNumerically(">", limit*9/10)))
		},
		Entry("first", 1, 50*time.Millisecond),
		Entry("second", 2, 100*time.Millisecond),
		Entry("fourth", 4, 400*time.Millisecond),
	)

	It("is zero for a base of zero", func() {
		Expect(zpretry.Backoff(0, 1, rand.New(rand.NewPCG(1, 1)))).To(BeZero())
	})
})
