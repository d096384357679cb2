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

// fleet returns n members of the platform's region and one of another.
func fleet(n int) []zpassign.Member {
	out := []zpassign.Member{{Instance: "south", Region: "south", State: zpassign.MemberServing}}
	for i := range n {
		out = append(out, zpassign.Member{Instance: fmt.Sprintf("n%d", i), Region: "north", State: zpassign.MemberServing})
	}
	return out
}

var _ = Describe("Judge", func() {
	judge := func(self string) zpconfig.Judge {
		return zpconfig.Judge{Self: self, PlatformRegion: "north", MaxAge: maxAge, ContactWindow: maxAge}
	}

	DescribeTable("decides whether new work is taken",
		func(self string, members, stale, fresh, silent int, age, contactAgo time.Duration, expected zpconfig.Mode) {
			contacts := zpconfig.NewContacts()
			for i := range stale {
				contacts.Note(fmt.Sprintf("n%d", i+1), zpconfig.Contact{At: start.Add(-contactAgo), Answered: true, Age: time.Minute})
			}
			for i := range fresh {
				contacts.Note(fmt.Sprintf("n%d", i+1), zpconfig.Contact{At: start.Add(-contactAgo), Answered: true})
			}
			for i := range silent {
				contacts.Note(fmt.Sprintf("n%d", stale+fresh+i+1), zpconfig.Contact{At: start.Add(-contactAgo)})
			}
			Expect(judge(self).Decide(age, fleet(members), contacts, start)).To(Equal(expected))
		},
		Entry("a fresh proof", "n0", 6, 0, 0, 0, time.Second, time.Second, zpconfig.ModeFresh),
		Entry("alone with an old proof", "n0", 6, 0, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a minority is stale alike", "n0", 6, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("half is stale alike", "n0", 6, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a majority is stale alike", "n0", 6, 3, 0, 0, time.Minute, time.Second, zpconfig.ModePlatformDown),
		Entry("the majority was reached too long ago", "n0", 6, 5, 0, 0, time.Minute, 3*time.Second, zpconfig.ModeCutOff),
		Entry("the others are fresh", "n0", 6, 0, 5, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("another region reaches the majority", "south", 6, 4, 0, 0, time.Minute, time.Second, zpconfig.ModePlatformDown),
		Entry("another region reaches nobody", "south", 6, 0, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("most that were asked are silent", "n0", 8, 3, 0, 4, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a sample of a large region is stale alike", "n0", 800, 5, 0, 1, time.Minute, time.Second, zpconfig.ModePlatformDown),
		Entry("too small a sample of a large region", "n0", 800, 2, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("a sample of a large region is silent", "n0", 800, 1, 0, 5, time.Minute, time.Second, zpconfig.ModeCutOff),
		Entry("the only daemon cannot know", "n0", 1, 0, 0, 0, time.Minute, time.Second, zpconfig.ModeCutOff),
	)

	It("serves when cut off only by the policy serve_last", func() {
		j := judge("n0")
		Expect(j.Serves(zpconfig.ModeCutOff)).To(BeFalse())
		Expect(j.Serves(zpconfig.ModePlatformDown)).To(BeTrue())
		j.ServeLast = true
		Expect(j.Serves(zpconfig.ModeCutOff)).To(BeTrue())
	})

	It("counts no member that has gone", func() {
		members := fleet(6)
		for i := range members[3:] {
			members[3+i].State = zpassign.MemberGone
		}
		contacts := zpconfig.NewContacts()
		contacts.Note("n1", zpconfig.Contact{At: start, Answered: true, Age: time.Minute})
		Expect(judge("n0").Decide(time.Minute, members, contacts, start)).To(Equal(zpconfig.ModePlatformDown))
	})
})
