package zpgateway_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpmetric"
	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/internal/zprollout"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// step is what an endpoint does with one run.
	step func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error)

	// fakeRunner answers the runs of one request by a script and keeps them.
	fakeRunner struct {
		mu    sync.Mutex
		steps []step
		runs  []zpgateway.Run
	}

	// fakeReply keeps what the caller gets.
	fakeReply struct {
		status  int
		header  http.Header
		body    bytes.Buffer
		refused *zperror.Error
		aborted bool
		broken  bool // writes fail
	}

	// breaking is a body that breaks off after its text.
	breaking struct{ io.Reader }
)

var errReset = errors.New("connection reset")

func (f *fakeRunner) Run(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Answer, error) {
	f.mu.Lock()
	f.runs = append(f.runs, run)
	i := min(len(f.runs), len(f.steps)) - 1
	f.mu.Unlock()
	return f.steps[i](ctx, gate)
}

func (r *fakeReply) Begin(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
}

func (r *fakeReply) Write(p []byte) error {
	if r.broken {
		return errReset
	}
	_, err := r.body.Write(p)
	return err
}

func (r *fakeReply) Refuse(e *zperror.Error) { r.refused = e }

func (r *fakeReply) Abort() { r.aborted = true }

func (b breaking) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errReset
	}
	return n, err
}

// sendByte opens the gate as the first byte of a run does.
func sendByte(gate *zpengine.Gate) {
	GinkgoHelper()
	Expect(gate.Open()).To(Succeed())
}

func answers(status int, body string, change ...func(*zpgateway.Answer)) step {
	return func(_ context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
		sendByte(gate)
		a := &zpgateway.Answer{
			Status: status, Header: http.Header{"X-From": {"endpoint"}}, Body: io.NopCloser(strings.NewReader(body)), Length: -1, Sealed: true,
		}
		for _, c := range change {
			c(a)
		}
		return a, nil
	}
}

func breaksOff(text string) step {
	return answers(http.StatusOK, "", func(a *zpgateway.Answer) { a.Body = io.NopCloser(breaking{strings.NewReader(text)}) })
}

func refuses(status int) step {
	return answers(status, "", func(a *zpgateway.Answer) { a.NotRun, a.Sealed = true, false })
}

func noConnection(context.Context, *zpengine.Gate) (*zpgateway.Answer, error) { return nil, errReset }

func silent(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
	sendByte(gate)
	<-ctx.Done()
	return nil, ctx.Err()
}

func resets(_ context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
	sendByte(gate)
	return nil, errReset
}

func route(name string, kind zpcatalog.Kind, attempts int, resumable bool) zpcatalog.Route {
	return zpcatalog.Route{
		Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: time.Second, Objective: 200 * time.Millisecond,
		MaxAttempts: attempts, Resumable: resumable, Shares: []zpcatalog.Share{{Pool: "pool", Weight: 1}},
	}
}

func newCatalog() *zpcatalog.Catalog {
	c := &zpcatalog.Catalog{
		Version: 1,
		Routes: []zpcatalog.Route{
			route("book", zpcatalog.KindNonIdempotent, 1, false),
			route("read", zpcatalog.KindIdempotent, 2, false),
			route("draft", zpcatalog.KindStream, 1, false),
			route("tag", zpcatalog.KindStream, 2, true),
		},
		Pools: []zpcatalog.Pool{
			{Name: "pool", Engine: &zpcatalog.Engine{CacheTokens: 1000, TokenBytes: 100, LinkMbps: 1000, Models: []string{"m"}}},
			{Name: "kept", CacheStore: &zpcatalog.CacheStore{Address: "store", Domain: "a", Tokens: 1000, LinkMbps: 1000}},
		},
		Workspaces: []zpcatalog.Workspace{
			{Name: "w", Keys: []string{"k"}, Priority: zpcatalog.NoPriority},
			{Name: "walled", Keys: []string{"k2"}, Priority: zpcatalog.NoPriority, Isolated: true},
		},
	}
	return c.Build()
}

// site is a gateway with three endpoints and a scripted runner.
type site struct {
	*zpgateway.Gateway
	runner *fakeRunner
}

func newSite(steps ...step) site {
	runner := &fakeRunner{steps: steps}
	catalog := newCatalog()
	registry := zpregistry.New(time.Second)
	var list []zpregistry.Endpoint
	for _, id := range []string{"e1", "e2", "e3"} {
		list = append(list, zpregistry.Endpoint{
			ID: id, Pool: "pool", Address: id + ":1", Domain: "a", Region: "n", Slots: 4, Weights: map[string]int64{"m": 1},
		})
	}
	registry.Replace(list, time.Now())
	return site{runner: runner, Gateway: &zpgateway.Gateway{
		Domain: "a", Region: "n", RegionOf: func(string) string { return "n" },
		Catalog: func() *zpcatalog.Catalog { return catalog }, Registry: registry,
		Weights: zprollout.NewBoard(8 * time.Second), Usage: zpusage.NewTracker(time.Second), Parts: zpparts.NewDirectory(100),
		Stores: zpparts.NewStores(time.Hour, 0), Announce: func(zpgateway.News) {}, LookUp: func(context.Context, [][]zpparts.Key) {}, Suspects: zpgateway.NewSuspects(),
		Cold: &zpplace.ColdGate{Self: "d"}, Daemons: func() []string { return []string{"d"} },
		Quarantine: zpquarantine.NewList(time.Hour), NoteCrash: func(string, string) {},
		Retries: &zpretry.Book{Ratio: 0.1, Burst: 5}, Runner: runner, Rates: zpplace.DefaultRates(),
		Log: zplog.Discard(), Metrics: zpmetric.New(), Clock: time.Now, Random: func() float64 { return 0 },
	}}
}

func request(routeName string) *zpgateway.Request {
	return &zpgateway.Request{
		ID: "r", Host: "h", Method: http.MethodPost, Path: "/" + routeName + "/1", URL: "/" + routeName + "/1",
		Header: http.Header{}, Key: "k", ReceivedAt: time.Now(), Wait: time.Second,
	}
}

func (s site) serve(q *zpgateway.Request) *fakeReply {
	reply := &fakeReply{}
	s.Serve(context.Background(), q, reply)
	return reply
}

func expectAnswer(r *fakeReply, status int, body string) {
	GinkgoHelper()
	Expect(r.refused).To(BeNil())
	Expect(r.aborted).To(BeFalse())
	Expect(r.status).To(Equal(status))
	Expect(r.body.String()).To(Equal(body))
}

func expectRefused(r *fakeReply, status int, state zperror.RunState) {
	GinkgoHelper()
	Expect(r.refused).NotTo(BeNil())
	Expect(r.refused.Kind.HTTPStatus()).To(Equal(status))
	Expect(r.refused.RunState).To(Equal(state))
	Expect(r.status).To(BeZero())
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

var _ = Describe("Gateway", func() {
	DescribeTable("answers, or refuses with a true run state",
		func(routeName string, steps []step, status int, state zperror.RunState, runs int) {
			s := newSite(steps...)
			r := s.serve(request(routeName))
			Expect(s.runner.runs).To(HaveLen(runs))
			if state == zperror.RunStateRan {
				Expect(r.refused).To(BeNil())
				Expect(r.status).To(Equal(status))
				return
			}
			expectRefused(r, status, state)
		},
		Entry("a booking that runs", "book", []step{answers(200, "ok")}, 200, zperror.RunStateRan, 1),
		Entry("a booking that an endpoint refuses goes to another", "book", []step{refuses(503), answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a booking without a connection goes to another", "book", []step{noConnection, answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a booking whose answer is lost is not sent again", "book", []step{resets}, 502, zperror.RunStateUnknown, 1),
		Entry("a booking whose answer breaks off is not sent again", "book", []step{breaksOff("o")}, 502, zperror.RunStateUnknown, 1),
		Entry("a booking without an answer in time", "book", []step{silent}, 504, zperror.RunStateUnknown, 1),
		Entry("a booking that all endpoints refuse has not run", "book", []step{refuses(503)}, 503, zperror.RunStateNotRun, 3),
		Entry("a status that promises too much is not passed on", "book", []step{answers(503, "")}, 502, zperror.RunStateUnknown, 1),
		Entry("an unsigned success is not passed on", "book", []step{answers(200, "x", func(a *zpgateway.Answer) { a.Sealed = false })}, 502, zperror.RunStateUnknown, 1),
		Entry("a compressed answer is not passed on", "book", []step{answers(200, "x", func(a *zpgateway.Answer) { a.Encoded = true })}, 502, zperror.RunStateUnknown, 1),
		Entry("a failure of the endpoint is passed on", "book", []step{answers(500, "bad")}, 500, zperror.RunStateRan, 1),
		Entry("a read whose answer is lost is sent again", "read", []step{resets, answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a read without an answer is sent again while it can be on time", "read", []step{silent, answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a stream that may be resumed likewise", "tag", []step{silent, answers(200, events)}, 200, zperror.RunStateRan, 2),
		Entry("a stream that may not be resumed waits", "draft", []step{silent}, 504, zperror.RunStateUnknown, 1),
		Entry("a read that fails is sent again", "read", []step{answers(500, "bad"), answers(200, "ok")}, 200, zperror.RunStateRan, 2),
		Entry("a read runs on no more endpoints than allowed", "read", []step{answers(500, "bad")}, 500, zperror.RunStateRan, 2),
		Entry("a read that failed once and is refused then gets the failure", "read", []step{answers(500, "bad"), refuses(503)}, 500, zperror.RunStateRan, 3),
		Entry("a read after a lost run is not said not to have run", "read", []step{resets, refuses(503)}, 502, zperror.RunStateUnknown, 3),
		Entry("a stream that was not begun is not sent again unless it may be", "draft", []step{resets}, 502, zperror.RunStateUnknown, 1),
	)

	It("never says of a request that ran on one endpoint that it has not run", func() {
		s := newSite(resets, noConnection)
		expectRefused(s.serve(request("read")), http.StatusBadGateway, zperror.RunStateUnknown)
	})

	It("does not give up a silent run if no other endpoint could take the request", func() {
		s := newSite(silent, answers(http.StatusOK, "ok"))
		s.Registry.Remove("e2", time.Now())
		s.Registry.Remove("e3", time.Now())
		expectRefused(s.serve(request("read")), http.StatusGatewayTimeout, zperror.RunStateUnknown)
		Expect(s.runner.runs).To(HaveLen(1))
	})

	It("ends its watch over a run before the request goes on", func() {
		// Runs that break just when the watch looks; the race detector judges.
		late := func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
			sendByte(gate)
			select {
			case <-time.After(120*time.Millisecond + time.Duration(rand.Int64N(int64(time.Millisecond)))):
			case <-ctx.Done():
			}
			return nil, errReset
		}
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				defer GinkgoRecover()
				newSite(late, answers(http.StatusOK, "ok")).serve(request("read"))
			})
		}
		all.Wait()
	})

	It("passes the answer on unchanged", func() {
		r := newSite(answers(http.StatusOK, "ok")).serve(request("book"))
		expectAnswer(r, http.StatusOK, "ok")
		Expect(r.header.Get("X-From")).To(Equal("endpoint"))
	})

	Describe("streams", func() {
		It("passes whole events on", func() {
			expectAnswer(newSite(answers(http.StatusOK, events)).serve(request("draft")), http.StatusOK, events)
		})

		It("continues a broken stream elsewhere after the last whole event", func() {
			s := newSite(breaksOff("id: 1\ndata: a\n\nid: 2\nda"), answers(http.StatusOK, "id: 2\ndata: b\n\n"))
			expectAnswer(s.serve(request("tag")), http.StatusOK, events)
			Expect(s.runner.runs[1].ResumeAfter).To(Equal("1"))
			Expect(s.runner.runs[1].Endpoint.ID).NotTo(Equal(s.runner.runs[0].Endpoint.ID))
		})

		DescribeTable("breaks the caller's connection when the stream cannot go on",
			func(routeName string, steps ...step) {
				r := newSite(steps...).serve(request(routeName))
				Expect(r.aborted).To(BeTrue())
				Expect(r.body.String()).To(Equal("id: 1\ndata: a\n\n"))
			},
			Entry("it may not be resumed", "draft", breaksOff("id: 1\ndata: a\n\nid")),
			Entry("it breaks on every endpoint", "tag", breaksOff("id: 1\ndata: a\n\n"), resets),
			Entry("it ends within an event", "draft", answers(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda")),
		)

		It("ends when the caller is gone", func() {
			s := newSite(answers(http.StatusOK, events))
			reply := &fakeReply{broken: true}
			s.Serve(context.Background(), request("tag"), reply)
			Expect(reply.aborted).To(BeTrue())
			Expect(s.runner.runs).To(HaveLen(1))
		})
	})

	Describe("callers that leave", func() {
		It("cancels a read", func() {
			ctx, cancel := context.WithCancel(context.Background())
			s := newSite(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
				cancel()
				return silent(ctx, gate)
			})
			reply := &fakeReply{}
			s.Serve(ctx, request("read"), reply)
			Expect(reply.aborted).To(BeTrue())
			Expect(s.runner.runs).To(HaveLen(1))
		})

		It("lets a booking finish", func() {
			ctx, cancel := context.WithCancel(context.Background())
			s := newSite(func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Answer, error) {
				cancel()
				Expect(ctx.Err()).NotTo(HaveOccurred())
				return answers(http.StatusOK, "ok")(ctx, gate)
			})
			reply := &fakeReply{}
			s.Serve(ctx, request("book"), reply)
			expectAnswer(reply, http.StatusOK, "ok")
		})
	})

	DescribeTable("refuses what it must not pass on",
		func(change func(q *zpgateway.Request), status int) {
			s := newSite(answers(http.StatusOK, "ok"))
			q := request("book")
			change(q)
			expectRefused(s.serve(q), status, zperror.RunStateNotRun)
			Expect(s.runner.runs).To(BeEmpty())
		},
		Entry("an unknown host", func(q *zpgateway.Request) { q.Host = "other" }, 404),
		Entry("an unknown path", func(q *zpgateway.Request) { q.Path = "/none/1" }, 404),
		Entry("an unknown key", func(q *zpgateway.Request) { q.Key = "none" }, 401),
		Entry("no id", func(q *zpgateway.Request) { q.ID = "" }, 400),
		Entry("no time left", func(q *zpgateway.Request) { q.ReceivedAt = time.Now().Add(-2 * time.Second) }, 503),
	)

	It("answers 503 while it knows no configuration", func() {
		s := newSite()
		s.Catalog = func() *zpcatalog.Catalog { return nil }
		expectRefused(s.serve(request("book")), http.StatusServiceUnavailable, zperror.RunStateNotRun)
	})

	It("hands over the time that is left", func() {
		s := newSite(answers(http.StatusOK, "ok"))
		q := request("book")
		q.ReceivedAt = time.Now().Add(-600 * time.Millisecond)
		s.serve(q)
		Expect(s.runner.runs[0].Left).To(BeNumerically("~", 400*time.Millisecond, 50*time.Millisecond))
	})

	Describe("parts of prompts", func() {
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
	})

	It("refuses a request that was present at the falls of two endpoints", func() {
		s := newSite(resets)
		for range 3 {
			s.serve(request("book"))
			if e, ok := s.Registry.Find(s.runner.runs[len(s.runner.runs)-1].Endpoint.ID); ok {
				s.EndpointGone(e)
				s.Registry.Remove(e.ID, time.Now())
			}
		}
		Expect(s.runner.runs).To(HaveLen(2))
	})
})
