package zpmemory_test

import (
	"bytes"
	"errors"
	"io"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
)

const bodyLimit = 4 * megabyte

var errBroken = errors.New("broken")

var _ = Describe("ReadBody", func() {
	read := func(c *crowd, h *zpmemory.Holder, body io.Reader, length int64) ([]byte, error) {
		return h.ReadBody(body, length, bodyLimit, func() time.Time { return c.now })
	}

	DescribeTable("reads and counts a body",
		func(size int, hasLength bool, most int64) {
			c := newCrowd()
			h := c.open("one", "a", zpmemory.PhaseRunning)
			body, length := bytes.Repeat([]byte("x"), size), int64(-1)
			if hasLength {
				length = int64(size)
			}
			got, err := read(c, h, iotest.OneByteReader(bytes.NewReader(body)), length)
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(got, body)).To(BeTrue())
			used, _ := c.Used()
			Expect(used - zpmemory.ConnectionBytes).To(And(BeNumerically(">=", size), BeNumerically("<=", most)))
			Expect(h.Phase()).To(Equal(zpmemory.PhaseRunning))
		},
		Entry("empty", 0, true, int64(0)),
		Entry("with a length", 100_000, true, int64(100_000)),
		Entry("the largest with a length", bodyLimit, true, int64(bodyLimit)),
		Entry("empty, in chunks", 0, false, int64(4*kilobyte)),
		Entry("in chunks", 100_000, false, int64(200_000)),
		Entry("the largest in chunks", bodyLimit, false, int64(bodyLimit+1)),
	)

	DescribeTable("rejects a body that is too large",
		func(length int64) {
			c := newCrowd()
			_, err := read(c, c.open("one", "a", zpmemory.PhaseRunning), io.LimitReader(zeros{}, bodyLimit+1), length)
			Expect(err).To(MatchError(zpmemory.ErrBodyTooLarge))
		},
		Entry("with a length", int64(bodyLimit+1)), Entry("in chunks", int64(-1)),
	)

	DescribeTable("reads nothing that it has no memory for",
		func(length int64) {
			c := newCrowd()
			c.fill("a", zpmemory.PhaseRunning, megabyte)
			used, _ := c.Used()
			body := &countingReader{}
			_, err := read(c, c.open("one", "a", zpmemory.PhaseRunning), body, length)
			expectNotRun(err)
			Expect(body.count).To(BeNumerically("<=", c.Bytes-used))
		},
		Entry("with a length", int64(bodyLimit)), Entry("in chunks", int64(-1)),
	)

	It("returns the error of the connection", func() {
		c := newCrowd()
		_, err := read(c, c.open("one", "a", zpmemory.PhaseRunning), iotest.ErrReader(errBroken), 10)
		Expect(err).To(MatchError(errBroken))
	})

	It("says that the request has not run if its memory went to others", func() {
		c := newCrowd()
		h := c.open("one", "a", zpmemory.PhaseRunning)
		body := readerFunc(func([]byte) (int, error) {
			c.pass(10 * time.Second)
			c.fill("b", zpmemory.PhaseRunning, megabyte)
			return 0, errBroken
		})
		_, err := read(c, h, body, bodyLimit)
		Expect(c.evicted).To(ConsistOf("one"))
		expectNotRun(err)
	})
})

type (
	zeros          struct{}
	countingReader struct{ count int }
	readerFunc     func(p []byte) (int, error)
)

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func (r *countingReader) Read(p []byte) (int, error) {
	r.count += len(p)
	return len(p), nil
}

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
