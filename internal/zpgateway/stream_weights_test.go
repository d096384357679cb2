package zpgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
)

// newWeightsGateway returns a gateway whose endpoints e1 to e3 have the given weights, and name
// those that were expected of them, if any, in their responses.
func newWeightsGateway(target int64, weights []int64, steps ...step) testGateway {
	s := newTestGateway()
	for _, answer := range steps {
		s.runner.steps = append(s.runner.steps, func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			run := s.runner.runs[len(s.runner.runs)-1]
			a, err := answer(ctx, gate)
			if err == nil && run.WeightVersion > 0 {
				a.WeightVersion = run.WeightVersion
			}
			return a, err
		})
	}
	for i, w := range weights {
		e, _ := s.Registry.Find(fmt.Sprintf("e%d", i+1))
		e.Weights = nil
		if w > 0 {
			e.Weights = map[string]int64{"m": w}
		}
		s.Registry.Put(e)
	}
	s.Weights.SetTarget("m", target, time.Now())
	return s
}

func (s testGateway) weightsOfRuns() []int64 {
	var out []int64
	for _, r := range s.runner.runs {
		out = append(out, r.WeightVersion)
	}
	return out
}

func hasWeights(version int64) func(*zpgateway.Response) {
	return func(a *zpgateway.Response) { a.WeightVersion = version }
}

var _ = Describe("The weights of a stream", func() {
	first, rest := numberedEvents("1", "2"), numberedEvents("3", "4")
	promptRequest := func() *zpgateway.Request {
		q := request("tag")
		q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 10, OutputTokens: 4}
		return q
	}

	// Guards against the rest of a stream on older weights than those that its response names.
	It("do not go back when the stream breaks off", func() {
		for range 10 {
			s := newWeightsGateway(2, []int64{2, 1, 1}, resetsAfter(first), responds(http.StatusOK, rest))
			r := s.serve(promptRequest())
			Expect(s.weightsOfRuns()).To(Equal([]int64{2}))
			Expect(r.body.String()).To(Equal(first))
			Expect(r.aborted).To(BeTrue())
		}
	})

	// Guards against a stream that waits until its deadline for weights that no endpoint gets.
	It("are not waited for as long as the caller waits", func() {
		s := newWeightsGateway(2, []int64{2, 1, 1}, resetsAfter(first), responds(http.StatusOK, rest))
		began := time.Now()
		s.serve(promptRequest())
		Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
	})

	DescribeTable("may stay as they are, or become newer",
		func(target int64, weights ...int64) {
			s := newWeightsGateway(target, weights, resetsAfter(first), responds(http.StatusOK, rest))
			expectResponse(s.serve(promptRequest()), http.StatusOK, first+rest)
			runs := s.weightsOfRuns()
			Expect(runs).To(HaveLen(2))
			Expect(runs[1]).To(BeNumerically(">=", runs[0]))
		},
		Entry("all the same", int64(1), int64(1), int64(1), int64(1)),
		Entry("two are new", int64(2), int64(2), int64(2), int64(1)),
		Entry("all are old", int64(2), int64(1), int64(1), int64(1)),
	)

	It("may be older where no event has reached the caller", func() {
		s := newWeightsGateway(2, []int64{2, 1, 1}, resets, responds(http.StatusOK, first))
		expectResponse(s.serve(promptRequest()), http.StatusOK, first)
		Expect(s.weightsOfRuns()).To(HaveLen(2))
	})

	It("do not go back after an event that names newer ones", func() {
		changes := "weight-versions: 3\n"
		s := newWeightsGateway(3, []int64{2, 2, 2}, resetsAfter(numberedEvents("1")+changes+numberedEvents("2")), responds(http.StatusOK, rest))
		for i, answer := range s.runner.steps {
			s.runner.steps[i] = func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
				a, err := answer(ctx, gate)
				a.WeightsOf = func(event []byte) int64 {
					if strings.HasPrefix(string(event), changes) {
						return 3
					}
					return 0
				}
				return a, err
			}
		}
		r := s.serve(promptRequest())
		Expect(r.body.String()).To(Equal(numberedEvents("1") + changes + numberedEvents("2")))
		Expect(r.aborted).To(BeTrue())
	})

	// Guards against an endpoint whose weights are not known when it is chosen.
	It("do not go back at an endpoint that names them only in its response", func() {
		s := newWeightsGateway(2, []int64{2, 0, 0}, resetsAfter(first), responds(http.StatusOK, rest, hasWeights(1)))
		r := s.serve(promptRequest())
		Expect(s.weightsOfRuns()).To(Equal([]int64{2, 0}))
		Expect(r.body.String()).To(Equal(first))
		Expect(r.aborted).To(BeTrue())
	})
})
