package zprelay_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

func object(name string, revision int64) zpobject.Object {
	return zpobject.Object{Name: name, Revision: revision, Body: []byte(name)}
}

func listing(revision int64, objects ...zpobject.Object) zpobject.Listing {
	return zpobject.Listing{Revision: revision, Objects: objects}
}

func names(objects []zpobject.Object) []string {
	out := []string{}
	for _, o := range objects {
		out = append(out, o.Name)
	}
	return out
}

var _ = Describe("Feed", func() {
	var feed *zprelay.Feed
	since := func(revision int64) zprelay.Update {
		GinkgoHelper()
		a, ok := feed.Since(context.Background(), revision, time.Millisecond)
		Expect(ok).To(BeTrue())
		return a
	}

	BeforeEach(func() {
		feed = zprelay.NewFeed()
		feed.SetAll(listing(10, object("a", 5), object("b", 9)))
		feed.Add(10, listing(13, object("c", 12)))
		feed.Add(13, listing(15, zpobject.Object{Name: "a", Revision: 5, Deleted: true}))
	})

	It("reports that it has no list before the first one", func() {
		_, ok := zprelay.NewFeed().Since(context.Background(), 0, time.Millisecond)
		Expect(ok).To(BeFalse())
	})

	It("returns the full list, or the changes after a revision", func() {
		whole := since(0)
		Expect(whole.Complete).To(BeTrue())
		Expect(whole.Revision).To(BeEquivalentTo(15))
		Expect(names(whole.Objects)).To(ConsistOf("b", "c"))
		Expect(names(since(10).Objects)).To(Equal([]string{"c", "a"}))
		Expect(names(since(13).Objects)).To(Equal([]string{"a"}))
		Expect(since(15).Objects).To(BeEmpty())
	})

	It("returns the full list for a revision within a batch, already discarded or unknown", func() {
		Expect(since(11).Complete).To(BeTrue())
		Expect(since(3).Complete).To(BeTrue())
		Expect(since(99).Complete).To(BeTrue())
	})

	It("ignores changes that do not start at its revision", func() {
		feed.Add(14, listing(20, object("d", 18)))
		Expect(since(0).Revision).To(BeEquivalentTo(15))
	})

	It("discards old batches and returns the full list for their revisions", func() {
		for i := int64(15); i < 400; i++ {
			feed.Add(i, listing(i+1, object("x", i+1)))
		}
		Expect(since(15).Complete).To(BeTrue())
		Expect(since(399).Objects).To(HaveLen(1))
	})

	It("wakes waiting callers on a change", func() {
		out := make(chan zprelay.Update)
		go func() {
			a, _ := feed.Since(context.Background(), 15, 5*time.Second)
			out <- a
		}()
		Consistently(out, "50ms").ShouldNot(Receive())
		feed.Add(15, listing(16, object("d", 16)))
		Eventually(out).Should(Receive(HaveField("Revision", BeEquivalentTo(16))))
	})
})
