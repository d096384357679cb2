package zpgateway_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// numberedEvents returns events with the given ids.
func numberedEvents(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %s\ndata: x\n\n", id)
	}
	return b.String()
}

var _ = Describe("The events of a stream", func() {
	all := numberedEvents("1", "2", "3", "4")

	// Guards against events that come twice, are missing or go back at the seam of two runs.
	DescribeTable("go on where the stream broke off, or at another endpoint",
		func(wrong ...string) {
			s := newTestGateway(resetsAfter(numberedEvents("1", "2")), responds(http.StatusOK, numberedEvents(wrong...)), responds(http.StatusOK, numberedEvents("3", "4")))
			q := request("tag")
			r := s.serve(q)
			Expect(all).To(HavePrefix(r.body.String()), "what the caller has is a part of the stream")
			Expect(r.aborted).To(Equal(r.body.String() != all))
		},
		Entry("the run starts again", "1", "2", "3", "4"),
		Entry("the run repeats the last event", "2", "3", "4"),
		Entry("the run leaves an event out", "4"),
		Entry("an id is no number", "three", "4"),
		Entry("an id is written in another way", "3", "03", "4"),
		Entry("an id comes twice", "3", "3", "4"),
		Entry("an event has two ids", "3\nid: 4"),
	)

	// Guards against the rest of a stream that does not follow what the caller has from another daemon.
	DescribeTable("go on where the caller's earlier attempt broke off, or at another endpoint",
		func(wrong ...string) {
			s := newTestGateway(responds(http.StatusOK, numberedEvents(wrong...)), responds(http.StatusOK, numberedEvents("3", "4")))
			r := s.serve(resumedRequest("2", "r1"))
			expectResponse(r, http.StatusOK, numberedEvents("3", "4"))
			Expect(s.runner.runs).To(HaveLen(2))
		},
		Entry("the run starts again", "1", "2", "3", "4"),
		Entry("the run repeats the last event", "2", "3", "4"),
		Entry("the run leaves an event out", "4"),
	)

	// Guards against an event that is missing in a run that was not resumed.
	It("are not forwarded after one is missing", func() {
		s := newTestGateway(responds(http.StatusOK, numberedEvents("1", "2", "4")), responds(http.StatusOK, numberedEvents("3", "4")))
		expectResponse(s.serve(request("tag")), http.StatusOK, all)
	})

	It("may leave out ids in a pool whose endpoints do so", func() {
		sparse := numberedEvents("10", "20", "30")
		s := newTestGateway(responds(http.StatusOK, sparse))
		for range 5 {
			s.serve(request("draft"))
		}
		expectResponse(s.serve(request("draft")), http.StatusOK, sparse)
	})

	// Guards against runs that leave events out when they resume streams, taken for the numbering of the pool.
	It("go on where the stream broke off although an endpoint has left events out many times", func() {
		s := newTestGateway(responds(http.StatusOK, numberedEvents("4")))
		for range 10 {
			expectNotComplete(s.serve(resumedRequest("2", "r1")))
		}
	})

	It("may have any id after one that is no number", func() {
		s := newTestGateway(responds(http.StatusOK, numberedEvents("7", "8")))
		expectResponse(s.serve(resumedRequest("the-sixth", "r1")), http.StatusOK, numberedEvents("7", "8"))
	})

	// Guards against a stream that cannot be resumed and ends in a run that goes back.
	It("break off where they go back in a stream that cannot be resumed", func() {
		s := newTestGateway(responds(http.StatusOK, numberedEvents("1", "2", "1", "2")))
		r := s.serve(request("draft"))
		Expect(r.body.String()).To(Equal(numberedEvents("1", "2")))
		Expect(r.aborted).To(BeTrue())
	})
})
