package zpengine_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
)

var _ = Describe("Gate", func() {
	It("does not open after the caller has disconnected", func() {
		g := newGate()
		g.HasCallerLeft = func() bool { return true }
		Expect(g.Open()).To(MatchError(zpengine.ErrCallerDisconnected))
		Expect(g.Sent()).To(BeFalse())
	})

	It("stays open once a byte was sent", func() {
		g := newGate()
		Expect(g.Open()).To(Succeed())
		g.HasCallerLeft = func() bool { return true }
		Expect(g.Close()).To(BeFalse())
		Expect(g.Open()).To(Succeed())
	})

	It("stays closed", func() {
		g := newGate()
		Expect(g.Close()).To(BeTrue())
		Expect(g.Close()).To(BeTrue())
		Expect(g.Open()).To(MatchError(zpengine.ErrCallerDisconnected))
		Expect(g.Sent()).To(BeFalse())
	})

	It("is either opened or closed when both happen concurrently", func() {
		for range 200 {
			g := newGate()
			var opened, shut bool
			var both sync.WaitGroup
			both.Go(func() { opened = g.Open() == nil })
			both.Go(func() { shut = g.Close() })
			both.Wait()
			Expect(opened).NotTo(Equal(shut))
			Expect(g.Sent()).To(Equal(opened))
		}
	})
})
