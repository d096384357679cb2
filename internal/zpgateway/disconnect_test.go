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

// serveDisconnecting serves a request whose caller disconnects during the first
// send, which then ends with end. It returns how many sends passed the gate. With
// contextOnly, only the context shows the disconnect, not the connection.
func serveDisconnecting(routeName string, contextOnly bool, end step) (sends int, reply *fakeReply) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reply = &fakeReply{}
	count := func(next step) step {
		return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			a, err := next(ctx, gate)
			if gate.Sent() {
				sends++
			}
			return a, err
		}
	}
	disconnect := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		reply.disconnected.Store(!contextOnly)
		cancel()
		return end(ctx, gate)
	}
	s := newTestGateway(count(disconnect), count(opensGate(responds(http.StatusOK, "ok"))))
	s.Serve(ctx, request(routeName), reply)
	return sends, reply
}

// opensGate connects, which fails if ctx is cancelled, and sends the first byte if
// the gate allows it.
func opensGate(next step) step {
	return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := gate.Open(); err != nil {
			return nil, err
		}
		return next(ctx, gate)
	}
}

// afterCancellation runs next after the callbacks of the cancelled context had
// time to run.
func afterCancellation(next step) step {
	return func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
		return next(ctx, gate)
	}
}

var _ = Describe("Disconnected callers", func() {
	for _, routeName := range []string{"book", "read", "draft", "tag"} {
		It("have no request sent to an endpoint: "+routeName, func() {
			s := newTestGateway(opensGate(responds(http.StatusOK, "ok")))
			reply := &fakeReply{}
			reply.disconnected.Store(true)
			s.Serve(context.Background(), request(routeName), reply)
			Expect(s.runner.runs).To(BeEmpty())
			Expect(reply.aborted).To(BeTrue())
		})

		It("have no first byte sent on a connection that opens after the disconnect: "+routeName, func() {
			for _, contextOnly := range []bool{false, true} {
				sends, reply := serveDisconnecting(routeName, contextOnly, afterCancellation(opensGate(responds(http.StatusOK, "ok"))))
				Expect(sends).To(BeZero())
				Expect(reply.aborted).To(BeTrue())
			}
		})

		It("have no failed connect retried: "+routeName, func() {
			sends, _ := serveDisconnecting(routeName, true, dialFails)
			Expect(sends).To(BeZero())
		})

		It("have no refused send retried: "+routeName, func() {
			sends, _ := serveDisconnecting(routeName, true, func(_ context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				// The first byte was already in transit when the caller disconnected.
				return refuses(http.StatusServiceUnavailable)(context.Background(), &zpengine.Gate{Deadline: gate.Deadline, Clock: gate.Clock})
			})
			Expect(sends).To(BeZero())
		})
	}

	It("count in the usage of no endpoint", func() {
		s := newTestGateway(opensGate(responds(http.StatusOK, "ok")))
		reply := &fakeReply{}
		reply.disconnected.Store(true)
		s.Serve(context.Background(), request("book"), reply)
		for _, id := range []string{"e1", "e2", "e3"} {
			Expect(s.Usage.Total(id, s.Clock()).Requests).To(BeZero())
		}
	})
})
