package zpload

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// Load is an open-loop load generator: it sends the requests of a mix at a
	// fixed average rate, whether or not earlier requests have completed. Set
	// the exported fields, then call Run.
	Load struct {
		Targets        []string // base URLs of the daemons
		Keys           map[string]string
		Mix            Mix
		Rate           float64 // average requests per second
		Duration       time.Duration
		Seed           uint64
		WeightVersion  string        // weight version that the expected answers are computed from
		RequestTimeout time.Duration // timeout of one request; 0 means defaultRequestTimeout

		planner   *Planner
		client    *http.Client
		collector *collector
		ready     *readyTargets
	}

	// readyTargets mimics the load balancer of the platform, which sends new
	// requests only to daemons whose /readyz succeeds. If no daemon is ready, the
	// last non-empty list stays in use.
	readyTargets struct {
		mu    sync.Mutex
		ready []string
	}
)

const (
	readyCheckInterval    = 200 * time.Millisecond
	readyCheckTimeout     = 300 * time.Millisecond
	connectTimeout        = 300 * time.Millisecond
	defaultRequestTimeout = 60 * time.Second
)

// Run sends requests until Duration has passed or ctx is canceled, waits for all
// responses, and returns the reports sorted by name. Canceling ctx does not cancel
// requests in flight.
func (l *Load) Run(ctx context.Context) []Report {
	l.init()
	defer l.client.CloseIdleConnections()
	balance, stop := context.WithCancel(ctx)
	defer stop()
	l.checkReady(balance)
	go l.balance(balance)
	var wg sync.WaitGroup
	end := time.Now().Add(l.Duration)
	random := rand.New(rand.NewPCG(l.Seed, 2))
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(l.planner.Wait(l.Rate) * float64(time.Second)))
		if next.After(end) {
			break
		}
		r := l.planner.Next()
		wait(ctx, time.Until(next))
		copies := 1
		if r.Duplicate {
			copies = 2
		}
		for range copies {
			target := l.ready.pick(random)
			wg.Go(func() { l.collector.add(r.Share.Name, r.Workspace, l.send(context.WithoutCancel(ctx), target, r)) })
		}
	}
	wg.Wait()
	return l.collector.reports()
}

func (l *Load) init() {
	if l.RequestTimeout == 0 {
		l.RequestTimeout = defaultRequestTimeout
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	l.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}}
	l.planner = NewPlanner(l.Mix, l.Seed)
	l.collector = newCollector()
	l.ready = &readyTargets{ready: l.Targets}
}

func (l *Load) balance(ctx context.Context) {
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.checkReady(ctx)
		}
	}
}

func (l *Load) checkReady(ctx context.Context) {
	answers := make([]bool, len(l.Targets))
	var wg sync.WaitGroup
	for i, t := range l.Targets {
		wg.Go(func() { answers[i] = l.isReady(ctx, t) })
	}
	wg.Wait()
	var ready []string
	for i, t := range l.Targets {
		if answers[i] {
			ready = append(ready, t)
		}
	}
	l.ready.set(ready)
}

func (l *Load) isReady(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyCheckTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := l.client.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

func (r *readyTargets) set(ready []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(ready) > 0 {
		r.ready = ready
	}
}

func (r *readyTargets) pick(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[random.IntN(len(r.ready))]
}

// otherThan returns a ready target other than the excluded one, or the excluded
// one if there is no other.
func (r *readyTargets) otherThan(excluded string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.ready {
		if t != excluded {
			return t
		}
	}
	return excluded
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
