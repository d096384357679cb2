package zplink_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zplink"
)

var _ = Describe("Bucket", func() {
	start := time.Unix(1000, 0)

	It("never grants more than the rate and the burst", func() {
		b := zplink.NewBucket(1000, 1000)
		granted := int64(0)
		for i := range 1000 {
			granted += b.Take(50, true, start.Add(time.Duration(i)*10*time.Millisecond)).Bytes
		}
		Expect(granted).To(BeNumerically("<=", 1000+10*1000))
		Expect(granted).To(BeNumerically(">=", 10*1000))
	})

	It("keeps a reserve for urgent requests", func() {
		b := zplink.NewBucket(1000, 1000)
		Expect(b.Take(600, false, start).Bytes).To(BeZero())
		Expect(b.Take(500, false, start).Bytes).To(BeEquivalentTo(500))
		Expect(b.Take(500, true, start).Bytes).To(BeEquivalentTo(500))
	})

	It("returns how long to wait before the next attempt", func() {
		b := zplink.NewBucket(1000, 1000)
		Expect(b.Take(1000, true, start).Bytes).To(BeEquivalentTo(1000))
		Expect(b.Take(100, true, start).RetryAfter).To(Equal(100 * time.Millisecond))
	})

	It("never grants more than the burst at once", func() {
		Expect(zplink.NewBucket(1000, 1000).Take(1001, true, start).Bytes).To(BeZero())
	})
})
