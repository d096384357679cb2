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

	It("names its remedy", func() { Expect(base.Error()).To(Equal("it failed; remedy: do this")) })

	It("is found through wrapping", func() {
		wrapped := fmt.Errorf("outer: %w", base.WithCause(errors.New("inner")))
		Expect(zperror.Is(wrapped, "code")).To(BeTrue())
		Expect(zperror.Of(wrapped).Kind).To(Equal(zperror.KindConflict))
	})

	It("leaves the original as it was", func() {
		_ = base.WithState(zperror.RunStateUnknown)
		Expect(base.RunState).To(Equal(zperror.RunStateNotRun))
	})

	It("knows nothing of the run behind a foreign error", func() {
		Expect(zperror.Of(errors.New("x")).RunState).To(Equal(zperror.RunStateUnknown))
	})

	DescribeTable("run states have wire names",
		func(s zperror.RunState) { Expect(zperror.ParseRunState(s.String())).To(Equal(s)) },
		Entry("not run", zperror.RunStateNotRun), Entry("ran", zperror.RunStateRan), Entry("unknown", zperror.RunStateUnknown),
	)

	It("maps kinds to statuses", func() {
		Expect(zperror.KindOverloaded.HTTPStatus()).To(Equal(http.StatusTooManyRequests))
		Expect(zperror.KindInternal.HTTPStatus()).To(Equal(http.StatusInternalServerError))
	})
})
