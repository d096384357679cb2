package zplookup_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zplookup"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

var start = time.Unix(1000, 0)

// fleet returns n daemons in each of two regions.
func fleet(n int) []zpassign.Member {
	var out []zpassign.Member
	for _, region := range []string{"n", "s"} {
		for i := range n {
			name := fmt.Sprintf("%s%d", region, i)
			out = append(out, zpassign.Member{Name: name, Address: name + ":1", Region: region})
		}
	}
	return out
}

func keys(part string) []zpparts.Key {
	return []zpparts.Key{{Salt: "v1", Part: part}, {Salt: "v2", Part: part}}
}

var _ = Describe("Owners", func() {
	It("names one daemon in each region, the same whoever asks", func() {
		daemons := fleet(20)
		all := zplookup.NewOwners(daemons)
		owners := all.Of("p")
		Expect(owners).To(HaveLen(2))
		Expect(owners[0].Region).NotTo(Equal(owners[1].Region))
		owner, ok := all.In("s", "p")
		Expect(ok).To(BeTrue())
		Expect(owners).To(ContainElement(owner))
	})

	It("spreads the parts evenly over the strongest daemons", func() {
		daemons := fleet(28)
		for i := range 4 {
			daemons[7*i].Cores = 2
		}
		owners := zplookup.NewOwners(daemons)
		count := map[string]int{}
		for i := range 4000 {
			owner, _ := owners.In("n", fmt.Sprint(i))
			Expect(owner.Cores).To(BeEquivalentTo(2))
			count[owner.Name]++
		}
		Expect(count).To(HaveLen(4))
		for _, n := range count {
			Expect(n).To(BeNumerically("~", 1000, 200))
		}
	})

	It("moves only the parts of a daemon that left", func() {
		daemons := fleet(3)
		for i := range 500 {
			before, _ := zplookup.NewOwners(daemons).In("n", fmt.Sprint(i))
			after, _ := zplookup.NewOwners(daemons[1:]).In("n", fmt.Sprint(i))
			if before.Name != "n0" {
				Expect(after).To(Equal(before))
			}
		}
	})

	It("leaves out what this daemon owns itself", func() {
		owners := zplookup.NewOwners(fleet(5))
		owner, _ := owners.In("n", "p")
		changes := []zpparts.Change{{Holder: "e", Key: zpparts.Key{Part: "p"}, Tokens: 1}}
		Expect(owners.Group(changes, owner.Name)).NotTo(HaveKey(owner.Address))
		Expect(owners.Group(changes, owner.Name)).To(HaveLen(1))
	})
})

var _ = Describe("Asker", func() {
	var asker *zplookup.Asker
	var mu sync.Mutex
	var asked map[string]int // keys by part
	var learned []zpparts.Change
	var down bool
	var now time.Time
	owners := zplookup.NewOwners(fleet(5))

	BeforeEach(func() {
		asked, learned, down, now = map[string]int{}, nil, false, start
		asker = &zplookup.Asker{
			Self: zpassign.Member{Name: "caller", Region: "n"}, Owners: func() *zplookup.Owners { return owners },
			Call: func(_ context.Context, address string, list []zpparts.Key) (zpparts.Knowledge, error) {
				mu.Lock()
				defer mu.Unlock()
				for _, k := range list {
					asked[k.Part]++
					owner, _ := owners.In("n", k.Part)
					Expect(owner.Address).To(Equal(address))
				}
				if down {
					return zpparts.Knowledge{}, errors.New("down")
				}
				return zpparts.Knowledge{Held: []zpparts.Change{{Holder: "e", Key: list[0], Tokens: 1}}}, nil
			},
			Learn: func(_ []zpparts.Key, k zpparts.Knowledge, _ time.Time) { learned = append(learned, k.Held...) },
			Log:   zplog.Discard(), Clock: func() time.Time { return now },
		}
	})

	look := func(parts ...string) {
		var list [][]zpparts.Key
		for _, p := range parts {
			list = append(list, keys(p))
		}
		asker.Look(context.Background(), list)
	}

	It("asks the owner of each part of its own region", func() {
		look("common", "library")
		Expect(asked).To(Equal(map[string]int{"common": 2, "library": 2}))
		Expect(learned).NotTo(BeEmpty())
	})

	It("uses an answer about a common beginning for a while, and asks for the last part each time", func() {
		look("common", "library")
		look("common", "other")
		look("common", "library")
		Expect(asked).To(Equal(map[string]int{"common": 2, "library": 4, "other": 2}))
		now = now.Add(time.Second)
		look("common", "library")
		Expect(asked["common"]).To(Equal(4))
	})

	It("spares an owner that does not answer for a while", func() {
		down = true
		look("library")
		look("library")
		Expect(asked["library"]).To(Equal(2))
		down, now = false, now.Add(time.Second)
		look("library")
		Expect(asked["library"]).To(Equal(4))
		Expect(learned).To(HaveLen(1))
	})

	It("does not ask itself", func() {
		owner, _ := owners.In("n", "library")
		asker.Self = owner
		look("library")
		Expect(asked).To(BeEmpty())
	})
})
