package zplog_test

import (
	"bytes"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// stuckWriter blocks until it is let go.
type stuckWriter struct {
	once  sync.Once
	begun chan struct{}
	let   chan struct{}
	text  bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	<-s.let
	return s.text.Write(p)
}

var _ = Describe("Writer", func() {
	It("writes all lines before it is closed", func() {
		var out bytes.Buffer
		w := zplog.NewWriter(&out)
		for i := range 100 {
			_, err := fmt.Fprintf(w, "%d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(100))
	})

	It("never blocks, and counts what it drops", func() {
		out := &stuckWriter{begun: make(chan struct{}), let: make(chan struct{})}
		w := zplog.NewWriter(out)
		for range 10_000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		<-out.begun
		close(out.let)
		w.Close()
		Expect(out.text.String()).To(ContainSubstring(`"lines":`))
	})

	It("takes lines of goroutines that outlive it", func() {
		w := zplog.NewWriter(&bytes.Buffer{})
		w.Close()
		_, err := w.Write([]byte("late\n"))
		Expect(err).NotTo(HaveOccurred())
	})
})
