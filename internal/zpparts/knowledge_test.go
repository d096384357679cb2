package zpparts_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

var _ = Describe("Knowledge", func() {
	var owner, asker *zpparts.Directory
	var stores *zpparts.Stores
	x := key("x")
	soon := start.Add(2 * time.Second)

	transfer := func(now time.Time) zpparts.Knowledge {
		k := zpparts.Collect(owner, stores, []zpparts.Key{x}, now)
		zpparts.Merge(asker, zpparts.NewStores(time.Second, 0), []zpparts.Key{x}, k, now, soon)
		return k
	}

	BeforeEach(func() {
		owner, asker = zpparts.NewDirectory(100), zpparts.NewDirectory(100)
		stores = zpparts.NewStores(2*time.Second, 3*time.Second)
		stores.Set(zpparts.Store{Name: "k", Epoch: 1, Readable: true}, start)
	})

	It("transfers holders, expected parts and saves", func() {
		owner.Apply(zpparts.Change{Holder: "e", Key: x, Tokens: 5})
		owner.Expect(zpparts.Change{Holder: "f", Key: x, Tokens: 5}, start, soon)
		stores.BeginSave(zpparts.Change{Holder: "k", Key: x, Tokens: 5}, start)
		k := transfer(start)
		Expect(asker.Tokens("e", x)).To(Equal(5))
		Expect(asker.IsExpected("f", x, start)).To(BeTrue())
		Expect(k.Saving).To(HaveLen(1))
	})

	It("replaces known holders, but keeps the daemon's own expected parts", func() {
		asker.Apply(zpparts.Change{Holder: "gone", Key: x, Tokens: 5})
		asker.Expect(zpparts.Change{Holder: "own", Key: x, Tokens: 5}, start, soon)
		transfer(start)
		Expect(asker.Holders(x)).To(BeEmpty())
		Expect(asker.IsExpected("own", x, start)).To(BeTrue())
	})

	It("omits parts in a store whose state has expired", func() {
		owner.Apply(zpparts.Change{Holder: "k@1", Key: x, Tokens: 5})
		transfer(start)
		Expect(asker.Holders(x)).To(HaveKey("k@1"))
		transfer(start.Add(3 * time.Second))
		Expect(asker.Holders(x)).To(BeEmpty())
	})

	It("omits parts that a store held before its restart", func() {
		owner.Apply(zpparts.Change{Holder: "k@1", Key: x, Tokens: 5})
		stores.Set(zpparts.Store{Name: "k", Epoch: 2, Readable: true}, start)
		Expect(transfer(start).Held).To(BeEmpty())
	})
})
