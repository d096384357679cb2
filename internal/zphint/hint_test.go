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

	It("keeps only the last hint added for each holder, the last added first", func() {
		t := newTable(10)
		t.Put(key, zphint.Hint{Holder: "a", Blocks: 1})
		t.Put(key, zphint.Hint{Holder: "b", Blocks: 2})
		t.Put(key, zphint.Hint{Holder: "a", Blocks: 3})
		Expect(t.Get(key)).To(Equal([]zphint.Hint{{Holder: "a", Blocks: 3}, {Holder: "b", Blocks: 2}}))
	})

	It("removes only the hint of the given holder", func() {
		t := newTable(10)
		t.Put(key, zphint.Hint{Holder: "a"})
		t.Put(key, zphint.Hint{Holder: "b"})
		t.Remove(key, "a")
		t.Remove(zphint.Key{9}, "a")
		Expect(t.Get(key)).To(Equal([]zphint.Hint{{Holder: "b"}}))
	})

	It("limits the number of conversations and of hints per conversation", func() {
		t := newTable(10)
		for i := range 100 {
			t.Put(zphint.Key{byte(i)}, zphint.Hint{Holder: "a"})
			t.Put(key, zphint.Hint{Holder: fmt.Sprint(i)})
		}
		Expect(t.Len()).To(BeNumerically("<=", 10))
		Expect(len(t.Get(key))).To(BeNumerically("<=", 6))
	})
})
