package zpgateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpbrittle"
	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpplace"
)

const (
	brittleSlots       = 4 // as the endpoints of newTestGateway say
	brittleQueue       = 2
	brittleWork        = 50 * time.Millisecond
	brittleMaxRefusals = 3
	brittleRestart     = 500 * time.Millisecond
)

type (
	// brittleEndpoint falls over when it refuses too many requests in a second.
	brittleEndpoint struct {
		mu        sync.Mutex
		running   int
		refusals  []time.Time
		falls     int
		deadUntil time.Time
	}

	// brittleRunner sends requests to endpoints that several gateways share, by id.
	brittleRunner map[string]*brittleEndpoint
)

func (r brittleRunner) Run(ctx context.Context, run zpgateway.Run, gate *zpengine.Gate) (*zpgateway.Response, error) {
	e := r[run.Endpoint.ID]
	if e.isDead() {
		return dialFails(ctx, gate)
	}
	notice := func(a *zpgateway.Response) {
		a.Notice = zpgateway.Notice{IsBrittle: true, MaxRefusals: brittleMaxRefusals}
	}
	if err := gate.Open(); err != nil {
		return nil, err
	}
	if !e.begin() {
		return responds(http.StatusServiceUnavailable, "", notice, func(a *zpgateway.Response) { a.NotRun, a.Sealed = true, false })(ctx, gate)
	}
	defer e.end()
	time.Sleep(brittleWork)
	if e.isDead() {
		return nil, errReset
	}
	return responds(http.StatusOK, "done", notice)(ctx, gate)
}

func (e *brittleEndpoint) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.deadUntil)
}

// begin reports whether the endpoint has room for a request.
func (e *brittleEndpoint) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running < brittleSlots+brittleQueue {
		e.running++
		return true
	}
	now := time.Now()
	for len(e.refusals) > 0 && now.Sub(e.refusals[0]) >= time.Second {
		e.refusals = e.refusals[1:]
	}
	if e.refusals = append(e.refusals, now); len(e.refusals) > brittleMaxRefusals {
		e.falls++
		e.refusals, e.deadUntil = nil, now.Add(brittleRestart)
	}
	return false
}

func (e *brittleEndpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// startBrittleGateways returns the gateways of several daemons that know that the endpoints are
// brittle, and tell each other their loads until ctx ends.
func startBrittleGateways(ctx context.Context, daemons int, runner brittleRunner) []testGateway {
	const exchangeEvery = 200 * time.Millisecond // as between failure domains
	names := make([]string, daemons)
	gateways := make([]testGateway, daemons)
	for i := range gateways {
		names[i] = fmt.Sprint("d", i)
		s := newTestGateway(resets)
		s.Runner, s.Cold, s.Brittle = runner, &zpplace.ColdLimiter{Self: names[i]}, zpbrittle.New(names[i])
		s.Daemons = func() []string { return names }
		gateways[i] = s
		s.serve(request("book")) // tells the daemon that its endpoints are brittle
	}
	go func() {
		for ; ctx.Err() == nil; time.Sleep(exchangeEvery) {
			exchangeLoads(names, gateways)
		}
	}()
	return gateways
}

func exchangeLoads(names []string, gateways []testGateway) {
	for i, from := range gateways {
		for k, to := range gateways {
			if uses, _ := from.Usage.Own(); k != i {
				to.Usage.SetPeer(names[i], uses, time.Now())
			}
		}
	}
}

// serveTooMuch sends twice as much as the endpoints can serve to several daemons. It returns
// how many requests were served, and how often endpoints fell over.
func serveTooMuch(daemons int) (served, falls int) {
	const (
		rounds    = 30
		roundTime = 100 * time.Millisecond
		perRound  = 48 // for all daemons
	)
	runner := brittleRunner{"e1": {}, "e2": {}, "e3": {}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	gateways := startBrittleGateways(ctx, daemons, runner)
	var done atomic.Int32
	var callers sync.WaitGroup
	for range rounds {
		for i := range perRound {
			callers.Go(func() {
				if reply := gateways[i%daemons].serve(request("book")); reply.status == http.StatusOK {
					done.Add(1)
				}
			})
		}
		time.Sleep(roundTime)
	}
	callers.Wait()
	for _, e := range runner {
		falls += e.falls
	}
	return int(done.Load()), falls
}

var _ = Describe("Brittle endpoints", func() {
	// Guards against endpoints that fall over one after the other as daemons send to find out whether there is room.
	DescribeTable("hardly fall over when callers want twice what they can serve",
		func(daemons int) {
			served, falls := serveTooMuch(daemons)
			AddReportEntry("served and falls", fmt.Sprint(served, " ", falls))
			Expect(falls).To(BeNumerically("<=", 2))
			const capacity = 3 * brittleSlots * 3000 / 50 // in the time that callers come
			Expect(served).To(BeNumerically(">", capacity/2))
		},
		Entry("with more slots than daemons", 3),
		Entry("with more daemons than slots", 6),
		Entry("with more daemons than slots of all endpoints", 24),
	)

	It("become brittle with their first response that says so", func() {
		s := newTestGateway(responds(http.StatusOK, "done", func(a *zpgateway.Response) {
			a.Notice = zpgateway.Notice{IsBrittle: true}
			a.Body = io.NopCloser(strings.NewReader("done"))
		}))
		Expect(s.Brittle.IsBrittle("pool", s.Clock())).To(BeFalse())
		expectResponse(s.serve(request("book")), http.StatusOK, "done")
		Expect(s.Brittle.IsBrittle("pool", s.Clock())).To(BeTrue())
	})
})
