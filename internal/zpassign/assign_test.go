package zpassign_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
)

var regions = []string{"north", "south"}

func members(n int) []zpassign.Member {
	var out []zpassign.Member
	for i := range n {
		d := i % 3
		out = append(out, zpassign.Member{
			Instance: fmt.Sprintf("d%d", i), Domain: []string{"a", "b", "c"}[d],
			Region: []string{"north", "north", "south"}[d], State: zpassign.MemberServing,
		})
	}
	return out
}

// settle lets all members plan in turn until none has a step, and returns the
// owners and the number of moves.
func settle(v zpassign.View) (map[int]zpassign.Owner, int) {
	moves := 0
	for {
		changed := false
		for _, m := range zpassign.Live(v.Members, zpassign.MemberServing, zpassign.MemberLeaving) {
			for _, s := range zpassign.Plan(v, m.Instance) {
				Expect(v.Owners[s.Partition]).To(Equal(s.From))
				v.Owners[s.Partition] = s.To
				changed = true
				moves++
			}
		}
		if !changed {
			return v.Owners, moves
		}
	}
}

func view(ms []zpassign.Member) zpassign.View {
	return zpassign.View{Partitions: 64, Regions: regions, Members: ms, Owners: map[int]zpassign.Owner{}}
}

var _ = Describe("Plan", func() {
	It("gives every partition an owner in its home region", func() {
		v := view(members(9))
		owners, _ := settle(v)
		Expect(owners).To(HaveLen(64))
		for p, o := range owners {
			for _, m := range v.Members {
				if m.Instance == o.Instance {
					Expect(m.Region).To(Equal(zpassign.HomeRegion(p, regions)))
				}
			}
		}
	})

	It("moves only the partitions of a member that goes", func() {
		v := view(members(9))
		owners, _ := settle(v)
		lost := 0
		for _, o := range owners {
			if o.Instance == "d4" {
				lost++
			}
		}
		v.Members[4].State = zpassign.MemberGone
		_, moves := settle(v)
		Expect(moves).To(Equal(lost))
	})

	It("takes partitions of a region that is gone elsewhere", func() {
		v := view(members(9))
		settle(v)
		for i := range v.Members {
			if v.Members[i].Region == "south" {
				v.Members[i].State = zpassign.MemberGone
			}
		}
		owners, _ := settle(v)
		for _, o := range owners {
			Expect(o.Instance).To(BeElementOf("d0", "d1", "d3", "d4", "d6", "d7"))
		}
	})

	It("lets a leaving member give everything away", func() {
		v := view(members(9))
		settle(v)
		v.Members[0].State = zpassign.MemberLeaving
		owners, _ := settle(v)
		for _, o := range owners {
			Expect(o.Instance).NotTo(Equal("d0"))
		}
	})

	It("raises the epoch with each change", func() {
		v := view(members(3))
		settle(v)
		before := v.Owners[0]
		for i := range v.Members {
			if v.Members[i].Instance == before.Instance {
				v.Members[i].State = zpassign.MemberGone
			}
		}
		settle(v)
		Expect(v.Owners[0].Epoch).To(Equal(before.Epoch + 1))
	})

	It("does not take a partition from a member that is present", func() {
		v := view(members(3))
		settle(v)
		for _, m := range v.Members {
			Expect(zpassign.Plan(v, m.Instance)).To(BeEmpty())
		}
	})
})

var _ = Describe("PartitionOf", func() {
	DescribeTable("keeps a key in the region's partitions",
		func(region string) {
			for i := range 200 {
				p := zpassign.PartitionOf(fmt.Sprintf("k%d", i), region, 64, regions)
				Expect(p).To(And(BeNumerically(">=", 0), BeNumerically("<", 64)))
				Expect(zpassign.HomeRegion(p, regions)).To(Equal(region))
			}
		},
		Entry("north", "north"), Entry("south", "south"),
	)

	It("takes any partition for an unknown region", func() {
		Expect(zpassign.PartitionOf("k", "west", 64, regions)).To(BeNumerically("<", 64))
	})

	It("stays in range with fewer partitions than regions", func() {
		Expect(zpassign.PartitionOf("k", "south", 1, regions)).To(Equal(0))
	})
})

var _ = Describe("MonitorsOf", func() {
	It("chooses other failure domains", func() {
		ms := members(9)
		for _, m := range ms {
			monitors := zpassign.MonitorsOf(m, ms)
			Expect(monitors).To(HaveLen(zpassign.MonitorsPerLease))
			seen := map[string]bool{m.Domain: true}
			for _, x := range ms {
				for _, name := range monitors {
					if x.Instance == name {
						Expect(seen[x.Domain]).To(BeFalse())
						seen[x.Domain] = true
					}
				}
			}
		}
	})

	It("makes do with one domain", func() {
		ms := members(9)
		for i := range ms {
			ms[i].Domain = "a"
		}
		Expect(zpassign.MonitorsOf(ms[0], ms)).To(HaveLen(zpassign.MonitorsPerLease))
	})

	It("names nobody for the only member", func() {
		ms := members(1)
		Expect(zpassign.MonitorsOf(ms[0], ms)).To(BeEmpty())
	})
})

var _ = Describe("Records", func() {
	It("survive their codec", func() {
		m := members(1)[0]
		text, err := zpassign.EncodeMember(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(zpassign.DecodeMember(text)).To(Equal(m))
		g := zpassign.Group{Owners: map[int]zpassign.Owner{3: {Instance: "x", Epoch: 9}}}
		text, err = zpassign.EncodeGroup(g)
		Expect(err).NotTo(HaveOccurred())
		Expect(zpassign.DecodeGroup(text)).To(Equal(g))
	})
})
