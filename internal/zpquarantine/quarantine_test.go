package zpquarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
)

var _ = Describe("List", func() {
	start := time.Unix(1000, 0)

	DescribeTable("judges by the number of crashes",
		func(crashes []string, expected zpquarantine.Standing) {
			l := zpquarantine.NewList(time.Hour)
			for _, c := range crashes {
				l.Note("f", c, start)
			}
			Expect(l.Standing("f", start)).To(Equal(expected))
		},
		Entry("none", nil, zpquarantine.StandingClear),
		Entry("one", []string{"e1/b1"}, zpquarantine.StandingSuspect),
		Entry("one, reported twice", []string{"e1/b1", "e1/b1"}, zpquarantine.StandingSuspect),
		Entry("two of one endpoint", []string{"e1/b1", "e1/b2"}, zpquarantine.StandingBanned),
		Entry("two endpoints", []string{"e1/b1", "e2/b9"}, zpquarantine.StandingBanned),
	)

	It("says nothing of other fingerprints", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Note("f", "c2", start)
		Expect(l.Standing("g", start)).To(Equal(zpquarantine.StandingClear))
	})

	It("acquits a suspect that ran to its end, but nothing that is banned", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Acquit("f")
		Expect(l.Standing("f", start)).To(Equal(zpquarantine.StandingClear))
		l.Note("f", "c1", start)
		l.Note("f", "c2", start)
		l.Acquit("f")
		Expect(l.Standing("f", start)).To(Equal(zpquarantine.StandingBanned))
	})

	It("forgets after the retention", func() {
		l := zpquarantine.NewList(time.Hour)
		l.Note("f", "c1", start)
		l.Note("f", "c2", start)
		Expect(l.Standing("f", start.Add(2*time.Hour))).To(Equal(zpquarantine.StandingClear))
	})
})
