package e2e_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsoak"
)

const soakSiteNumber = 60

var _ = Describe("Fault soak on the users' platform", func() {
	DescribeTable("keeps the promises",
		func(ctx context.Context, seed uint64, isOutOfStep bool) {
			outcome, err := zpsoak.Run(ctx, zpsoak.Config{
				Seed: seed, Length: 25 * time.Second, BinDir: binDir, Dir: GinkgoT().TempDir(), Number: soakSiteNumber,
				Daemons: 6, Endpoints: 6, Callers: 6,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome.Violations).To(BeEmpty())
			Expect(outcome.Served).To(BeNumerically(">", outcome.Requests/2))
			Expect(outcome.TakenUp.Newer > 0).To(Equal(isOutOfStep), "%s", outcome.TakenUp)
		},
		// Guards against refusing a request everywhere for minutes because identical
		// requests of many callers were in flight at two crashes.
		Entry("seed 1", uint64(1), false),
		Entry("seed 3, a stream is not joined of two software versions when it is taken up at a daemon that is out of step", uint64(3), true),
	)
})
