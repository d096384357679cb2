package zpconfig_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
)

const maxAge = 2 * time.Second

// fleet returns n members in the platform's region and one in another region.
func fleet(n int) []zpassign.Member {
	out := []zpassign.Member{{Instance: "south", Region: "south", State: zpassign.MemberServing}}
	for i := range n {
		out = append(out, zpassign.Member{Instance: fmt.Sprintf("n%d", i), Region: "north", State: zpassign.MemberServing})
	}
	return out
}

var _ = Describe("FreshnessPolicy", func() {
	judge := func(self string) zpconfig.FreshnessPolicy {
		return zpconfig.FreshnessPolicy{Self: self, PlatformRegion: "north", MaxAge: maxAge, ContactWindow: maxAge}
	}

	DescribeTable("decides the mode",
		func(self string, members, stale, fresh, silent int, age, contactAgo time.Duration, expected zpconfig.Mode) {
			contacts := zpconfig.NewContacts()
			for i := range stale {
				contacts.Record(fmt.Sprintf("n%d", i+1), zpconfig.Contact{AskedAt: start.Add(-contactAgo), Answered: true, Age: time.Minute})
			}
			for i := range fresh {
				contacts.Record(fmt.Sprintf("n%d", i+1), zpconfig.Contact{AskedAt: start.Add(-contactAgo), Answered: true})
			}
			for i := range silent {
				contacts.Record(fmt.Sprintf("n%d", stale+fresh+i+1), zpconfig.Contact{AskedAt: start.Add(-contactAgo)})
			}
			Expect(judge(self).Decide(age, fleet(members), contacts, start)).To(Equal(expected))
		},
		Entry("fresh copy", "n0", 6, 0, 0, 0, time.Second, time.Second, zpconfig.ModeFresh),
		Entry("stale copy without contacts", "n0", 6, 0, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a minority of the other members is stale", "n0", 6, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("half of the region is stale, this daemon included", "n0", 6, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a majority of the region is stale", "n0", 6, 3, 0, 0, time.Minute, time.Second, zpconfig.ModePlatformDown),
		Entry("the contacts with the stale majority are too old", "n0", 6, 5, 0, 0, time.Minute, 3*time.Second, zpconfig.ModeCutOff),
		Entry("the other members are fresh", "n0", 6, 0, 5, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a daemon in another region reaches a stale majority", "south", 6, 4, 0, 0, time.Minute, time.Second, zpconfig.ModePlatformDown),
		Entry("a daemon in another region reaches half of the members", "south", 4, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a daemon in another region reaches no member", "south", 6, 0, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("most members that were asked do not answer", "n0", 8, 3, 0, 4, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a sufficient sample of a large region is stale", "n0", 800, 5, 0, 1, time.Minute, time.Second, zpconfig.ModePlatformDown),
		Entry("the stale sample of a large region is too small", "n0", 800, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("most members of a sample of a large region do not answer", "n0", 800, 1, 0, 5, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("the only member of the region is stale", "n0", 1, 0, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
	)

	It("accepts work in ModeCutOff only with the policy serve_last", func() {
		j := judge("n0")
		Expect(j.AcceptsWork(zpconfig.ModeCutOff)).To(BeFalse())
		Expect(j.AcceptsWork(zpconfig.ModePlatformDown)).To(BeTrue())
		j.ServeLast = true
		Expect(j.AcceptsWork(zpconfig.ModeCutOff)).To(BeTrue())
	})

	It("does not count members that have gone", func() {
		members := fleet(6)
		for i := range members[3:] {
			members[3+i].State = zpassign.MemberGone
		}
		contacts := zpconfig.NewContacts()
		contacts.Record("n1", zpconfig.Contact{AskedAt: start, Answered: true, Age: time.Minute})
		Expect(judge("n0").Decide(time.Minute, members, contacts, start)).To(Equal(zpconfig.ModePlatformDown))
	})
})
