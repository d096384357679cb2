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

// client returns a client of a server that answers with h.
func client(h http.HandlerFunc) *zpobject.Client {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return &zpobject.Client{BaseURL: s.URL, HTTP: s.Client(), Timeout: time.Second}
}

var _ = Describe("Client", func() {
	DescribeTable("maps what became of a write",
		func(h http.HandlerFunc, match func(error) bool) {
			_, err := client(h).Put(ctx, "o", []byte("x"), 1)
			Expect(match(err)).To(BeTrue(), "%v", err)
		},
		Entry("conflict", status(http.StatusConflict), zpobject.IsConflict),
		Entry("unavailable", status(http.StatusServiceUnavailable), certainlyNot),
		Entry("too many calls", status(http.StatusTooManyRequests), certainlyNot),
		Entry("odd status", status(http.StatusInternalServerError), zpobject.IsOutcomeUnknown),
		Entry("broken connection", abort, zpobject.IsOutcomeUnknown),
		Entry("nonsense body", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, func(err error) bool { return err != nil }),
	)

	It("knows that a refused connection has no effect", func() {
		c := client(abort)
		c.BaseURL = "http://127.0.0.1:1"
		_, err := c.Put(ctx, "o", nil, 0)
		Expect(certainlyNot(err)).To(BeTrue())
	})

	It("sends a write once, also on a connection that the server closes", func() {
		var calls atomic.Int64
		c := client(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, err := c.Put(ctx, "o", []byte("x"), 0)
		Expect(zpobject.IsOutcomeUnknown(err)).To(BeTrue())
		Expect(calls.Load()).To(BeEquivalentTo(1))
	})

	It("refuses a value that is too large", func() {
		_, err := client(status(http.StatusOK)).Put(ctx, "o", make([]byte, zpobject.MaxBodyBytes+1), 0)
		Expect(err).To(MatchError(zpobject.ErrTooLarge))
	})
})

var _ = Describe("Memory", func() {
	It("updates only on the right revision", func() {
		m := zpobject.NewMemory()
		o, err := m.Put(ctx, "a", []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = m.Put(ctx, "a", []byte("2"), 0)
		Expect(zpobject.IsConflict(err)).To(BeTrue())
		_, err = m.Put(ctx, "a", []byte("2"), o.Revision)
		Expect(err).NotTo(HaveOccurred())
	})

	It("watches what changes under a prefix", func() {
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

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// certainlyNot reports whether the error says that the change has no effect.
func certainlyNot(err error) bool { return err != nil && !zpobject.IsOutcomeUnknown(err) }
