package zpapp

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
)

var _ = Describe("What a daemon has seen of the endpoints", func() {
	var w *listeningDaemon

	BeforeEach(func() { w = newListeningDaemon() })

	// Guards against versions that came and went while a daemon that had started could not read the endpoints yet.
	DescribeTable("begins with its first list, if the store does not answer when it starts",
		func(isFirstStart bool) {
			w.Node.FirstStart = isFirstStart
			listedAt := w.startedAt.Add(20 * time.Second)
			w.endpointGap.listed(0, listedAt)
			Expect(w.seesSince()).To(Equal(listedAt))
		},
		Entry("again", false),
		Entry("for the first time with the fleet", true),
	)

	It("is everything, if it reads the endpoints when the fleet starts for the first time", func() {
		w.Node.FirstStart = true
		w.endpointGap.listed(0, w.startedAt.Add(time.Second))
		Expect(w.seesSince()).To(BeZero())
	})

	It("is nothing before its first list", func() {
		Expect(w.seesSince()).To(BeTemporally(">=", w.startedAt))
		time.Sleep(20 * time.Millisecond)
		Expect(w.seesSince()).To(BeTemporally(">", w.startedAt.Add(10*time.Millisecond)))
	})

	It("begins anew with a list after a failed watch, until the changes in between were read", func() {
		first, again := w.startedAt.Add(time.Second), w.startedAt.Add(30*time.Second)
		w.endpointGap.listed(0, first)
		w.endpointGap.listed(7, again)
		Expect(w.seesSince()).To(Equal(again))
		w.endpointGap.close(again)
		Expect(w.seesSince()).To(Equal(first))
	})

	// Guards against a second read of the store for each stream, long after the history of a gap is gone.
	It("has no gap any more once the streams of that time have ended", func() {
		until := w.startedAt.Add(time.Second)
		w.endpointGap.listed(0, w.startedAt)
		w.endpointGap.listed(7, until)
		from, _ := w.endpointGap.last(until.Add(zporigin.Retention - time.Second))
		Expect(from).To(BeEquivalentTo(7))
		from, _ = w.endpointGap.last(until.Add(zporigin.Retention))
		Expect(from).To(BeZero())
	})
})
