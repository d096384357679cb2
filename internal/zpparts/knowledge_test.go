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

	pass := func(now time.Time) zpparts.Knowledge {
		k := zpparts.Recall(owner, stores, []zpparts.Key{x}, now)
		zpparts.Learn(asker, zpparts.NewStores(time.Second, 0), []zpparts.Key{x}, k, now, soon)
		return k
	}

	BeforeEach(func() {
		owner, asker = zpparts.NewDirectory(100), zpparts.NewDirectory(100)
		stores = zpparts.NewStores(2*time.Second, 3*time.Second)
		stores.Set(zpparts.Store{Name: "k", Epoch: 1, Readable: true}, start)
	})

	It("passes on holders, expected reads and saves", func() {
		owner.Apply(zpparts.Change{Holder: "e", Key: x, Tokens: 5})
		owner.Expect(zpparts.Change{Holder: "f", Key: x, Tokens: 5}, start, soon)
		stores.BeginSave(zpparts.Change{Holder: "k", Key: x, Tokens: 5}, start)
		k := pass(start)
		Expect(asker.Tokens("e", x)).To(Equal(5))
		Expect(asker.IsExpected("f", x, start)).To(BeTrue())
		Expect(k.Saving).To(HaveLen(1))
	})

	It("replaces what was known, but keeps own expected reads", func() {
		asker.Apply(zpparts.Change{Holder: "gone", Key: x, Tokens: 5})
		asker.Expect(zpparts.Change{Holder: "own", Key: x, Tokens: 5}, start, soon)
		pass(start)
		Expect(asker.Holders(x)).To(BeEmpty())
		Expect(asker.IsExpected("own", x, start)).To(BeTrue())
	})

	It("leaves out parts in a store whose follower was not heard lately", func() {
		owner.Apply(zpparts.Change{Holder: "k@1", Key: x, Tokens: 5})
		pass(start)
		Expect(asker.Holders(x)).To(HaveKey("k@1"))
		pass(start.Add(3 * time.Second))
		Expect(asker.Holders(x)).To(BeEmpty())
	})

	It("does not take parts of an earlier life of a store for present ones", func() {
		owner.Apply(zpparts.Change{Holder: "k@1", Key: x, Tokens: 5})
		stores.Set(zpparts.Store{Name: "k", Epoch: 2, Readable: true}, start)
		Expect(pass(start).Held).To(BeEmpty())
	})
})
