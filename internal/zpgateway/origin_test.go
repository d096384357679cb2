package zpgateway_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zporigin"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// newMixedGateway returns a gateway whose endpoints e1 and e3 have the version v1, and e2 v2.
// It knows no other daemons.
func newMixedGateway(steps ...step) testGateway {
	s := newTestGateway(steps...)
	for id, version := range map[string]string{"e1": "v1", "e2": "v2", "e3": "v1"} {
		s.Registry.Put(zpregistry.Endpoint{
			ID: id, Pool: "pool", Address: id + ":1", FailureDomain: "a", Region: "n", SoftwareVersion: version, Slots: 4, Weights: map[string]int64{"m": 1},
		})
	}
	s.Origins = &zporigin.Directory{
		Alive: nobody, Registered: nobody, Others: func() []zpassign.Member { return nil }, HearsAll: func() bool { return true }, ListedAt: time.Now,
		KeepsSince: func() time.Time { return time.Now().Add(-time.Hour) }, SeesSince: func() time.Time { return time.Time{} },
		Table: zporigin.NewTable(), Pools: zporigin.NewVersions(), Log: zplog.Discard(), Clock: time.Now,
		VersionsOf:   func(string, time.Time) []string { return []string{"v1", "v2"} },
		ReadVersions: func(context.Context, string) ([]string, error) { return nil, nil },
	}
	s.Origins.Observe(context.Background(), "pool", time.Now())
	return s
}

func nobody(string) [][]zpassign.Member { return nil }

func (s testGateway) versionsOfRuns() []string {
	var out []string
	for _, r := range s.runner.runs {
		out = append(out, r.Endpoint.SoftwareVersion)
	}
	return out
}

func resumedRequest(after, attempt string) *zpgateway.Request {
	q := request("tag")
	q.ID, q.LastEventID, q.ResumedID = "r2", after, attempt
	return q
}

var _ = Describe("A stream in a pool of several software versions", func() {
	first, rest := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"

	// Guards against the rest of a stream from an endpoint of another version, by the daemon's own retry.
	It("goes on at the version that began it when it breaks off", func() {
		for range 10 {
			s := newMixedGateway(resetsAfter(first), responds(http.StatusOK, rest))
			reply := s.serve(request("tag"))
			versions := s.versionsOfRuns()
			if versions[0] == "v2" {
				Expect(versions).To(HaveLen(1))
				Expect(reply.aborted).To(BeTrue())
				continue
			}
			expectResponse(reply, http.StatusOK, first+rest)
			Expect(versions).To(Equal([]string{"v1", "v1"}))
		}
	})

	// Guards against the rest of a stream from an endpoint of another version, by the caller's retry.
	DescribeTable("goes on at the version that began it when its caller takes it up", func(version string) {
		for range 5 {
			s := newMixedGateway(responds(http.StatusOK, rest))
			s.Origins.Table.Record(zporigin.Origin{Request: "r1", Pool: "pool", Version: version}, time.Now())
			expectResponse(s.serve(resumedRequest("1", "r1")), http.StatusOK, rest)
			Expect(s.versionsOfRuns()).To(Equal([]string{version}))
		}
	},
		Entry("an old one", "v1"),
		Entry("a new one", "v2"),
	)

	It("is refused as not run, and at once, if it is not known where it began", func() {
		s := newMixedGateway(responds(http.StatusOK, rest))
		reply := s.serve(resumedRequest("1", "r1"))
		expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(reply.refused.Code).To(Equal("stream_origin_unknown"))
		Expect(s.runner.runs).To(BeEmpty())
	})

	// Guards against the rest of a stream from an endpoint of another version that joins after the origin was sought.
	DescribeTable("goes on at the only version of its pool, although another one appears while it waits", func(version string) {
		s := newMixedGateway()
		put := func(id, version string, startedAtMS int64) {
			s.Registry.Put(zpregistry.Endpoint{
				ID: id, Pool: "pool", Address: id + ":1", FailureDomain: "a", Region: "n", SoftwareVersion: version, Slots: 4, StartedAtMS: startedAtMS, Weights: map[string]int64{"m": 1},
			})
		}
		ids := []string{"e1", "e2", "e3"}
		for _, id := range ids {
			put(id, version, 1)
		}
		s.Origins.Pools, s.Origins.VersionsOf = zporigin.NewVersions(), func(string, time.Time) []string { return []string{version} }
		s.runner.steps = []step{func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			for _, id := range ids {
				put(id, "v2", 2)
			}
			return dialFails(ctx, gate)
		}, responds(http.StatusOK, rest)}
		expectRefused(s.serve(resumedRequest("1", "r1")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(s.versionsOfRuns()).To(HaveEach(version))
	},
		Entry("with a name", "v1"),
		Entry("of entries that name none", ""),
	)

	// Guards against a daemon that is cut off before a second version appears.
	It("is refused if nobody knows it and this daemon may not know of other versions", func() {
		s := newMixedGateway(responds(http.StatusOK, rest))
		s.Origins.Pools, s.Origins.VersionsOf = zporigin.NewVersions(), func(string, time.Time) []string { return []string{"v1"} }
		expectResponse(s.serve(resumedRequest("1", "r1")), http.StatusOK, rest)
		s.Origins.Table = zporigin.NewTable()
		s.IsCatalogConfirmed = func() bool { return false }
		expectRefused(s.serve(resumedRequest("1", "r1")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
	})

	Context("on a route that is split among pools", func() {
		var s testGateway

		BeforeEach(func() {
			s = newMixedGateway(responds(http.StatusOK, rest))
			c := newCatalog()
			c.Pools = append(c.Pools, zpcatalog.Pool{Name: "second", Engine: c.Pools[0].Engine})
			for i := range c.Routes {
				c.Routes[i].Shares = append(c.Routes[i].Shares, zpcatalog.Share{Pool: "second", Weight: 1})
			}
			c.BuildIndexes()
			s.Catalog = func() *zpcatalog.Catalog { return c }
			s.Registry.Put(zpregistry.Endpoint{
				ID: "e4", Pool: "second", Address: "e4:1", FailureDomain: "a", Region: "n", SoftwareVersion: "v1", Slots: 4, Weights: map[string]int64{"m": 1},
			})
			s.Origins.VersionsOf = func(string, time.Time) []string { return []string{"v1"} }
			s.Origins.Pools = zporigin.NewVersions()
		})

		// Guards against the rest of a stream from an endpoint of another pool.
		It("goes on in the pool in which it began", func() {
			s.Origins.Table.Record(zporigin.Origin{Request: "r1", Pool: "second", Version: "v1"}, time.Now())
			expectResponse(s.serve(resumedRequest("1", "r1")), http.StatusOK, rest)
			Expect(s.runner.runs[0].Endpoint.ID).To(Equal("e4"))
		})

		DescribeTable("is refused as not run",
			func(code string, origins ...zporigin.Origin) {
				for _, o := range origins {
					s.Origins.Table.Record(o, time.Now())
				}
				reply := s.serve(resumedRequest("1", "r1"))
				expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
				Expect(reply.refused.Code).To(Equal(code))
				Expect(s.runner.runs).To(BeEmpty())
			},
			Entry("if nobody knows it", "stream_origin_unknown"),
			Entry("if the pool in which it began serves the route no more", "stream_origin_gone", zporigin.Origin{Request: "r1", Pool: "kept", Version: "v1"}),
		)
	})

	// Guards against the rest of a stream from an endpoint of the pool to which its route was moved meanwhile.
	It("is refused as not run if its route was moved lately and nobody knows where it began", func() {
		s := newMixedGateway(responds(http.StatusOK, rest))
		s.Origins.Pools, s.Origins.VersionsOf = zporigin.NewVersions(), func(string, time.Time) []string { return []string{"v1"} }
		now := time.Now()
		c := newCatalog()
		for i := range c.Routes {
			c.Routes[i].MovedAt = now.Add(-50 * time.Second)
		}
		s.Catalog = func() *zpcatalog.Catalog { return c }
		reply := s.serve(resumedRequest("1", "r1"))
		expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(reply.refused.Code).To(Equal("stream_origin_unknown"))
		for i := range c.Routes {
			c.Routes[i].MovedAt = now.Add(-time.Hour)
		}
		expectResponse(s.serve(resumedRequest("1", "r1")), http.StatusOK, rest)
	})

	// Guards against refusing a stream whose caller names the attempt before, which took it up itself.
	DescribeTable("is known by both attempts after it was taken up",
		func(version string, prepare func(s testGateway)) {
			s := newMixedGateway(responds(http.StatusOK, rest))
			prepare(s)
			expectResponse(s.serve(resumedRequest("1", "r1")), http.StatusOK, rest)
			for _, attempt := range []string{"r1", "r2"} {
				o, ok := s.Origins.Table.Find(attempt, time.Now())
				Expect(ok).To(BeTrue())
				Expect(o).To(Equal(zporigin.Origin{Request: attempt, Pool: "pool", Version: version}))
			}
		},
		Entry("in a pool of one version", "v1", func(s testGateway) {
			s.Origins.Pools, s.Origins.VersionsOf = zporigin.NewVersions(), func(string, time.Time) []string { return []string{"v1"} }
		}),
		Entry("if its origin was known", "v2", func(s testGateway) {
			s.Origins.Table.Record(zporigin.Origin{Request: "r1", Pool: "pool", Version: "v2"}, time.Now())
		}),
		Entry("if its origin was assumed", "v1", func(s testGateway) {
			s.Origins.Pools = zporigin.NewVersions()
			s.Origins.Pools.Observe("pool", []string{"v1"}, time.Now())
			s.Origins.Pools.Observe("pool", []string{"v1", "v2"}, time.Now())
		}),
	)

	// Guards against the rest of a stream from another pool at a daemon that started after its route was moved.
	It("is refused as not run if nobody knows it, nor whether its route was moved within the last minute", func() {
		s := newMixedGateway(responds(http.StatusOK, rest))
		s.Origins.Pools, s.Origins.VersionsOf = zporigin.NewVersions(), func(string, time.Time) []string { return []string{"v1"} }
		startedAt := time.Now().Add(-50 * time.Second)
		s.Origins.SeesSince, s.Origins.KeepsSince = func() time.Time { return startedAt }, func() time.Time { return startedAt }
		reply := s.serve(resumedRequest("1", "r1"))
		expectRefused(reply, http.StatusServiceUnavailable, zperror.RunStateNotRun)
		Expect(reply.refused.Code).To(Equal("stream_origin_unknown"))
		startedAt = time.Now().Add(-2 * time.Minute)
		expectResponse(s.serve(resumedRequest("1", "r1")), http.StatusOK, rest)
	})

	It("is known before its caller gets the first event", func() {
		s := newMixedGateway(responds(http.StatusOK, first))
		s.Serve(context.Background(), request("tag"), &fakeReply{failWrites: true})
		o, ok := s.Origins.Table.Find("r", time.Now())
		Expect(ok).To(BeTrue())
		Expect(o.Version).To(Equal(s.runner.runs[0].Endpoint.SoftwareVersion))
	})

	It("may begin anew at another version if it broke off before its first event", func() {
		versions := map[string]bool{}
		for range 20 {
			s := newMixedGateway(resets, responds(http.StatusOK, first))
			expectResponse(s.serve(request("tag")), http.StatusOK, first)
			versions[strings.Join(s.versionsOfRuns(), " ")] = true
		}
		Expect(versions).To(Or(HaveKey("v1 v2"), HaveKey("v2 v1")))
	})

	// Guards against callers that left being counted as streams of unknown origin.
	It("ends as one of a caller that left, if it did so while the origin was sought", func() {
		s := newMixedGateway(responds(http.StatusOK, rest))
		s.Origins.Pools, s.Origins.VersionsOf = zporigin.NewVersions(), func(string, time.Time) []string { return []string{"v1"} }
		ctx, leave := context.WithCancel(context.Background())
		s.Origins.ReadVersions = func(ctx context.Context, _ string) ([]string, error) {
			leave()
			return nil, ctx.Err()
		}
		reply := &fakeReply{}
		s.Serve(ctx, resumedRequest("1", "r1"), reply)
		Expect(reply.aborted).To(BeTrue())
		Expect(reply.refused).To(BeNil())
		Expect(s.runner.runs).To(BeEmpty())
	})

	// Guards against an endpoint that starts again under its id with another version while a request is sent to it.
	It("is not sent to an endpoint that has another version since it was chosen", func() {
		s := newMixedGateway()
		s.runner.steps = []step{func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
			chosen := s.runner.runs[0].Endpoint
			chosen.SoftwareVersion, chosen.StartedAtMS = "v3", 9
			s.Registry.Put(chosen)
			if err := gate.Open(); err != nil {
				return nil, err
			}
			return responds(http.StatusOK, first)(ctx, gate)
		}, responds(http.StatusOK, first)}
		expectResponse(s.serve(request("tag")), http.StatusOK, first)
		Expect(s.runner.runs).To(HaveLen(2))
	})
})
