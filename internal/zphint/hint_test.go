package zphint_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zphint"
)

var _ = Describe("Table", func() {
	key := zphint.Key{1}
	newTable := func(capacity int) *zphint.Table {
		t, err := zphint.NewTable(capacity)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	It("keeps only the last hint added for each place, the last added first", func() {
		t := newTable(10)
		t.Put(key, zphint.Hint{Place: "a", Blocks: 1})
		t.Put(key, zphint.Hint{Place: "b", Blocks: 2})
		t.Put(key, zphint.Hint{Place: "a", Blocks: 3})
		Expect(t.Get(key)).To(Equal([]zphint.Hint{{Place: "a", Blocks: 3}, {Place: "b", Blocks: 2}}))
	})

	It("removes only the hint of the given place", func() {
		t := newTable(10)
		t.Put(key, zphint.Hint{Place: "a"})
		t.Put(key, zphint.Hint{Place: "b"})
		t.Drop(key, "a")
		t.Drop(zphint.Key{9}, "a")
		Expect(t.Get(key)).To(Equal([]zphint.Hint{{Place: "b"}}))
	})

	It("limits the number of conversations and of hints per conversation", func() {
		t := newTable(10)
		for i := range 100 {
			t.Put(zphint.Key{byte(i)}, zphint.Hint{Place: "a"})
			t.Put(key, zphint.Hint{Place: fmt.Sprint(i)})
		}
		Expect(t.Len()).To(BeNumerically("<=", 10))
		Expect(len(t.Get(key))).To(BeNumerically("<=", 6))
	})
})
