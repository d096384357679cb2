package zperror_test

import (
	"errors"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("Error", func() {
	base := zperror.New(zperror.KindConflict, "code", "it failed", "do this")

	It("includes the remedy in the message", func() { Expect(base.Error()).To(Equal("it failed; remedy: do this")) })

	It("is found in a wrapped error", func() {
		wrapped := fmt.Errorf("outer: %w", base.WithCause(errors.New("inner")))
		Expect(zperror.Is(wrapped, "code")).To(BeTrue())
		Expect(zperror.Of(wrapped).Kind).To(Equal(zperror.KindConflict))
	})

	It("leaves the original unchanged when copied with a run state", func() {
		_ = base.WithState(zperror.RunStateUnknown)
		Expect(base.RunState).To(Equal(zperror.RunStateNotRun))
	})

	It("reports an unknown run state for an untyped error", func() {
		Expect(zperror.Of(errors.New("x")).RunState).To(Equal(zperror.RunStateUnknown))
	})

	DescribeTable("parses the wire name of each run state",
		func(s zperror.RunState) { Expect(zperror.ParseRunState(s.String())).To(Equal(s)) },
		Entry("not run", zperror.RunStateNotRun), Entry("ran", zperror.RunStateRan), Entry("unknown", zperror.RunStateUnknown),
	)

	It("maps kinds to HTTP statuses", func() {
		Expect(zperror.KindOverloaded.HTTPStatus()).To(Equal(http.StatusTooManyRequests))
		Expect(zperror.KindInternal.HTTPStatus()).To(Equal(http.StatusInternalServerError))
	})
})
