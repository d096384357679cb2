package zpgateway_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdetour"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

func hasNoPath(context.Context, *zpengine.Gate) (*zpgateway.Response, error) {
	return nil, zpdetour.ErrNoPeer
}

var _ = Describe("A request while no daemon connects to endpoints", func() {
	// Guards against endpoints that are avoided because this daemon is cut off.
	It("is sent once there is a way, to any endpoint", func() {
		s := newTestGateway(hasNoPath, hasNoPath, hasNoPath, hasNoPath, responds(http.StatusOK, "done"))
		s.Registry.Remove("e2", time.Now())
		s.Registry.Remove("e3", time.Now())
		expectResponse(s.serve(request("book")), http.StatusOK, "done")
		Expect(s.Health.IsAvoided("e1", time.Now())).To(BeFalse())
	})

	// Guards against an endpoint that only this daemon still lists, and that is chosen until the objective has passed.
	It("is sent to another endpoint if there is no way to the one that was chosen", func() {
		s := newTestGateway(hasNoPath, responds(http.StatusOK, "done"))
		expectResponse(s.serve(request("book")), http.StatusOK, "done")
		Expect(s.runner.runs).To(HaveLen(2))
		Expect(s.runner.runs[1].Endpoint.ID).NotTo(Equal(s.runner.runs[0].Endpoint.ID))
	})

	It("is refused as not run once its objective has passed", func() {
		s := newTestGateway(hasNoPath)
		started := time.Now()
		r := s.serve(request("book"))
		Expect(r.refused.Code).To(Equal("no_path"))
		Expect(r.refused.RunState).To(Equal(zperror.RunStateNotRun))
		Expect(r.refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})
})
