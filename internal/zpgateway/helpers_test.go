package zpgateway_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpbrittle"
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
	"github.com/zinniapaddle/zinniapaddle/internal/zpspeed"
	"github.com/zinniapaddle/zinniapaddle/internal/zpusage"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// step is the behaviour of an endpoint in one run.
	step func(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error)

	// fakeRunner records the runs of one request and answers them with steps, the
	// last of which repeats.
	fakeRunner struct {
		mu    sync.Mutex
		steps []step
		runs  []zpgateway.Run
	}

	// fakeReply records what is written to the caller.
	fakeReply struct {
		status       int
		header       http.Header
		body         bytes.Buffer
		refused      *zperror.Error
		aborted      bool
		failWrites   bool // writes return an error
		disconnected atomic.Bool
	}

	// resetBody is a body whose connection is reset at its end.
	resetBody struct{ io.Reader }
)

var errReset = errors.New("connection reset")

func (f *fakeRunner) Run(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
	f.mu.Lock()
	f.runs = append(f.runs, run)
	i := min(len(f.runs), len(f.steps)) - 1
	f.mu.Unlock()
	return f.steps[i](ctx, gate)
}

func (r *fakeReply) WriteHeader(status int, header http.Header, _ int64) {
	r.status, r.header = status, header
}

func (r *fakeReply) Write(p []byte) error {
	if r.failWrites {
		return errReset
	}
	_, err := r.body.Write(p)
	return err
}

func (r *fakeReply) WriteError(e *zperror.Error) { r.refused = e }

func (r *fakeReply) Abort() { r.aborted = true }

func (r *fakeReply) HasCallerLeft() bool { return r.disconnected.Load() }

func (b resetBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errReset
	}
	return n, err
}

// sendByte opens the gate, as sending the first byte of a run does.
func sendByte(gate *zpengine.Gate) {
	GinkgoHelper()
	Expect(gate.Open()).To(Succeed())
}

func responds(status int, body string, change ...func(*zpgateway.Response)) step {
	return func(_ context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
		sendByte(gate)
		a := &zpgateway.Response{
			Status: status, Header: http.Header{"X-From": {"endpoint"}}, Body: io.NopCloser(strings.NewReader(body)), Length: -1, Sealed: true,
		}
		for _, c := range change {
			c(a)
		}
		return a, nil
	}
}

func resetsAfter(text string) step {
	return responds(http.StatusOK, "", func(a *zpgateway.Response) { a.Body = io.NopCloser(resetBody{strings.NewReader(text)}) })
}

func refuses(status int) step {
	return responds(status, "", func(a *zpgateway.Response) { a.NotRun, a.Sealed = true, false })
}

func dialFails(context.Context, *zpengine.Gate) (*zpgateway.Response, error) { return nil, errReset }

func neverResponds(ctx context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
	sendByte(gate)
	<-ctx.Done()
	return nil, ctx.Err()
}

func resets(_ context.Context, gate *zpengine.Gate) (*zpgateway.Response, error) {
	sendByte(gate)
	return nil, errReset
}

func route(name string, kind zpcatalog.RequestKind, attempts int, resumable bool) zpcatalog.Route {
	return zpcatalog.Route{
		Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: time.Second, TargetLatency: 200 * time.Millisecond,
		MaxAttempts: attempts, Resumable: resumable, Shares: []zpcatalog.Share{{Pool: "pool", Weight: 1}},
	}
}

// Salts of the workspaces of newCatalog that share parts, for the versions 1 and 2 of m.
var (
	sharedSalt  = "v1.m~" + newCatalog().CacheScope()
	sharedSalt2 = "v2.m~" + newCatalog().CacheScope()
)

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
			{Name: "isolated", Keys: []string{"k2"}, Priority: zpcatalog.NoPriority, Isolated: true},
		},
	}
	return c.BuildIndexes()
}

// testGateway is a gateway with three endpoints and a fake runner.
type testGateway struct {
	*zpgateway.Gateway
	runner *fakeRunner
}

func newTestGateway(steps ...step) testGateway {
	runner := &fakeRunner{steps: steps}
	catalog := newCatalog()
	registry := zpregistry.New(time.Second)
	var list []zpregistry.Endpoint
	for _, id := range []string{"e1", "e2", "e3"} {
		list = append(list, zpregistry.Endpoint{
			ID: id, Pool: "pool", Address: id + ":1", FailureDomain: "a", Region: "n", Slots: 4, Weights: map[string]int64{"m": 1},
		})
	}
	registry.Replace(list, time.Now())
	registry.SetEvacuated(nil)
	return testGateway{runner: runner, Gateway: &zpgateway.Gateway{
		Domain: "a", Region: "n", RegionOf: func(string) string { return "n" },
		Catalog: func() *zpcatalog.Catalog { return catalog }, CatalogConfirmedAt: time.Now, AwaitCatalog: func(context.Context) {}, IsCatalogConfirmed: func() bool { return true }, Registry: registry,
		IsListCurrent: func() bool { return true },
		HasSynced:     func() bool { return true },
		Weights:       zprollout.NewWeightVersions(8 * time.Second), Usage: zpusage.NewTracker(time.Second), Parts: zpparts.NewDirectory(100),
		Stores: zpparts.NewStores(time.Hour, 0), AnnounceParts: func(zpgateway.PartChanges) {}, RefreshParts: func(context.Context, [][]zpparts.Key) {}, Health: zpgateway.NewHealthTracker(), Speed: zpspeed.NewTracker(),
		Cold: &zpplace.ColdLimiter{Self: "d"}, Brittle: zpbrittle.New("d"), Daemons: func() []string { return []string{"d"} },
		Quarantine: zpquarantine.NewTracker(time.Hour), AnnounceCrash: func(zpquarantine.Report) {}, AnnounceHarmless: func([]string) {}, RequestTrial: func(context.Context, string) bool { return true }, AnnounceUnreachable: func(string) {},
		IsRefusing: func(context.Context, string, time.Duration) bool { return false },
		Retries:    &zpretry.Budgets{Ratio: 0.1, Burst: 5}, Runner: runner, ResponseMemory: zpengine.NewMemory(1 << 20), Rates: zpplace.DefaultRates(),
		Log: zplog.Discard(), Metrics: zpmetric.New(), Clock: time.Now, Random: func() float64 { return 0 },
	}}
}

func request(routeName string) *zpgateway.Request {
	return &zpgateway.Request{
		ID: "r", Host: "h", Method: http.MethodPost, Path: "/" + routeName + "/1", URL: "/" + routeName + "/1",
		Header: http.Header{}, APIKey: "k", ReceivedAt: time.Now(), Timeout: time.Second,
	}
}

func (s testGateway) serve(q *zpgateway.Request) *fakeReply {
	reply := &fakeReply{}
	s.Serve(context.Background(), q, reply)
	return reply
}

func expectResponse(r *fakeReply, status int, body string) {
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
