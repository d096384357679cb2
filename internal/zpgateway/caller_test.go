package zpgateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
)

// departure serves a request whose caller leaves during the first send, which
// then ends as given, and returns how many sends reached an endpoint. A hidden
// close is known from the context alone.
func departure(routeName string, hidden bool, end step) (reached int, reply *fakeReply) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reply = &fakeReply{}
	count := func(next step) step {
		return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
			a, err := next(ctx, gate)
			if gate.Sent() {
				reached++
			}
			return a, err
		}
	}
	leave := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
		reply.left.Store(!hidden)
		cancel()
		return end(ctx, gate)
	}
	s := newSite(count(leave), count(opens(answers(http.StatusOK, "ok"))))
	s.Serve(ctx, request(routeName), reply)
	return reached, reply
}

// opens connects, which fails once ctx is cancelled, and sends the first byte if
// the gate allows.
func opens(next step) step {
	return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := gate.Open(); err != nil {
			return nil, err
		}
		return next(ctx, gate)
	}
}

// afterCancel lets what a cancelled context sets off happen first.
func afterCancel(next step) step {
	return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
		return next(ctx, gate)
	}
}

var _ = Describe("Callers that have left", func() {
	for _, routeName := range []string{"book", "read", "draft", "tag"} {
		It("have nothing sent to an endpoint: "+routeName, func() {
			s := newSite(opens(answers(http.StatusOK, "ok")))
			reply := &fakeReply{}
			reply.left.Store(true)
			s.Serve(context.Background(), request(routeName), reply)
			Expect(s.runner.runs).To(BeEmpty())
			Expect(reply.aborted).To(BeTrue())
		})

		It("have no first byte sent on a connection that opens late: "+routeName, func() {
			for _, hidden := range []bool{false, true} {
				reached, reply := departure(routeName, hidden, afterCancel(opens(answers(http.StatusOK, "ok"))))
				Expect(reached).To(BeZero())
				Expect(reply.aborted).To(BeTrue())
			}
		})

		It("have no send repeated without a connection: "+routeName, func() {
			reached, _ := departure(routeName, true, noConnection)
			Expect(reached).To(BeZero())
		})

		It("have no refused send repeated: "+routeName, func() {
			reached, _ := departure(routeName, true, func(_ context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
				// The byte was on its way when the caller left.
				return refuses(http.StatusServiceUnavailable)(context.Background(), &zpengine.Gate{Deadline: gate.Deadline, Clock: gate.Clock})
			})
			Expect(reached).To(BeZero())
		})
	}

	It("occupy no endpoint", func() {
		s := newSite(opens(answers(http.StatusOK, "ok")))
		reply := &fakeReply{}
		reply.left.Store(true)
		s.Serve(context.Background(), request("book"), reply)
		for _, id := range []string{"e1", "e2", "e3"} {
			Expect(s.Usage.Total(id, s.Clock()).Requests).To(BeZero())
		}
	})
})
