package zpobject_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var ctx = context.Background()

// newClient returns a client of a test server that handles requests with h.
func newClient(h http.HandlerFunc) *zpobject.Client {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return &zpobject.Client{BaseURL: s.URL, HTTP: s.Client(), Timeout: time.Second}
}

var _ = Describe("Client", func() {
	DescribeTable("classifies the outcome of a failed write",
		func(h http.HandlerFunc, match func(error) bool) {
			_, err := newClient(h).Put(ctx, "o", []byte("x"), 1)
			Expect(match(err)).To(BeTrue(), "%v", err)
		},
		Entry("conflict", respondWith(http.StatusConflict), zpobject.IsConflict),
		Entry("unavailable", respondWith(http.StatusServiceUnavailable), hasNoEffect),
		Entry("too many requests", respondWith(http.StatusTooManyRequests), hasNoEffect),
		Entry("internal server error", respondWith(http.StatusInternalServerError), zpobject.IsOutcomeUnknown),
		Entry("aborted connection", abortConnection, zpobject.IsOutcomeUnknown),
		Entry("malformed response body", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, func(err error) bool { return err != nil }),
	)

	It("reports that a write has no effect if the connection is refused", func() {
		c := newClient(abortConnection)
		c.BaseURL = "http://127.0.0.1:1"
		_, err := c.Put(ctx, "o", nil, 0)
		Expect(hasNoEffect(err)).To(BeTrue())
	})

	It("does not resend a write when the server closes the connection", func() {
		var calls atomic.Int64
		c := newClient(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, err := c.Put(ctx, "o", []byte("x"), 0)
		Expect(zpobject.IsOutcomeUnknown(err)).To(BeTrue())
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	It("rejects a body that is too large", func() {
		_, err := newClient(respondWith(http.StatusOK)).Put(ctx, "o", make([]byte, zpobject.MaxBodyBytes+1), 0)
		Expect(err).To(MatchError(zpobject.ErrTooLarge))
	})
})

var _ = Describe("Memory", func() {
	It("updates an object only at its current revision", func() {
		m := zpobject.NewMemory()
		o, err := m.Put(ctx, "a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = m.Put(ctx, "a", []byte("2"), 0)
		Expect(zpobject.IsConflict(err)).To(BeTrue())
		_, err = m.Put(ctx, "a", []byte("2"), o.Revision)
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns only changes under the watched prefix", func() {
		m := zpobject.NewMemory()
		first, err := m.Put(ctx, "p/a", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = m.Put(ctx, "q/b", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Delete(ctx, "p/a", first.Revision)).To(Succeed())
		l, err := m.Watch(ctx, "p/", first.Revision, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Objects).To(HaveLen(1))
		Expect(l.Objects[0].Deleted).To(BeTrue())
	})
})

func respondWith(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hasNoEffect reports whether the error guarantees that the change had no effect.
func hasNoEffect(err error) bool { return err != nil && !zpobject.IsOutcomeUnknown(err) }
