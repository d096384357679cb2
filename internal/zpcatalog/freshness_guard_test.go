package zpcatalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
)

var _ = Describe("FreshnessGuard", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var g *zpcatalog.FreshnessGuard

	BeforeEach(func() {
		g = &zpcatalog.FreshnessGuard{}
		for ms := 0; ms <= 600; ms += 200 {
			Expect(g.RecordActive(at(ms))).To(BeFalse())
		}
	})

	It("lets requests pass while the process runs", func() {
		Expect(g.MustWait(at(700))).To(BeFalse())
		Expect(g.IsConfirmed(at(700))).To(BeTrue())
	})

	It("makes requests wait after a pause until a call that began after it has confirmed the catalog", func() {
		Expect(g.RecordActive(at(5000))).To(BeTrue())
		Expect(g.MustWait(at(5000))).To(BeTrue())
		g.RecordConfirmed(at(700))
		Expect(g.MustWait(at(5010))).To(BeTrue())
		g.RecordConfirmed(at(5000))
		Expect(g.MustWait(at(5020))).To(BeFalse())
	})

	It("lets requests pass after a while if the store does not answer, without a confirmation", func() {
		g.RecordActive(at(5000))
		Expect(g.MustWait(at(5499))).To(BeTrue())
		Expect(g.MustWait(at(5500))).To(BeFalse())
		Expect(g.IsConfirmed(at(5500))).To(BeFalse())
		g.RecordConfirmed(at(5600))
		Expect(g.IsConfirmed(at(5600))).To(BeTrue())
	})

	It("tells one pause once, and each further one again", func() {
		Expect(g.RecordActive(at(5000))).To(BeTrue())
		Expect(g.RecordActive(at(5001))).To(BeFalse())
		g.RecordConfirmed(at(5001))
		Expect(g.RecordActive(at(6001))).To(BeTrue())
		Expect(g.MustWait(at(6002))).To(BeTrue())
	})

	It("does not count as confirmed between a pause and the first sign of activity after it", func() {
		Expect(g.IsConfirmed(at(1599))).To(BeTrue())
		Expect(g.IsConfirmed(at(1600))).To(BeFalse())
		g.RecordConfirmed(at(5000))
		Expect(g.RecordActive(at(5010))).To(BeTrue())
		Expect(g.IsConfirmed(at(5010))).To(BeFalse())
		g.RecordConfirmed(at(5010))
		Expect(g.IsConfirmed(at(5020))).To(BeTrue())
	})

	DescribeTable("is recent for three seconds after", func(record func(at time.Time) (readAt time.Time)) {
		Expect(g.IsRecent(start, at(3001))).To(BeFalse())
		readAt := record(at(2000))
		Expect(g.IsRecent(readAt, at(5000))).To(BeTrue())
		Expect(g.IsRecent(readAt, at(5001))).To(BeFalse())
	},
		Entry("the store was read", func(at time.Time) time.Time { return at }),
		Entry("another daemon confirmed the catalog", func(at time.Time) time.Time { g.RecordConfirmed(at); return start }),
		Entry("another daemon was without the store, too", func(at time.Time) time.Time { g.RecordOutage(at); return start }),
	)

	It("counts the catalog as replaced once another daemon has used a newer one for a while", func() {
		g.RecordNewer(6, at(1000))
		g.RecordNewer(6, at(2000))
		Expect(g.IsReplaced(5, at(2499))).To(BeFalse())
		Expect(g.IsReplaced(5, at(2500))).To(BeTrue())
		Expect(g.IsReplaced(6, at(2500))).To(BeFalse())
	})

	It("does not count the catalog as replaced while changes in quick succession arrive in time", func() {
		for version := int64(6); version < 12; version++ {
			now := at(int(version) * 500)
			g.RecordNewer(version+1, now)
			Expect(g.IsReplaced(version-1, now)).To(BeFalse())
		}
		Expect(g.IsReplaced(10, at(12*500+1000))).To(BeTrue())
	})
})
