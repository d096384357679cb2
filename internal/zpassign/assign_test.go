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
		domain := i % 3
		out = append(out, zpassign.Member{
			Instance: fmt.Sprintf("d%d", i), Domain: []string{"a", "b", "c"}[domain],
			Region: []string{"north", "north", "south"}[domain], State: zpassign.MemberServing,
		})
	}
	return out
}

// applyPlans applies the plans of all members in turn until no transfer is left.
// It returns the owners and the number of transfers.
func applyPlans(v zpassign.View) (map[int]zpassign.Owner, int) {
	transfers := 0
	for {
		transferred := false
		for _, m := range zpassign.MembersInStates(v.Members, zpassign.MemberServing, zpassign.MemberLeaving) {
			for _, t := range zpassign.Plan(v, m.Instance) {
				Expect(v.Owners[t.Partition]).To(Equal(t.From))
				v.Owners[t.Partition] = t.To
				transferred = true
				transfers++
			}
		}
		if !transferred {
			return v.Owners, transfers
		}
	}
}

func view(ms []zpassign.Member) zpassign.View {
	return zpassign.View{Partitions: 64, Regions: regions, Members: ms, Owners: map[int]zpassign.Owner{}}
}

var _ = Describe("Plan", func() {
	It("assigns every partition to an owner in its home region", func() {
		v := view(members(9))
		owners, _ := applyPlans(v)
		Expect(owners).To(HaveLen(64))
		for p, o := range owners {
			for _, m := range v.Members {
				if m.Instance == o.Instance {
					Expect(m.Region).To(Equal(zpassign.HomeRegion(p, regions)))
				}
			}
		}
	})

	It("transfers only the partitions of a removed member", func() {
		v := view(members(9))
		owners, _ := applyPlans(v)
		ownedByD4 := 0
		for _, o := range owners {
			if o.Instance == "d4" {
				ownedByD4++
			}
		}
		v.Members[4].State = zpassign.MemberGone
		_, transfers := applyPlans(v)
		Expect(transfers).To(Equal(ownedByD4))
	})

	It("assigns the partitions of a lost region to members of other regions", func() {
		v := view(members(9))
		applyPlans(v)
		for i := range v.Members {
			if v.Members[i].Region == "south" {
				v.Members[i].State = zpassign.MemberGone
			}
		}
		owners, _ := applyPlans(v)
		for _, o := range owners {
			Expect(o.Instance).To(BeElementOf("d0", "d1", "d3", "d4", "d6", "d7"))
		}
	})

	It("transfers all partitions of a leaving member", func() {
		v := view(members(9))
		applyPlans(v)
		v.Members[0].State = zpassign.MemberLeaving
		owners, _ := applyPlans(v)
		for _, o := range owners {
			Expect(o.Instance).NotTo(Equal("d0"))
		}
	})

	It("increments the epoch with each change of owner", func() {
		v := view(members(3))
		applyPlans(v)
		before := v.Owners[0]
		for i := range v.Members {
			if v.Members[i].Instance == before.Instance {
				v.Members[i].State = zpassign.MemberGone
			}
		}
		applyPlans(v)
		Expect(v.Owners[0].Epoch).To(Equal(before.Epoch + 1))
	})

	It("plans no transfer while every partition has its preferred owner", func() {
		v := view(members(3))
		applyPlans(v)
		for _, m := range v.Members {
			Expect(zpassign.Plan(v, m.Instance)).To(BeEmpty())
		}
	})
})

var _ = Describe("PartitionOf", func() {
	DescribeTable("maps a key to a partition of its region",
		func(region string) {
			for i := range 200 {
				p := zpassign.PartitionOf(fmt.Sprintf("k%d", i), region, 64, regions)
				Expect(p).To(And(BeNumerically(">=", 0), BeNumerically("<", 64)))
				Expect(zpassign.HomeRegion(p, regions)).To(Equal(region))
			}
		},
		Entry("north", "north"), Entry("south", "south"),
	)

	It("maps a key of an unknown region to any partition", func() {
		Expect(zpassign.PartitionOf("k", "west", 64, regions)).To(BeNumerically("<", 64))
	})

	It("returns a valid partition if there are fewer partitions than regions", func() {
		Expect(zpassign.PartitionOf("k", "south", 1, regions)).To(Equal(0))
	})
})

var _ = Describe("MonitorsOf", func() {
	It("chooses monitors in different failure domains", func() {
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

	It("chooses monitors in the same failure domain if there is no other", func() {
		ms := members(9)
		for i := range ms {
			ms[i].Domain = "a"
		}
		Expect(zpassign.MonitorsOf(ms[0], ms)).To(HaveLen(zpassign.MonitorsPerLease))
	})

	It("chooses no monitors for the only member", func() {
		ms := members(1)
		Expect(zpassign.MonitorsOf(ms[0], ms)).To(BeEmpty())
	})
})

var _ = Describe("Records", func() {
	It("are unchanged by encoding and decoding", func() {
		m := members(1)[0]
		data, err := zpassign.EncodeMember(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(zpassign.DecodeMember(data)).To(Equal(m))
		g := zpassign.Group{Owners: map[int]zpassign.Owner{3: {Instance: "x", Epoch: 9}}}
		data, err = zpassign.EncodeGroup(g)
		Expect(err).NotTo(HaveOccurred())
		Expect(zpassign.DecodeGroup(data)).To(Equal(g))
	})
})
