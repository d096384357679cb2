package zpgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
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

	// Guards against sound streams that are cut off because of how their endpoints number events.
	DescribeTable("are all forwarded, once the numbering of a pool is known",
		func(route string, from, to, leaveOut int) {
			var ids []string
			for i := from; i <= to; i++ {
				if i != leaveOut {
					ids = append(ids, fmt.Sprint(i))
				}
			}
			sound := numberedEvents(ids...)
			s := newTestGateway(responds(http.StatusOK, sound))
			for range 5 {
				s.serve(request(route))
			}
			for range 30 {
				expectResponse(s.serve(request(route)), http.StatusOK, sound)
			}
		},
		Entry("it begins at 0", "draft", 0, 60, -1),
		Entry("it begins elsewhere", "draft", 100, 160, -1),
		Entry("it leaves out an id now and then", "draft", 1, 60, 31),
		Entry("it leaves out an id now and then, in streams that may be resumed", "tag", 1, 60, 31),
	)

	It("may begin at any id", func() {
		sound := numberedEvents("100", "101")
		expectResponse(newTestGateway(responds(http.StatusOK, sound)).serve(request("draft")), http.StatusOK, sound)
	})

	// Guards against a sound stream that is cut off as its caller names an event on a route whose streams cannot be resumed.
	DescribeTable("follow the endpoint on a route whose streams cannot be resumed",
		func(ids ...string) {
			sound := numberedEvents(ids...)
			q := resumedRequest("2", "r1")
			q.Path = "/draft/1"
			expectResponse(newTestGateway(responds(http.StatusOK, sound)).serve(q), http.StatusOK, sound)
		},
		Entry("it goes on", "3", "4"),
		Entry("it starts again", "1", "2", "3"),
	)

	// Guards against sound streams that are cut off by the check of their order.
	DescribeTable("are forwarded as they are",
		func(body string, change ...func(*zpgateway.Response)) {
			expectResponse(newTestGateway(responds(http.StatusOK, body, change...)).serve(request("draft")), http.StatusOK, body)
			r := newTestGateway(responds(http.StatusOK, body, change...)).serve(request("tag"))
			expectResponse(r, http.StatusOK, body)
		},
		Entry("split over reads", all, func(a *zpgateway.Response) { a.Body = io.NopCloser(iotest.OneByteReader(strings.NewReader(all))) }),
		Entry("with CR LF", strings.ReplaceAll(all, "\n", "\r\n")),
		Entry("with a line in front that names weights", "id: 1\ndata: x\n\nweight-versions: 2\nid: 2\ndata: x\n\n"),
		Entry("with the id last, or without a space", "data: x\nid: 1\n\nid:2\ndata: x\n\n"),
		Entry("with data that looks like an id", "id: 1\ndata: id: 9\ndata: id: 9\n\n"),
	)

	It("may end after the last event that the caller has", func() {
		s := newTestGateway(responds(http.StatusOK, ""))
		expectResponse(s.serve(resumedRequest("4", "r1")), http.StatusOK, "")
		Expect(s.runner.runs).To(HaveLen(1))
	})

	It("of two streams of one caller do not mix", func() {
		s := newTestGateway(responds(http.StatusOK, all))
		expectResponse(s.serve(request("tag")), http.StatusOK, all)
		expectResponse(s.serve(request("tag")), http.StatusOK, all)
		Expect(s.runner.runs).To(HaveLen(2))
	})

	// Guards against a retry after silence that repeats events, or is taken for a stream that goes on.
	It("begin anew after an endpoint that was silent", func() {
		s := newTestGateway(neverResponds, responds(http.StatusOK, numberedEvents("1", "2")))
		q := request("tag")
		q.Timeout = 5 * time.Second
		expectResponse(s.serve(q), http.StatusOK, numberedEvents("1", "2"))
		Expect(s.runner.runs[1].ResumeAfter).To(BeEmpty())
	})

	DescribeTable("go on from the last whole one where the endpoint broke off inside an event",
		func(broken string) {
			s := newTestGateway(resetsAfter(numberedEvents("1", "2")+broken), responds(http.StatusOK, numberedEvents("3", "4")))
			expectResponse(s.serve(request("tag")), http.StatusOK, all)
			Expect(s.runner.runs[1].ResumeAfter).To(Equal("2"))
		},
		Entry("in its id", "id: 3"),
		Entry("before its end", "id: 3\ndata: x\n"),
		Entry("after a line that names weights", "weight-versions: 2\n"),
	)
})
