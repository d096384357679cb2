package zpgateway_test

import (
	"context"
	"errors"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("A stream that is sent while the list of endpoints is out of date", func() {
	const body = "id: 1\ndata: a\n\n"
	var (
		s      testGateway
		starts map[string]int64 // that the endpoints tell
		asked  []string
		err    error
	)

	// opens is a step that sends the request if the gate allows it.
	opens := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		if err := gate.Open(); err != nil {
			return nil, err
		}
		return responds(http.StatusOK, body)(ctx, gate)
	}

	BeforeEach(func() {
		starts, asked, err = map[string]int64{"e1": 5, "e2": 5, "e3": 5}, nil, nil
		s = newTestGateway(opens, opens, opens, opens)
		for id := range starts {
			s.Registry.Put(zpregistry.Endpoint{
				ID: id, Pool: "pool", Address: id + ":1", FailureDomain: "a", Region: "n", Slots: 4, StartedAtMS: 5, Weights: map[string]int64{"m": 1},
			})
		}
		s.IsListCurrent = func() bool { return false }
		s.ReadStart = func(_ context.Context, e zpregistry.Endpoint) (int64, error) {
			asked = append(asked, e.ID)
			return starts[e.ID], err
		}
	})

	used := func() string { return s.runner.runs[len(s.runner.runs)-1].Endpoint.ID }

	It("goes to an endpoint that has not started again, and is not asked again soon", func() {
		now := time.Now()
		s.Clock = func() time.Time { return now }
		expectResponse(s.serve(request("tag")), http.StatusOK, body)
		expectResponse(s.serve(request("tag")), http.StatusOK, body)
		Expect(asked).To(Equal([]string{used()}))
	})

	It("goes to another one, and not back until the restart is known", func() {
		expectResponse(s.serve(request("tag")), http.StatusOK, body)
		restarted := used()
		s.Registry.OnRemoved = s.HandleEndpointRemoved
		starts[restarted], asked = 9, nil
		now := time.Now().Add(2 * time.Second)
		s.Clock = func() time.Time { return now }
		q := request("tag")
		q.ReceivedAt = now
		expectResponse(s.serve(q), http.StatusOK, body)
		Expect(used()).NotTo(Equal(restarted))
		Expect(asked).To(ContainElement(restarted))
		n := len(s.runner.runs)
		expectResponse(s.serve(q), http.StatusOK, body)
		Expect(s.runner.runs).To(HaveLen(n + 1))
		Expect(used()).NotTo(Equal(restarted))
	})

	It("is refused as not run if no endpoint says when it started", func() {
		err = errors.New("no report")
		expectRefused(s.serve(request("tag")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(asked).To(ConsistOf("e1", "e2", "e3"))
	})

	DescribeTable("is sent without a question",
		func(route string, prepare func()) {
			prepare()
			expectResponse(s.serve(request(route)), http.StatusOK, body)
			Expect(asked).To(BeEmpty())
		},
		Entry("if the list is current", "tag", func() { s.IsListCurrent = func() bool { return true } }),
		Entry("if its pool has no engines, which alone report", "tag", func() { s.Catalog().Pools[0].Engine = nil }),
	)
})
