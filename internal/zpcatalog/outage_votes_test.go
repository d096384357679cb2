package zpcatalog_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
)

// Guards against daemons that are cut off together and take each other's word for an outage of the store.
var _ = Describe("OutageVotes", func() {
	start := time.Unix(1000, 0)

	DescribeTable("tells an outage of the store from a cut",
		func(domains, votes []string, expected bool) {
			v := &zpcatalog.OutageVotes{Domain: "a"}
			for _, d := range votes {
				v.RecordUnconfirmed(d, start)
			}
			Expect(v.IsOutage(domains, len(domains), start.Add(time.Second))).To(Equal(expected))
		},
		Entry("no word", []string{"a", "b"}, nil, false),
		Entry("a daemon of the only domain", []string{"a", "a"}, []string{"a"}, true),
		Entry("daemons of the own domain of two", []string{"a", "a", "b"}, []string{"a", "a"}, false),
		Entry("both domains", []string{"a", "b"}, []string{"b"}, true),
		Entry("daemons of the own domain of three", []string{"a", "b", "c"}, []string{"a"}, false),
		Entry("two domains of three", []string{"a", "b", "c"}, []string{"b"}, true),
		Entry("half of the domains", []string{"a", "b", "c", "d"}, []string{"b"}, false),
		Entry("more than half of them", []string{"a", "b", "c", "d"}, []string{"b", "c"}, true),
		Entry("a domain without known daemons", []string{"a", "b"}, []string{"x"}, false),
	)

	// Guards against daemons of several failure domains that are cut off together from most of the fleet.
	DescribeTable("takes no outage for granted while most daemons are silent",
		func(heard int, expected bool) {
			v := &zpcatalog.OutageVotes{Domain: "a"}
			v.RecordUnconfirmed("b", start)
			Expect(v.IsOutage([]string{"a", "a", "b", "b", "b", "c", "c", "c"}, heard, start)).To(Equal(expected))
		},
		Entry("hears nobody", 0, false),
		Entry("cut off together with one", 1, false),
		Entry("cut off together with three", 3, false),
		Entry("a domain and one daemon lost", 4, true),
		Entry("a domain lost", 5, true),
		Entry("a daemon lost", 7, true),
	)

	It("forgets words that are old", func() {
		v := &zpcatalog.OutageVotes{Domain: "a"}
		v.RecordUnconfirmed("b", start)
		Expect(v.IsOutage([]string{"b"}, 1, start.Add(2*time.Second))).To(BeTrue())
		Expect(v.IsOutage([]string{"b"}, 1, start.Add(2001*time.Millisecond))).To(BeFalse())
		v.RecordUnconfirmed("a", start.Add(3*time.Second))
		Expect(v.IsOutage([]string{"b"}, 1, start.Add(3*time.Second))).To(BeFalse())
	})

	It("takes back the word of a domain that the store answers", func() {
		v := &zpcatalog.OutageVotes{Domain: "a"}
		v.RecordUnconfirmed("b", start)
		v.RecordConfirmed("b")
		Expect(v.IsOutage([]string{"b"}, 1, start)).To(BeFalse())
	})

	It("names the domains to be asked", func() {
		v := &zpcatalog.OutageVotes{Domain: "a"}
		v.RecordUnconfirmed("b", start)
		Expect(v.Silent([]string{"b", "c"}, start)).To(Equal(map[string]bool{"c": true}))
	})
})
