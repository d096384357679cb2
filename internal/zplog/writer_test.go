package zplog_test

import (
	"bytes"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	once    sync.Once
	started chan struct{}
	release chan struct{}
	text    bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.started) })
	<-s.release
	return s.text.Write(p)
}

var _ = Describe("Writer", func() {
	It("writes all buffered lines on Close", func() {
		var out bytes.Buffer
		w := zplog.NewWriter(&out)
		for i := range 100 {
			_, err := fmt.Fprintf(w, "%d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
		w.Close()
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(100))
	})

	It("does not block on a slow destination and reports dropped lines", func() {
		out := &blockingWriter{started: make(chan struct{}), release: make(chan struct{})}
		w := zplog.NewWriter(out)
		for range 10_000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		<-out.started
		close(out.release)
		w.Close()
		Expect(out.text.String()).To(ContainSubstring(`"lines":`))
	})

	It("accepts lines from goroutines that outlive it", func() {
		w := zplog.NewWriter(&bytes.Buffer{})
		w.Close()
		_, err := w.Write([]byte("late\n"))
		Expect(err).NotTo(HaveOccurred())
	})
})
