package zpsoak

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"slices"
)

var _ = Describe("The view of a daemon", func() {
	s := &cluster{Config: Config{Number: 140, Daemons: 12, Endpoints: 3}}

	It("has the daemon's own links in place of those of others", func() {
		for d := range s.Daemons {
			view := s.viewOf(d)
			for other := range s.Daemons {
				for e := range s.Endpoints {
					Expect(view.Replace(s.endpointAddress(other, e))).To(Equal(s.endpointAddress(d, e)))
				}
				for peer := range s.Daemons {
					Expect(view.Replace(s.peerAddress(other, peer))).To(Equal(s.peerAddress(d, peer)))
				}
			}
		}
	})

	It("has addresses of one length, so that they can be replaced in messages", func() {
		for d := range s.Daemons {
			Expect(s.endpointAddress(d, 0)).To(HaveLen(len(s.endpointAddress(0, 0))))
			Expect(s.peerAddress(d, 0)).To(HaveLen(len(s.peerAddress(0, 0))))
		}
	})

	It("has both directions of the links between a daemon and others, and none of others", func() {
		for peer := range s.Daemons {
			var list links
			for d := range s.Daemons {
				list = append(list, &Link{Listen: s.peerAddress(d, peer)})
			}
			s.toPeer = append(s.toPeer, list)
		}
		var found []string
		in, out := s.peerLinks(2, nil)
		for _, l := range slices.Concat(in, out) {
			found = append(found, l.Listen)
		}
		var expected []string
		for d := range s.Daemons {
			expected = append(expected, s.peerAddress(d, 2))
			if d != 2 {
				expected = append(expected, s.peerAddress(2, d))
			}
		}
		Expect(found).To(ConsistOf(expected))
	})
})
