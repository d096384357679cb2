package zpgateway_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpquarantine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpregistry"
	"github.com/zinniapaddle/zinniapaddle/internal/zpretry"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

const deadlyPart = "deadly"

// crashingFleet is a gateway whose endpoints crash when they begin to respond to a prompt
// with the deadly part, and are back at once.
type crashingFleet struct {
	testGateway
	model      string // of the prompts sent
	requests   int
	isRefusing bool
	reports    []zpquarantine.Report
	harmless   []string
	deadlyRuns int
	beforeEOF  string // sent before the crash
	endsClean  bool   // the crash ends the response as if it were complete
	unframed   bool   // only the end of the connection ends that response
}

func newCrashingFleet() *crashingFleet {
	f := &crashingFleet{testGateway: newTestGateway(), model: "m", isRefusing: true}
	f.Runner = runnerFunc(f.run)
	f.IsRefusing = func(context.Context, string, time.Duration) bool { return f.isRefusing }
	f.AnnounceCrash = func(r zpquarantine.Report) { f.reports = append(f.reports, r) }
	f.AnnounceHarmless = func(fingerprints []string) { f.harmless = append(f.harmless, fingerprints...) }
	return f
}

type runnerFunc func(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error)

func (f runnerFunc) Run(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
	return f(ctx, run, gate)
}

func (f *crashingFleet) run(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
	for _, p := range run.Request.Prompt.SharedParts() {
		if p.ID != deadlyPart {
			continue
		}
		if err := gate.Open(); err != nil {
			return nil, err
		}
		f.deadlyRuns++
		f.restart(run.Endpoint)
		if f.endsClean {
			return responds(http.StatusOK, f.beforeEOF, func(a *zpgateway.Response) { a.EndsWithConnection = f.unframed })(ctx, gate)
		}
		return resetsAfter(f.beforeEOF)(ctx, gate)
	}
	return responds(http.StatusOK, events)(ctx, gate)
}

// restart starts another run of an endpoint. Its crash is not yet known to the registry.
func (f *crashingFleet) restart(e zpregistry.Endpoint) {
	e.StartedAtMS++
	onRemoved := f.Registry.OnRemoved
	f.Registry.OnRemoved = nil
	f.Registry.Put(e)
	f.Registry.OnRemoved = onRemoved
}

// send serves a request with the given shared parts and a last part of its own.
func (f *crashingFleet) send(routeName, key string, parts ...string) *fakeReply {
	f.requests++
	q := request(routeName)
	q.APIKey = key
	q.Prompt = &zpgateway.Prompt{Model: f.model, Tokens: 10, OutputTokens: 2}
	for _, id := range append(parts, fmt.Sprint("own", f.requests)) {
		q.Prompt.Parts = append(q.Prompt.Parts, zpgateway.Part{ID: id, Tokens: 5})
	}
	return f.serve(q)
}

var _ = Describe("A part that crashes each engine", func() {
	It("does not reach another engine after three crashes, whichever requests have it", func() {
		f := newCrashingFleet()
		for i := range 10 {
			f.send("tag", "k", fmt.Sprint("library", i), deadlyPart)
		}
		Expect(f.deadlyRuns).To(Equal(3))
		refused := f.send("tag", "k", deadlyPart)
		expectRefused(refused, http.StatusBadRequest, zperror.RunStateNotRun)
		Expect(refused.refused.Code).To(Equal("request_quarantined"))
		Expect(refused.refused.RetryAfter).To(BeZero())
	})

	It("leaves requests with the other parts and of the same workspace alone", func() {
		f := newCrashingFleet()
		expectResponse(f.send("tag", "k", "library"), http.StatusOK, events)
		for range 5 {
			f.send("tag", "k", "library", "guide", deadlyPart)
			expectResponse(f.send("tag", "k", "library"), http.StatusOK, events)
			expectResponse(f.send("tag", "k", "library", "guide"), http.StatusOK, events)
		}
		Expect(f.deadlyRuns).To(Equal(3))
		Expect(f.harmless).To(ConsistOf(zpquarantine.PartFingerprint("guide")))
	})

	It("is found although an engine sends the first event before it crashes", func() {
		f := newCrashingFleet()
		f.beforeEOF = "id: 1\ndata: a\n\n"
		for i := range 10 {
			f.send("draft", "k", fmt.Sprint("library", i), deadlyPart)
		}
		Expect(f.deadlyRuns).To(Equal(3))
	})

	It("is found although the crash seems to complete a stream without an event", func() {
		f := newCrashingFleet()
		f.endsClean = true
		for i := range 10 {
			f.send("draft", "k", fmt.Sprint("library", i), deadlyPart)
		}
		Expect(f.deadlyRuns).To(Equal(3))
		Expect(f.harmless).To(BeEmpty())
	})

	It("is found whichever models the requests name", func() {
		f := newCrashingFleet()
		for i := range 10 {
			f.model = fmt.Sprint("m", i%3)
			f.send("draft", "k", fmt.Sprint("library", i), deadlyPart)
		}
		Expect(f.deadlyRuns).To(Equal(3))
	})

	It("is found in prompts with many harmless parts before it", func() {
		f := newCrashingFleet()
		var library []string
		for i := range 300 {
			library = append(library, fmt.Sprint("library", i))
		}
		expectResponse(f.send("tag", "k", library...), http.StatusOK, events)
		for range 10 {
			f.send("tag", "k", append(library, deadlyPart)...)
		}
		Expect(f.deadlyRuns).To(Equal(3))
	})

	It("is found although the crash seems to complete a stream after its first event", func() {
		f := newCrashingFleet()
		f.endsClean, f.unframed, f.beforeEOF = true, true, "id: 1\ndata: a\n\n"
		for i := range 10 {
			f.send("draft", "k", fmt.Sprint("library", i), deadlyPart)
		}
		Expect(f.deadlyRuns).To(Equal(3))
	})

	It("is found although the crash seems to complete a body without a length", func() {
		f := newCrashingFleet()
		f.endsClean, f.unframed = true, true
		for i := range 10 {
			f.send("read", "k", fmt.Sprint("library", i), deadlyPart)
		}
		Expect(f.deadlyRuns).To(Equal(3))
	})

	It("is not suspected while endpoints that complete a stream with their connection accept others", func() {
		f := newCrashingFleet()
		f.endsClean, f.unframed, f.isRefusing, f.beforeEOF = true, true, false, "id: 1\ndata: a\n\n"
		for range 10 {
			expectResponse(f.send("draft", "k", deadlyPart), http.StatusOK, f.beforeEOF)
		}
		Expect(f.reports).To(BeEmpty())
	})

	Describe("a report of another daemon that names a harmless part", func() {
		library := zpquarantine.PartFingerprint("library")
		report := func() zpquarantine.Report {
			at := time.Now()
			return zpquarantine.Report{Crash: "c", CrashedAt: at, SentAt: at.Add(-time.Second), Workspace: "w", Fingerprints: []string{"request", library}}
		}

		It("is answered with what is known to be harmless", func() {
			f := newCrashingFleet()
			expectResponse(f.send("tag", "k", "library"), http.StatusOK, events)
			f.MergeCrash(report(), "another")
			Expect(f.harmless).To(ConsistOf(library))
		})

		It("is answered by few of many daemons", func() {
			f := newCrashingFleet()
			f.Daemons = func() []string { return make([]string, 1200) }
			f.Random = func() float64 { return 0.01 }
			expectResponse(f.send("tag", "k", "library"), http.StatusOK, events)
			f.MergeCrash(report(), "another")
			Expect(f.harmless).To(BeEmpty())
		})
	})

	It("is not sent again by the daemon after a crash", func() {
		f := newCrashingFleet()
		f.send("tag", "k", deadlyPart)
		Expect(f.deadlyRuns).To(Equal(1))
	})

	It("leaves the retry budget to other requests", func() {
		f := newCrashingFleet()
		f.Retries = &zpretry.Budgets{Ratio: 0, Burst: 1}
		f.send("tag", "k", deadlyPart)
		f.Runner = &fakeRunner{steps: []step{resets, responds(http.StatusOK, "a")}}
		q := request("read")
		q.APIKey = "k"
		expectResponse(f.serve(q), http.StatusOK, "a")
	})

	It("is not suspected while the endpoint still accepts connections", func() {
		f := newCrashingFleet()
		f.isRefusing = false
		f.send("tag", "k", deadlyPart)
		Expect(f.reports).To(BeEmpty())
		e, _ := f.Registry.Find("e1")
		e.StartedAtMS--
		f.HandleEndpointRemoved(e)
		Expect(f.reports).To(HaveLen(1))
	})

	It("does not delay the reply while the endpoint does not answer", func() {
		f := newCrashingFleet()
		var left time.Duration
		f.IsRefusing = func(ctx context.Context, _ string, _ time.Duration) bool {
			deadline, _ := ctx.Deadline()
			left = time.Until(deadline)
			return false
		}
		f.send("tag", "k", deadlyPart)
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 100*time.Millisecond)))
	})

	It("is refused by a daemon that learned of its crashes while the request was connecting", func() {
		f := newCrashingFleet()
		run := f.Runner
		f.Runner = runnerFunc(func(ctx context.Context, r zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
			for i := range 3 {
				at := time.Now().Add(time.Duration(i) * time.Second)
				f.MergeCrash(zpquarantine.Report{
					Crash: fmt.Sprint(i), CrashedAt: at, SentAt: at.Add(-time.Millisecond), Workspace: "w", Fingerprints: []string{zpquarantine.PartFingerprint(deadlyPart)},
				}, "another")
			}
			return run.Run(ctx, r, gate)
		})
		expectRefused(f.send("tag", "k", deadlyPart), http.StatusBadRequest, zperror.RunStateNotRun)
		Expect(f.deadlyRuns).To(BeZero())
	})
})

var _ = Describe("A stream that endpoints break off when they leave", func() {
	DescribeTable("is not taken for the cause",
		func(leave func(f *crashingFleet, e zpregistry.Endpoint)) {
			f := newCrashingFleet()
			f.Runner = runnerFunc(func(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
				answer, err := resetsAfter(events)(ctx, gate)
				leave(f, run.Endpoint)
				return answer, err
			})
			for range 3 {
				q := request("draft")
				q.APIKey = "k"
				Expect(f.serve(q).refused).To(BeNil())
			}
			Expect(f.reports).To(BeEmpty())
		},
		Entry("and announce it", func(f *crashingFleet, e zpregistry.Endpoint) {
			e.State = zpregistry.StateDraining
			f.Registry.Put(e)
		}),
		Entry("and say so in a response", func(f *crashingFleet, e zpregistry.Endpoint) {
			f.RecordNotice(e.ID, "report", zpgateway.Notice{Leaving: true})
		}),
		Entry("after their entry was removed", func(f *crashingFleet, e zpregistry.Endpoint) {
			f.Registry.Remove(e.ID, time.Now())
		}),
	)
})
