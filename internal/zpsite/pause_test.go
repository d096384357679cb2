package zpsite_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

var _ = Describe("Process", func() {
	It("writes nothing while it is paused, and goes on when resumed", func() {
		p := &zpsite.Process{Name: "counter", Path: "/bin/sh", Args: []string{"-c", "while :; do echo x; done"}, Dir: GinkgoT().TempDir()}
		Expect(p.Start()).To(Succeed())
		DeferCleanup(p.Kill)
		written := func() int { return len(p.Log()) }
		Eventually(written).Should(BeNumerically(">", 0))
		for range 10 {
			Expect(p.Pause()).To(Succeed())
			before := written()
			Consistently(written, "20ms").Should(Equal(before))
			Expect(p.Resume()).To(Succeed())
			Eventually(written).Should(BeNumerically(">", before))
		}
	})
})
