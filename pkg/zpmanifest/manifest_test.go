package zpmanifest_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

func validManifest() *zpmanifest.Manifest {
	return &zpmanifest.Manifest{
		Version: 3, Partitions: 64, ClaimShards: 8,
		Domains: []zpmanifest.Domain{{Name: "a", Region: "north"}, {Name: "b", Region: "south", Out: true}},
		Workspaces: []zpmanifest.Workspace{
			{Name: "w1", KeyHashes: []string{zpmanifest.HashKey("k1")}, Weight: 2, CacheKey: "c1"},
			{Name: "w2", KeyHashes: []string{zpmanifest.HashKey("k2")}, CacheKey: "c2"},
		},
		Models: []zpmanifest.Model{{Name: "m", WeightVersion: "v1", Pool: "p"}},
		Pools:  []zpmanifest.Pool{{Name: "p", Kind: zpmanifest.PoolKindModel}, {Name: "s", Kind: zpmanifest.PoolKindService, RequireKey: true}},
		Endpoints: []zpmanifest.Endpoint{
			{Name: "e1", Address: "http://127.0.0.1:1", Pool: "p", Domain: "a", Slots: 8, ColdSlots: 2, Fencing: true},
			{Name: "e2", Address: "http://127.0.0.1:2", Pool: "p", Domain: "b", Slots: 8, ColdSlots: 2},
			{Name: "e3", Address: "http://127.0.0.1:3", Pool: "p", Domain: "a", Slots: 8, ColdSlots: 2, Out: true},
		},
		Stores: []zpmanifest.Store{{Name: "s1", Address: "http://127.0.0.1:4", Domain: "a"}},
		Links:  []zpmanifest.Link{{Name: "l", Regions: [2]string{"north", "south"}, BytesPerSecond: 1}},
	}
}

var _ = Describe("Codec", func() {
	It("parses a formatted manifest back to an equal one", func() {
		text, err := zpmanifest.Format(validManifest())
		Expect(err).NotTo(HaveOccurred())
		Expect(zpmanifest.Parse(text)).To(Equal(validManifest()))
	})

	It("reports line and column of a syntax error", func() {
		_, err := zpmanifest.Parse([]byte("version: 1\nnonsense: 2\n"))
		Expect(err).To(MatchError(And(ContainSubstring("2:1"), ContainSubstring("remedy"))))
	})
})

var _ = Describe("Parts", func() {
	splitAndJoin := func(m *zpmanifest.Manifest) *zpmanifest.Manifest {
		GinkgoHelper()
		head, parts, err := zpmanifest.Split(m)
		Expect(err).NotTo(HaveOccurred())
		text, err := zpmanifest.EncodeHead(head)
		Expect(err).NotTo(HaveOccurred())
		head, err = zpmanifest.DecodeHead(text)
		Expect(err).NotTo(HaveOccurred())
		parsed := map[string]*zpmanifest.Manifest{}
		for _, p := range parts {
			parsed[p.Name], err = zpmanifest.ParsePart(p.Body)
			Expect(err).NotTo(HaveOccurred())
		}
		out, err := zpmanifest.Join(head, parsed)
		Expect(err).NotTo(HaveOccurred())
		return out
	}

	It("join to the original manifest", func() { Expect(splitAndJoin(validManifest())).To(Equal(validManifest())) })

	It("stay small with 12000 endpoints, and only one changes with an endpoint", func() {
		m := validManifest()
		for i := range 12000 {
			m.Endpoints = append(m.Endpoints, zpmanifest.Endpoint{
				Name: fmt.Sprintf("runner-%d", i), Address: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250), Pool: "p", Domain: "a", Slots: 8, ColdSlots: 2,
			})
		}
		before, parts, err := zpmanifest.Split(m)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range parts {
			Expect(len(p.Body)).To(BeNumerically("<", 16<<10))
		}
		m.Endpoints[5000].Out = true
		after, _, err := zpmanifest.Split(m)
		Expect(err).NotTo(HaveOccurred())
		changed := 0
		for i := range after.Parts {
			if !slices.Contains(before.Parts, after.Parts[i]) {
				changed++
			}
		}
		Expect(changed).To(Equal(1))
	})

	It("cannot be joined if one is missing", func() {
		head, _, err := zpmanifest.Split(validManifest())
		Expect(err).NotTo(HaveOccurred())
		_, err = zpmanifest.Join(head, nil)
		Expect(err).To(MatchError(ContainSubstring("missing")))
	})
})

var _ = Describe("Index", func() {
	It("finds the same entries as a linear search", func() {
		m := validManifest()
		m.BuildIndex()
		for _, name := range []string{"e1", "e3", "none"} {
			a, okA := validManifest().EndpointByName(name)
			b, okB := m.EndpointByName(name)
			Expect(b).To(Equal(a))
			Expect(okB).To(Equal(okA))
		}
		Expect(m.ServingEndpoints("p")).To(Equal(validManifest().ServingEndpoints("p")))
		Expect(m.Region("b")).To(Equal("south"))
	})
})

var _ = Describe("Validate", func() {
	It("accepts a valid manifest", func() { Expect(validManifest().Validate()).To(BeEmpty()) })

	DescribeTable("reports a fault",
		func(mutate func(*zpmanifest.Manifest), path string) {
			m := validManifest()
			mutate(m)
			faults := m.Validate()
			Expect(faults).NotTo(BeEmpty())
			Expect(faults[0].Path).To(Equal(path))
			Expect(faults[0].Remedy).NotTo(BeEmpty())
			Expect(zpmanifest.ValidationError(faults)).To(HaveOccurred())
		},
		Entry("no partitions", func(m *zpmanifest.Manifest) { m.Partitions = 0 }, "partitions"),
		Entry("too many shards", func(m *zpmanifest.Manifest) { m.ClaimShards = 5000 }, "claim_shards"),
		Entry("bad name", func(m *zpmanifest.Manifest) { m.Stores[0].Name = "S 1" }, "stores[0].name"),
		Entry("duplicate name", func(m *zpmanifest.Manifest) { m.Endpoints[1].Name = "e1" }, "endpoints[1].name"),
		Entry("no region", func(m *zpmanifest.Manifest) { m.Domains[0].Region = "" }, "failure_domains[0].region"),
		Entry("API key that is not hashed", func(m *zpmanifest.Manifest) { m.Workspaces[0].KeyHashes[0] = "k1" }, "workspaces[0].api_key_sha256"),
		Entry("key of another workspace", func(m *zpmanifest.Manifest) { m.Workspaces[1].KeyHashes = m.Workspaces[0].KeyHashes }, "workspaces[1].api_key_sha256"),
		Entry("no cache key", func(m *zpmanifest.Manifest) { m.Workspaces[0].CacheKey = "" }, "workspaces[0].cache_key"),
		Entry("cache key of another workspace", func(m *zpmanifest.Manifest) { m.Workspaces[1].CacheKey = "c1" }, "workspaces[1].cache_key"),
		Entry("negative weight", func(m *zpmanifest.Manifest) { m.Workspaces[0].Weight = -1 }, "workspaces[0].weight"),
		Entry("model in a service pool", func(m *zpmanifest.Manifest) { m.Models[0].Pool = "s" }, "models[0].pool"),
		Entry("no weight version", func(m *zpmanifest.Manifest) { m.Models[0].WeightVersion = "" }, "models[0].weight_version"),
		Entry("unknown kind", func(m *zpmanifest.Manifest) { m.Pools[1].Kind = "x" }, "pools[1].kind"),
		Entry("unknown pool", func(m *zpmanifest.Manifest) { m.Endpoints[0].Pool = "x" }, "endpoints[0].pool"),
		Entry("unknown domain", func(m *zpmanifest.Manifest) { m.Endpoints[0].Domain = "x" }, "endpoints[0].failure_domain"),
		Entry("bad address", func(m *zpmanifest.Manifest) { m.Endpoints[0].Address = "here" }, "endpoints[0].address"),
		Entry("duplicate address", func(m *zpmanifest.Manifest) { m.Endpoints[1].Address = m.Endpoints[0].Address }, "endpoints[1].address"),
		Entry("no slots", func(m *zpmanifest.Manifest) { m.Endpoints[0].Slots = 0 }, "endpoints[0].slots"),
		Entry("more cold slots than slots", func(m *zpmanifest.Manifest) { m.Endpoints[0].ColdSlots = 9 }, "endpoints[0].cold_slots"),
		Entry("link to itself", func(m *zpmanifest.Manifest) { m.Links[0].Regions[1] = "north" }, "links[0].regions"),
	)
})

var _ = Describe("CheckChange", func() {
	DescribeTable("rejects changes that are unsafe while daemons use different versions",
		func(change func(*zpmanifest.Manifest), ok bool) {
			m := validManifest()
			change(m)
			Expect(zpmanifest.CheckChange(validManifest(), m) == nil).To(Equal(ok))
		},
		Entry("claim shards", func(m *zpmanifest.Manifest) { m.ClaimShards = 9 }, false),
		Entry("partitions", func(m *zpmanifest.Manifest) { m.Partitions = 9 }, false),
		Entry("anything else", func(m *zpmanifest.Manifest) { m.Endpoints = nil }, true),
	)
})

var _ = Describe("Look-ups", func() {
	It("find the workspace of an API key", func() {
		w, ok := validManifest().WorkspaceByKey("k2")
		Expect(ok).To(BeTrue())
		Expect(w.Name).To(Equal("w2"))
		_, ok = validManifest().WorkspaceByKey("k3")
		Expect(ok).To(BeFalse())
	})

	It("exclude endpoints and failure domains that are out of service", func() {
		serving := validManifest().ServingEndpoints("p")
		Expect(serving).To(HaveLen(1))
		Expect(serving[0].Name).To(Equal("e1"))
		Expect(validManifest().DomainOut("unknown")).To(BeTrue())
	})

	It("are unaffected by changes to a clone", func() {
		m := validManifest()
		c := m.Clone()
		c.Endpoints[0].Out = true
		Expect(m.Endpoints[0].Out).To(BeFalse())
	})
})

func FuzzParse(f *testing.F) {
	text, err := zpmanifest.Format(validManifest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("links:\n- regions: [a, b, c]\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		if m, err := zpmanifest.Parse(text); err == nil {
			m.Validate()
		}
	})
}
