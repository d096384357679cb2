package zpgateway_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

var _ = Describe("Parts of prompts", func() {
	prompt := func(key string) *zpgateway.Request {
		q := request("tag")
		q.Key = key
		q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 60, OutputTokens: 5, Parts: []zpgateway.Part{{"p0", 20}, {"p1", 30}, {"own", 10}}}
		return q
	}

	It("goes where the prompt has been read", func() {
		s := newSite(answers(http.StatusOK, events))
		s.serve(prompt("k"))
		s.serve(prompt("k"))
		Expect(s.runner.runs[1].Endpoint.ID).To(Equal(s.runner.runs[0].Endpoint.ID))
		Expect(s.runner.runs[1].Fetch).To(BeEmpty())
	})

	It("keeps parts of isolated workspaces and of other weights apart", func() {
		s := newSite(answers(http.StatusOK, events))
		s.serve(prompt("k"))
		s.serve(prompt("k2"))
		s.Registry.SetWeights(s.runner.runs[0].Endpoint.ID, "m", 2)
		s.serve(prompt("k"))
		salts := map[string]bool{}
		for _, run := range s.runner.runs {
			salts[run.Salt+run.Endpoint.ID] = true
		}
		Expect(s.runner.runs[0].Salt).NotTo(Equal(s.runner.runs[1].Salt))
		Expect(salts).To(HaveLen(3))
	})

	It("asks for the weights to which the salt belongs", func() {
		s := newSite(answers(http.StatusOK, events))
		s.serve(prompt("k"))
		Expect(s.runner.runs[0].WeightVersion).To(BeEquivalentTo(1))
	})

	It("fetches whole parts from a usable store alone, and saves what no store holds", func() {
		s := newSite(answers(http.StatusOK, events))
		s.Stores.Set(zpparts.Store{Name: "kept", Epoch: 1, Readable: true, Free: 100_000}, time.Now())
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: "v1.m", Part: "p0"}, Tokens: 20})
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: "v1.m", Part: "p1"}, Tokens: 29})
		s.serve(prompt("k"))
		run := s.runner.runs[0]
		Expect(run.Fetch).To(Equal([]zpgateway.Transfer{{Address: "store", Tokens: 20}, {}, {}}))
		Expect(run.Save).To(BeNil())
	})

	It("uses nothing of a store whose state is not known", func() {
		s := newSite(answers(http.StatusOK, events))
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: "v1.m", Part: "p0"}, Tokens: 20})
		s.serve(prompt("k"))
		Expect(s.runner.runs[0].Fetch).To(BeEmpty())
		Expect(s.runner.runs[0].Save).To(BeEmpty())
	})

	It("begins nothing on weights that were replaced too long ago", func() {
		s := newSite(answers(http.StatusOK, events))
		s.Weights.Name("m", 2, time.Now().Add(-9*time.Second))
		s.Registry.SetWeights("e2", "m", 2)
		s.serve(prompt("k"))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e2"))
	})

	// abroad moves endpoints to another region and has e3 hold the whole prompt.
	abroad := func(s site, ids ...string) {
		var list []zpregistry.Endpoint
		for _, e := range s.Registry.All("pool", time.Now()) {
			if slices.Contains(ids, e.ID) {
				e.Region = "abroad"
			}
			list = append(list, e)
		}
		s.Registry.Replace(list, time.Now())
		for part, tokens := range map[string]int{"p0": 20, "p1": 30} {
			s.Parts.Apply(zpparts.Change{Holder: "e3", Key: zpparts.Key{Salt: "v1.m", Part: part}, Tokens: tokens})
		}
	}
	restrict := func(s site) {
		for i := range s.Catalog().Routes {
			s.Catalog().Routes[i].Regions = []string{"n"}
		}
	}

	It("sends a prompt to no endpoint outside the regions of its route", func() {
		s := newSite(answers(http.StatusOK, events))
		abroad(s, "e1", "e3")
		restrict(s)
		s.serve(prompt("k"))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e2"))
	})

	It("refuses a prompt whose regions have no endpoint, as not run", func() {
		s := newSite(answers(http.StatusOK, events))
		abroad(s, "e1", "e2", "e3")
		restrict(s)
		expectRefused(s.serve(prompt("k")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(s.runner.runs).To(BeEmpty())
	})

	It("fetches nothing from outside the regions of the route, and from there otherwise", func() {
		s := newSite(answers(http.StatusOK, events))
		abroad(s, "e3")
		restrict(s)
		s.serve(prompt("k"))
		Expect(s.runner.runs[0].Fetch).To(BeEmpty())
	})

	It("looks the holders of the shared parts up for the weights in use, before it chooses", func() {
		s := newSite(answers(http.StatusOK, events))
		s.Registry.SetWeights("e2", "m", 2)
		var asked [][]zpparts.Key
		s.LookUp = func(_ context.Context, parts [][]zpparts.Key) {
			asked = parts
			for _, part := range parts {
				s.Parts.Apply(zpparts.Change{Holder: "e3", Key: part[0], Tokens: 30})
			}
		}
		s.serve(prompt("k"))
		Expect(asked).To(Equal([][]zpparts.Key{
			{{Salt: "v1.m", Part: "p0"}, {Salt: "v2.m", Part: "p0"}}, {{Salt: "v1.m", Part: "p1"}, {Salt: "v2.m", Part: "p1"}},
		}))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e3"))
	})

	It("uses no part of an earlier life of a store", func() {
		s := newSite(answers(http.StatusOK, events))
		s.Stores.Set(zpparts.Store{Name: "kept", Epoch: 2, Readable: true, Free: 100_000}, time.Now())
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: "v1.m", Part: "p0"}, Tokens: 20})
		s.serve(prompt("k"))
		Expect(s.runner.runs[0].Fetch).To(BeEmpty())
	})
})
