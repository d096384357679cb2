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
			reply := newCrashed(responds(http.StatusOK, body, endsWithConnection)).serve(request(route))
			if reply.status == 0 {
				Expect(reply.refused.RunState).To(Equal(zperror.RunStateUnknown))
				return
			}
			Expect(reply.aborted).To(BeTrue())
		},
		Entry("a stream", "draft", firstEvent),
		Entry("a body", "book", "don"),
	)

	It("is resumed at another endpoint after a crash", func() {
		s := newCrashed(responds(http.StatusOK, firstEvent, endsWithConnection), responds(http.StatusOK, events[len(firstEvent):]))
		expectResponse(s.serve(request("tag")), http.StatusOK, events)
		Expect(s.runner.runs).To(HaveLen(2))
	})

	It("is complete if its endpoint leaves", func() {
		var s testGateway
		answers := responds(http.StatusOK, events, endsWithConnection)
		s = newCrashed(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			a, err := answers(ctx, gate)
			list := s.Registry.AllInPool("pool", s.Clock())
			for i := range list {
				list[i].State = zpregistry.StateDraining
			}
			s.Registry.Replace(list, s.Clock())
			return a, err
		})
		expectResponse(s.serve(request("draft")), http.StatusOK, events)
		Expect(s.runner.runs).To(HaveLen(1))
	})
})
