package zpgateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// endsWithConnection marks a response whose body has no other end than that of its connection.
func endsWithConnection(a *zpgateway.Response) { a.EndsWithConnection = true }

var _ = Describe("A response that ends with its connection", func() {
	// firstEvent is the first of the events of a complete stream.
	firstEvent := events[:len(events)/2]

	// newCrashed returns a gateway whose endpoints accept no connections any more.
	newCrashed := func(steps ...step) testGateway {
		s := newTestGateway(steps...)
		s.IsRefusing = func(context.Context, string, time.Duration) bool { return true }
		return s
	}

	// Guards against an endpoint that crashes between two events and whose VM closes the connection.
	DescribeTable("is not complete if its endpoint accepts no connections any more",
		func(route, body string) {
			expectNotComplete(newCrashed(responds(http.StatusOK, body, endsWithConnection)).serve(request(route)))
		},
		Entry("a stream", "draft", firstEvent),
		Entry("a body", "book", "don"),
	)

	It("is resumed at another endpoint after a crash", func() {
		s := newCrashed(responds(http.StatusOK, firstEvent, endsWithConnection), responds(http.StatusOK, events[len(firstEvent):]))
		expectResponse(s.serve(request("tag")), http.StatusOK, events)
		Expect(s.runner.runs).To(HaveLen(2))
	})

	// Guards against a crash that is not found, as the time to find it ends with the watch.
	DescribeTable("leaves time to find a crash after an accepted connection was watched",
		func(route, body string) {
			s := newTestGateway(responds(http.StatusOK, body, endsWithConnection))
			isAsked := false
			s.IsRefusing = func(ctx context.Context, _ string, watch time.Duration) bool {
				isAsked = true
				deadline, ok := ctx.Deadline()
				Expect(ok).To(BeTrue())
				Expect(time.Until(deadline)).To(BeNumerically(">", watch+50*time.Millisecond))
				return false
			}
			expectResponse(s.serve(request(route)), http.StatusOK, body)
			Expect(isAsked).To(BeTrue())
		},
		Entry("a stream", "draft", events),
		Entry("a body", "book", "done"),
	)

	// Guards against a crash of an endpoint that drains, taken for the planned end of its last response.
	DescribeTable("is not complete if its endpoint leaves and accepts no connections any more",
		func(route, body string, leave func(s testGateway, e zpregistry.Endpoint)) {
			var s testGateway
			answers := responds(http.StatusOK, body, endsWithConnection)
			s = newCrashed(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				a, err := answers(ctx, gate)
				for _, e := range s.Registry.AllInPool("pool", s.Clock()) {
					leave(s, e)
				}
				return a, err
			})
			expectNotComplete(s.serve(request(route)))
			Expect(s.runner.runs).To(HaveLen(1))
		},
		Entry("a stream, draining", "draft", events, drains),
		Entry("a body, draining", "book", "don", drains),
		Entry("a body, removed", "book", "don", func(s testGateway, e zpregistry.Endpoint) { s.Registry.Remove(e.ID, s.Clock()) }),
		Entry("a body, leaving by its own words", "book", "don", func(s testGateway, e zpregistry.Endpoint) {
			s.RecordNotice(e.ID, "report", zpgateway.Notice{Leaving: true})
		}),
	)

	It("is complete if its endpoint leaves and accepts connections", func() {
		var s testGateway
		answers := responds(http.StatusOK, events, endsWithConnection)
		s = newTestGateway(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			a, err := answers(ctx, gate)
			for _, e := range s.Registry.AllInPool("pool", s.Clock()) {
				drains(s, e)
			}
			return a, err
		})
		expectResponse(s.serve(request("draft")), http.StatusOK, events)
		Expect(s.runner.runs).To(HaveLen(1))
	})
})

func drains(s testGateway, e zpregistry.Endpoint) {
	e.State = zpregistry.StateDraining
	s.Registry.Put(e)
}

// expectNotComplete accepts an error of unknown run state and a response that breaks off.
func expectNotComplete(reply *fakeReply) {
	GinkgoHelper()
	if reply.status == 0 {
		Expect(reply.refused.RunState).To(Equal(zperror.RunStateUnknown))
		return
	}
	Expect(reply.aborted).To(BeTrue())
}
