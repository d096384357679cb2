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

// manifestObjects returns the stored objects of a manifest at the given revision.
func manifestObjects(m *zpmanifest.Manifest, revision int64) []zpobject.Object {
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

func manifestOfVersion(version, revision int64) []zpobject.Object {
	GinkgoHelper()
	return manifestObjects(manifest(version), revision)
}

func expectVersion(c *zpconfig.Cache, v int64) {
	GinkgoHelper()
	Expect(c.Manifest()).NotTo(BeNil())
	Expect(c.Manifest().Version).To(Equal(v))
}

// head returns a function that returns a stored head with the given text.
func head(text string) func() []zpobject.Object {
	return func() []zpobject.Object {
		return []zpobject.Object{{Name: zpconfig.ManifestObject, Revision: 2, Body: []byte(text)}}
	}
}

// part returns a function that returns a stored manifest whose only part has the
// given text.
func part(text string) func() []zpobject.Object {
	return func() []zpobject.Object {
		h := head(`{"version":2,"partitions":8,"claim_shards":2,"parts":["p"]}`)()
		return append(h, zpobject.Object{Name: zpconfig.PartPrefix + "p", Revision: 2, Body: []byte(text)})
	}
}

var _ = Describe("Cache", func() {
	It("does not replace the manifest by an older version", func() {
		c := zpconfig.NewCache()
		c.Apply(manifestOfVersion(5, 50), 50, start)
		c.Apply(manifestOfVersion(4, 40), 50, start)
		expectVersion(c, 5)
		c.Apply(manifestOfVersion(4, 60), 60, start)
		expectVersion(c, 5)
	})

	DescribeTable("keeps the manifest in force and reports an error if the new one is not valid",
		func(invalid func() []zpobject.Object) {
			c := zpconfig.NewCache()
			var manifestErr error
			c.OnManifest = func(_ *zpmanifest.Manifest, err error) { manifestErr = err }
			c.Apply(manifestOfVersion(1, 1), 1, start)
			c.Apply(invalid(), 2, start)
			expectVersion(c, 1)
			Expect(manifestErr).To(HaveOccurred())
		},
		Entry("not JSON", head("{{")),
		Entry("unknown field in the head", head(`{"version":2,"partitions":8,"claim_shards":2,"parts":[],"nonsense":1}`)),
		Entry("missing part", head(`{"version":2,"partitions":8,"claim_shards":2,"parts":["abc"]}`)),
		Entry("unknown field in a part", part(`{"nonsense":1}`)),
		Entry("invalid values in a part", part(`{"failure_domains":[{"name":"A B","region":"r"}]}`)),
		Entry("changed number of claim shards", head(`{"version":2,"partitions":8,"claim_shards":4,"parts":[]}`)),
		Entry("deleted manifest", func() []zpobject.Object {
			return []zpobject.Object{{Name: zpconfig.ManifestObject, Revision: 2, Deleted: true}}
		}),
	)

	It("takes over the age of a peer's copy, counted from when the peer was asked", func() {
		c := zpconfig.NewCache()
		c.Apply(manifestOfVersion(1, 1), 1, start)
		peer := zpconfig.NewCache()
		peer.Apply(manifestOfVersion(2, 2), 2, start.Add(time.Second))
		askedAt := start.Add(3 * time.Second)
		c.Merge(peer.Since(c.Revision(), askedAt.Add(100*time.Millisecond)), askedAt)
		expectVersion(c, 2)
		Expect(c.Age(askedAt)).To(Equal(2100 * time.Millisecond))
	})

	It("does not restore a deleted member from an older delta after its tombstone was dropped", func() {
		body, err := zpassign.EncodeMember(zpassign.Member{Instance: "x", State: zpassign.MemberGone})
		Expect(err).NotTo(HaveOccurred())
		member := zpobject.Object{Name: zpassign.MemberObject("x"), Revision: 2, Body: body}
		c := zpconfig.NewCache()
		c.Apply(append(manifestOfVersion(1, 1), member), 2, start)
		oldDelta := c.Since(0, start)
		c.Apply([]zpobject.Object{{Name: member.Name, Revision: 3, Deleted: true}}, 3, start)
		for i := range int64(5000) {
			c.Apply([]zpobject.Object{{Name: fmt.Sprintf("%s%d", zpassign.MemberPrefix, i), Revision: 4 + i, Deleted: true}}, 4+i, start)
		}
		c.Merge(oldDelta, start)
		Expect(c.Members()).To(BeEmpty())
	})

	It("ignores the delta of a peer with an older revision", func() {
		c := zpconfig.NewCache()
		c.Apply(manifestOfVersion(2, 2), 2, start)
		peer := zpconfig.NewCache()
		peer.Apply(manifestOfVersion(1, 1), 1, start.Add(time.Hour))
		c.Merge(peer.Since(0, start.Add(time.Hour)), start.Add(time.Hour))
		expectVersion(c, 2)
		Expect(c.Age(start.Add(time.Hour))).To(Equal(time.Hour))
	})

	It("removes objects that a complete listing does not contain", func() {
		c := zpconfig.NewCache()
		body, err := zpassign.EncodeMember(zpassign.Member{Instance: "x", State: zpassign.MemberServing})
		Expect(err).NotTo(HaveOccurred())
		c.Apply(append(manifestOfVersion(1, 1), zpobject.Object{Name: zpassign.MemberObject("x"), Revision: 2, Body: body}), 2, start)
		Expect(c.Members()).To(HaveLen(1))
		c.Replace(manifestOfVersion(1, 1), 9, start)
		Expect(c.Members()).To(BeEmpty())
		expectVersion(c, 1)
	})

	It("never lowers the manifest version when caches exchange deltas in random order", func() {
		random := rand.New(rand.NewPCG(7, 0))
		caches := make([]*zpconfig.Cache, 5)
		for i := range caches {
			caches[i] = zpconfig.NewCache()
		}
		for round := int64(1); round <= 300; round++ {
			now := start.Add(time.Duration(round) * time.Millisecond)
			before := versions(caches)
			if random.IntN(4) == 0 {
				caches[random.IntN(len(caches))].Apply(manifestOfVersion(round, round), round, now)
			}
			from, to := caches[random.IntN(len(caches))], caches[random.IntN(len(caches))]
			to.Merge(from.Since(to.Revision(), now), now)
			for i, v := range versions(caches) {
				Expect(v).To(BeNumerically(">=", before[i]), fmt.Sprintf("cache %d in round %d", i, round))
			}
		}
	})

	It("does not serve endpoints that are taken out or whose VM is leaving", func() {
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
		c.Apply(append(manifestObjects(m, 1), zpobject.Object{Name: zpconfig.LeavingObject, Revision: 2, Body: leaving}), 2, start)
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
