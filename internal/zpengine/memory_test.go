package zpengine_test

import (
	"bytes"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
)

// zeros never ends.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("Memory", func() {
	read := func(m *zpengine.Memory, size int) ([]byte, int64, error) {
		return m.ReadWhole(io.LimitReader(zeros{}, int64(size)))
	}

	DescribeTable("reads an answer to its end",
		func(size int) {
			m := zpengine.NewMemory(16 << 20)
			answer, counted, err := read(m, size)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer).To(HaveLen(size))
			m.Release(counted)
		},
		Entry("empty", 0), Entry("small", 800), Entry("just the first buffer", 4<<10), Entry("not counted", 64<<10), Entry("large", 2<<20),
	)

	It("gives up an answer without end", func() {
		m := zpengine.NewMemory(16 << 20)
		_, counted, err := m.ReadWhole(zeros{})
		Expect(err).To(MatchError(ContainSubstring("too large")))
		m.Release(counted)
		_, counted, err = read(m, 2<<20)
		Expect(err).NotTo(HaveOccurred())
		m.Release(counted)
	})

	It("keeps usual answers while large ones take all of it", func() {
		m := zpengine.NewMemory(1 << 20)
		var counted []int64
		var err error
		for range 100 {
			var n int64
			if _, n, err = read(m, 200<<10); err != nil {
				break
			}
			counted = append(counted, n)
		}
		Expect(err).To(MatchError(ContainSubstring("taken")))
		answer, n, err := m.ReadWhole(strings.NewReader("ok"))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeZero())
		Expect(answer).To(Equal([]byte("ok")))
		Expect(counted).NotTo(BeEmpty())
	})

	It("passes a broken body's error on", func() {
		_, _, err := zpengine.NewMemory(1 << 20).ReadWhole(io.MultiReader(bytes.NewReader([]byte("x")), brokenBody{}))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})

type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
