package zporigin_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
)

var _ = Describe("Reader", func() {
	// newReader returns a reader whose reads wait until one value each is sent on release.
	newReader := func() (r *zporigin.Reader, began chan int, release chan error) {
		began, release = make(chan int, 8), make(chan error)
		reads := 0
		return &zporigin.Reader{
			Pause: func() time.Duration { return 0 },
			Read: func(context.Context) (map[string][]string, error) {
				reads++
				began <- reads
				return map[string][]string{"p": {"v2"}}, <-release
			},
		}, began, release
	}

	It("shares one read among all that call while another one is in progress", func() {
		r, began, release := newReader()
		var calls sync.WaitGroup
		call := func() {
			calls.Go(func() {
				defer GinkgoRecover()
				versions, err := r.Latest(context.Background())
				Expect(err).NotTo(HaveOccurred())
				Expect(versions).To(HaveKeyWithValue("p", []string{"v2"}))
			})
		}
		call()
		Eventually(began).Should(Receive(Equal(1)))
		for range 5 {
			call()
		}
		Consistently(began, "20ms").ShouldNot(Receive())
		release <- nil
		Eventually(began).Should(Receive(Equal(2)))
		release <- nil
		calls.Wait()
		Consistently(began, "20ms").ShouldNot(Receive())
	})

	It("returns the error of a read, and reads again for the next call", func() {
		r, began, release := newReader()
		go func() { release <- errDown }()
		_, err := r.Latest(context.Background())
		Expect(err).To(MatchError(errDown))
		go func() { release <- nil }()
		_, err = r.Latest(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(began).To(HaveLen(2))
	})

	It("does not wait longer than its caller", func() {
		r, _, release := newReader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := r.Latest(ctx)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		release <- nil
	})
})
