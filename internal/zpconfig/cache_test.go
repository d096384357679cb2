package zpconfig_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpconfig"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var start = time.Unix(1000, 0)

func manifest(version int64) *zpmanifest.Manifest {
	return &zpmanifest.Manifest{
		Version: version, Partitions: 8, ClaimShards: 2,
		Domains: []zpmanifest.Domain{{Name: "a", Region: "north"}},
	}
}

// stored returns the objects of a manifest, the head at the given revision.
func stored(m *zpmanifest.Manifest, revision int64) []zpobject.Object {
	GinkgoHelper()
	head, parts, err := zpmanifest.Split(m)
	Expect(err).NotTo(HaveOccurred())
	var out []zpobject.Object
	for _, p := range parts {
		out = append(out, zpobject.Object{Name: zpconfig.PartPrefix + p.Name, Revision: revision, Body: p.Body})
	}
	body, err := zpmanifest.EncodeHead(head)
	Expect(err).NotTo(HaveOccurred())
	return append(out, zpobject.Object{Name: zpconfig.ManifestObject, Revision: revision, Body: body})
}

func objects(version, revision int64) []zpobject.Object {
	GinkgoHelper()
	return stored(manifest(version), revision)
}

func expectVersion(c *zpconfig.Cache, v int64) {
	GinkgoHelper()
	Expect(c.Manifest()).NotTo(BeNil())
	Expect(c.Manifest().Version).To(Equal(v))
}

// head returns a stored head with the given text.
func head(text string) func() []zpobject.Object {
	return func() []zpobject.Object {
		return []zpobject.Object{{Name: zpconfig.ManifestObject, Revision: 2, Body: []byte(text)}}
	}
}

// part returns a stored manifest of one part with the given text.
func part(text string) func() []zpobject.Object {
	return func() []zpobject.Object {
		h := head(`{"version":2,"partitions":8,"claim_shards":2,"parts":["p"]}`)()
		return append(h, zpobject.Object{Name: zpconfig.PartPrefix + "p", Revision: 2, Body: []byte(text)})
	}
}

var _ = Describe("Cache", func() {
	It("never goes back to an older manifest", func() {
		c := zpconfig.NewCache()
		c.Apply(objects(5, 50), 50, start)
		c.Apply(objects(4, 40), 50, start)
		expectVersion(c, 5)
		c.Apply(objects(4, 60), 60, start)
		expectVersion(c, 5)
	})

	DescribeTable("keeps the last good manifest",
		func(bad func() []zpobject.Object) {
			c := zpconfig.NewCache()
			var refused error
			c.OnManifest = func(_ *zpmanifest.Manifest, err error) { refused = err }
			c.Apply(objects(1, 1), 1, start)
			c.Apply(bad(), 2, start)
			expectVersion(c, 1)
			Expect(refused).To(HaveOccurred())
		},
		Entry("not JSON", head("{{")),
		Entry("unknown member of the head", head(`{"version":2,"partitions":8,"claim_shards":2,"parts":[],"nonsense":1}`)),
		Entry("a part is missing", head(`{"version":2,"partitions":8,"claim_shards":2,"parts":["abc"]}`)),
		Entry("a part with an unknown member", part(`{"nonsense":1}`)),
		Entry("a part with invalid values", part(`{"failure_domains":[{"name":"A B","region":"r"}]}`)),
		Entry("claim shards changed", head(`{"version":2,"partitions":8,"claim_shards":4,"parts":[]}`)),
		Entry("deleted", func() []zpobject.Object {
			return []zpobject.Object{{Name: zpconfig.ManifestObject, Revision: 2, Deleted: true}}
		}),
	)

	It("does not take a peer's proof for more than it is worth", func() {
		c := zpconfig.NewCache()
		c.Apply(objects(1, 1), 1, start)
		peer := zpconfig.NewCache()
		peer.Apply(objects(2, 2), 2, start.Add(time.Second))
		asked := start.Add(3 * time.Second)
		c.Merge(peer.Since(c.Revision(), asked.Add(100*time.Millisecond)), asked)
		expectVersion(c, 2)
		Expect(c.Age(asked)).To(Equal(2100 * time.Millisecond))
	})

	It("does not bring back what was deleted", func() {
		body, err := zpassign.EncodeMember(zpassign.Member{Instance: "x", State: zpassign.MemberGone})
		Expect(err).NotTo(HaveOccurred())
		member := zpobject.Object{Name: zpassign.MemberObject("x"), Revision: 2, Body: body}
		c := zpconfig.NewCache()
		c.Apply(append(objects(1, 1), member), 2, start)
		late := c.Since(0, start)
		c.Apply([]zpobject.Object{{Name: member.Name, Revision: 3, Deleted: true}}, 3, start)
		for i := range int64(5000) {
			c.Apply([]zpobject.Object{{Name: fmt.Sprintf("%s%d", zpassign.MemberPrefix, i), Revision: 4 + i, Deleted: true}}, 4+i, start)
		}
		c.Merge(late, start)
		Expect(c.Members()).To(BeEmpty())
	})

	It("ignores a peer that is behind", func() {
		c := zpconfig.NewCache()
		c.Apply(objects(2, 2), 2, start)
		behind := zpconfig.NewCache()
		behind.Apply(objects(1, 1), 1, start.Add(time.Hour))
		c.Merge(behind.Since(0, start.Add(time.Hour)), start.Add(time.Hour))
		expectVersion(c, 2)
		Expect(c.Age(start.Add(time.Hour))).To(Equal(time.Hour))
	})

	It("forgets what a complete listing does not name", func() {
		c := zpconfig.NewCache()
		body, err := zpassign.EncodeMember(zpassign.Member{Instance: "x", State: zpassign.MemberServing})
		Expect(err).NotTo(HaveOccurred())
		c.Apply(append(objects(1, 1), zpobject.Object{Name: zpassign.MemberObject("x"), Revision: 2, Body: body}), 2, start)
		Expect(c.Members()).To(HaveLen(1))
		c.Replace(objects(1, 1), 9, start)
		Expect(c.Members()).To(BeEmpty())
		expectVersion(c, 1)
	})

	It("is monotone when caches exchange deltas in any order", func() {
		random := rand.New(rand.NewPCG(7, 0))
		caches := make([]*zpconfig.Cache, 5)
		for i := range caches {
			caches[i] = zpconfig.NewCache()
		}
		for round := int64(1); round <= 300; round++ {
			now := start.Add(time.Duration(round) * time.Millisecond)
			before := versions(caches)
			if random.IntN(4) == 0 {
				caches[random.IntN(len(caches))].Apply(objects(round, round), round, now)
			}
			from, to := caches[random.IntN(len(caches))], caches[random.IntN(len(caches))]
			to.Merge(from.Since(to.Revision(), now), now)
			for i, v := range versions(caches) {
				Expect(v).To(BeNumerically(">=", before[i]), fmt.Sprintf("cache %d in round %d", i, round))
			}
		}
	})

	It("knows which endpoints are out of service", func() {
		m := manifest(1)
		m.Pools = []zpmanifest.Pool{{Name: "p", Kind: zpmanifest.PoolKindService}}
		for _, name := range []string{"e1", "e2", "e3"} {
			m.Endpoints = append(m.Endpoints, zpmanifest.Endpoint{
				Name: name, Address: "http://127.0.0.1:" + name[1:], Pool: "p", Domain: "a", Slots: 1, ColdSlots: 1, Out: name == "e2",
			})
		}
		leaving, err := zpconfig.EncodeLeaving([]zpobject.VM{{Name: "e3", Leaving: true}, {Name: "e1"}})
		Expect(err).NotTo(HaveOccurred())
		c := zpconfig.NewCache()
		c.Apply(append(stored(m, 1), zpobject.Object{Name: zpconfig.LeavingObject, Revision: 2, Body: leaving}), 2, start)
		serving := c.Serving("p")
		Expect(serving).To(HaveLen(1))
		Expect(serving[0].Name).To(Equal("e1"))
	})
})

func versions(caches []*zpconfig.Cache) []int64 {
	out := make([]int64, len(caches))
	for i, c := range caches {
		if m := c.Manifest(); m != nil {
			out[i] = m.Version
		}
	}
	return out
}
