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
	promptRequest := func(key string) *zpgateway.Request {
		q := request("tag")
		q.APIKey = key
		q.Prompt = &zpgateway.Prompt{Model: "m", Tokens: 60, OutputTokens: 5, Parts: []zpgateway.Part{{"p0", 20}, {"p1", 30}, {"own", 10}}}
		return q
	}

	It("sends a prompt to the endpoint that has read it", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.serve(promptRequest("k"))
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[1].Endpoint.ID).To(Equal(s.runner.runs[0].Endpoint.ID))
		Expect(s.runner.runs[1].Fetch).To(BeEmpty())
	})

	It("separates parts of isolated workspaces and of different weight versions", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.serve(promptRequest("k"))
		s.serve(promptRequest("k2"))
		s.Registry.SetWeights(s.runner.runs[0].Endpoint.ID, "m", 2)
		s.serve(promptRequest("k"))
		salts := map[string]bool{}
		for _, run := range s.runner.runs {
			salts[run.Salt+run.Endpoint.ID] = true
		}
		Expect(s.runner.runs[0].Salt).NotTo(Equal(s.runner.runs[1].Salt))
		Expect(salts).To(HaveLen(3))
	})

	It("separates parts of isolated workspaces also on a route without keys", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		for i := range s.Catalog().Routes {
			s.Catalog().Routes[i].Anonymous = true
		}
		s.serve(promptRequest("k"))
		s.serve(promptRequest("k2"))
		Expect(s.runner.runs[0].Salt).To(Equal(sharedSalt))
		Expect(s.runner.runs[1].Salt).To(Equal("v1.m.isolated"))
	})

	It("requires the weight version of the salt", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[0].WeightVersion).To(BeEquivalentTo(1))
	})

	It("fetches only complete parts from a usable store, and does not save parts that a store holds", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.Stores.Set(zpparts.Store{Name: "kept", Epoch: 1, Readable: true, Free: 100_000}, time.Now())
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: sharedSalt, Part: "p0"}, Tokens: 20})
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: sharedSalt, Part: "p1"}, Tokens: 29})
		s.serve(promptRequest("k"))
		run := s.runner.runs[0]
		Expect(run.Fetch).To(Equal([]zpgateway.Transfer{{Address: "store", Tokens: 20}, {}, {}}))
		Expect(run.Save).To(BeNil())
	})

	It("neither fetches from nor saves to a store whose state is unknown", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: sharedSalt, Part: "p0"}, Tokens: 20})
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[0].Fetch).To(BeEmpty())
		Expect(s.runner.runs[0].Save).To(BeEmpty())
	})

	It("starts no run on weights that were replaced too long ago", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.Weights.SetTarget("m", 2, time.Now().Add(-9*time.Second))
		s.Registry.SetWeights("e2", "m", 2)
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e2"))
	})

	// moveToOtherRegion moves endpoints to another region and records that e3 holds
	// all shared parts of the prompt.
	moveToOtherRegion := func(s testGateway, ids ...string) {
		var list []zpregistry.Endpoint
		for _, e := range s.Registry.AllInPool("pool", time.Now()) {
			if slices.Contains(ids, e.ID) {
				e.Region = "other"
			}
			list = append(list, e)
		}
		s.Registry.Replace(list, time.Now())
		for part, tokens := range map[string]int{"p0": 20, "p1": 30} {
			s.Parts.Apply(zpparts.Change{Holder: "e3", Key: zpparts.Key{Salt: sharedSalt, Part: part}, Tokens: tokens})
		}
	}
	restrictRoutes := func(s testGateway) {
		for i := range s.Catalog().Routes {
			s.Catalog().Routes[i].Regions = []string{"n"}
		}
	}

	It("sends a prompt to no endpoint outside the regions of its route", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		moveToOtherRegion(s, "e1", "e3")
		restrictRoutes(s)
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e2"))
	})

	It("refuses a prompt as not run if its regions have no endpoint", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		moveToOtherRegion(s, "e1", "e2", "e3")
		restrictRoutes(s)
		expectRefused(s.serve(promptRequest("k")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(s.runner.runs).To(BeEmpty())
	})

	It("fetches nothing from outside the regions of the route", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		moveToOtherRegion(s, "e3")
		restrictRoutes(s)
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[0].Fetch).To(BeEmpty())
	})

	It("refreshes the holders of the shared parts for all weights in use before choosing an endpoint", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.Registry.SetWeights("e2", "m", 2)
		var refreshed [][]zpparts.Key
		s.RefreshParts = func(_ context.Context, parts [][]zpparts.Key) {
			refreshed = parts
			for _, part := range parts {
				s.Parts.Apply(zpparts.Change{Holder: "e3", Key: part[0], Tokens: 30})
			}
		}
		s.serve(promptRequest("k"))
		Expect(refreshed).To(Equal([][]zpparts.Key{
			{{Salt: sharedSalt, Part: "p0"}, {Salt: sharedSalt2, Part: "p0"}}, {{Salt: sharedSalt, Part: "p1"}, {Salt: sharedSalt2, Part: "p1"}},
		}))
		Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e3"))
	})

	It("fetches no part that a store held before its restart", func() {
		s := newTestGateway(responds(http.StatusOK, events))
		s.Stores.Set(zpparts.Store{Name: "kept", Epoch: 2, Readable: true, Free: 100_000}, time.Now())
		s.Parts.Apply(zpparts.Change{Holder: "kept@1", Key: zpparts.Key{Salt: sharedSalt, Part: "p0"}, Tokens: 20})
		s.serve(promptRequest("k"))
		Expect(s.runner.runs[0].Fetch).To(BeEmpty())
	})
})
