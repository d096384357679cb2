package zppeer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpdigest"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpshare"
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

// serveSharing serves the sharing service on loopback and returns its address.
func serveSharing(h *zppeer.SharingHandler) string {
	GinkgoHelper()
	lis, err := zppeer.Listen("127.0.0.1:0", nil)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- zppeer.ServeSharing(ctx, lis, h) }()
	DeferCleanup(func() {
		cancel()
		Eventually(done).Should(Receive())
	})
	return lis.Addr().String()
}

var _ = Describe("Share", func() {
	It("carries load and speed of endpoints there, and recent target weight versions and the version of the configuration back", func() {
		object := zpobject.Object{Name: "config/main", Revision: 5, Body: []byte("{}")}
		received := make(chan zpshare.Message, 1)
		targets := []zprollout.Target{
			{Model: "m", Version: 3, Age: 1500 * time.Millisecond}, {Model: "n", Version: 7, Age: 20 * time.Millisecond, Estimated: true},
		}
		address := serveSharing(&zppeer.SharingHandler{
			Instance: "b.1", Apply: func(m zpshare.Message) { received <- m }, Targets: func() []zprollout.Target { return targets },
			CatalogVersion: func() int64 { return 9 }, CatalogConfirmed: func() bool { return true }, Catalog: func() zpobject.Object { return object },
		})
		d := &zppeer.Dialer{Timeout: time.Second}
		d.Open()
		DeferCleanup(d.Close)
		uses := map[string]zpusage.Usage{"e": {Requests: 2, PrefillTokens: 5, MemoryTokens: 7}}
		speeds := []zpspeed.Report{{Endpoint: "e", StartedAtMS: 5, Percent: 250, Age: 80 * time.Millisecond}}
		reply, err := zppeer.Share(context.Background(), d, address, zpshare.Message{Instance: "a.1", Domain: "x", Uses: uses, Speeds: speeds})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(Equal(zpshare.Reply{Instance: "b.1", Targets: targets, CatalogVersion: 9, CatalogConfirmed: true}))
		Expect(<-received).To(Equal(zpshare.Message{Instance: "a.1", Domain: "x", Uses: uses, Speeds: speeds}))
		Expect(zppeer.ReadCatalog(context.Background(), d, address)).To(Equal(object))
	})

	It("carries the speed of endpoints in reports, digests and sums", func() {
		heard := []zpspeed.Report{{Endpoint: "e", StartedAtMS: 5, Percent: 250, Age: 80 * time.Millisecond}}
		told := []zpspeed.Report{{Endpoint: "f", Percent: 100, Age: 10 * time.Millisecond}}
		address := serveSharing(&zppeer.SharingHandler{
			Targets: func() []zprollout.Target { return nil }, CatalogVersion: func() int64 { return 1 }, CatalogConfirmed: func() bool { return true },
			Digest: func(r zpdigest.Report) zpdigest.Digest {
				Expect(r.Speeds).To(Equal(heard))
				return zpdigest.Digest{Speeds: told}
			},
			MergeSum: func(s zpdigest.Sum) zpdigest.Sum {
				Expect(s.Speeds).To(Equal(heard))
				return zpdigest.Sum{Speeds: told}
			},
		})
		d := &zppeer.Dialer{Timeout: time.Second}
		d.Open()
		DeferCleanup(d.Close)
		digest, _, err := zppeer.ReportLoad(context.Background(), d, address, zpdigest.Report{Speeds: heard})
		Expect(err).NotTo(HaveOccurred())
		Expect(digest.Speeds).To(Equal(told))
		s, err := zppeer.ExchangeSums(context.Background(), d, address, zpdigest.Sum{Speeds: heard})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Speeds).To(Equal(told))
	})

	It("does not confirm an older configuration than the one that was confirmed", func() {
		version := int64(9)
		confirms := func() bool {
			version = 10 // applied while the reply is made
			return true
		}
		address := serveSharing(&zppeer.SharingHandler{
			Instance: "b.1", Apply: func(zpshare.Message) {}, Targets: func() []zprollout.Target { return nil },
			CatalogVersion: func() int64 { return version }, CatalogConfirmed: confirms,
			Digest: func(zpdigest.Report) zpdigest.Digest { return zpdigest.Digest{} },
		})
		d := &zppeer.Dialer{Timeout: time.Second}
		d.Open()
		DeferCleanup(d.Close)
		reply, err := zppeer.Share(context.Background(), d, address, zpshare.Message{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.CatalogVersion).To(BeEquivalentTo(10))
		version = 9
		_, reply, err = zppeer.ReportLoad(context.Background(), d, address, zpdigest.Report{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.CatalogVersion).To(BeEquivalentTo(10))
	})
})
