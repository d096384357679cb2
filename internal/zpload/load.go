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
	// Load sends a mix to a site in an open loop. Set the fields, then Run.
	Load struct {
		Targets       []string // base URLs of the daemons
		Keys          map[string]string
		Mix           Mix
		Rate          float64 // requests a second
		Duration      time.Duration
		Seed          uint64
		WeightVersion string // of which answers are expected
		Patience      time.Duration

		planner *Planner
		client  *http.Client
		ledger  *ledger
		ready   *readyList
	}

	// readyList does what the platform's balancer does: it sends new work only
	// to daemons whose /readyz succeeds.
	readyList struct {
		mu    sync.Mutex
		ready []string
	}
)

const (
	readyEvery      = 200 * time.Millisecond
	readyTimeout    = 300 * time.Millisecond
	connectTimeout  = 300 * time.Millisecond
	defaultPatience = 60 * time.Second
)

// Run sends load until the duration is over or ctx ends, waits for all answers,
// and returns the reports by kind of request.
func (l *Load) Run(ctx context.Context) []Report {
	l.open()
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
		if r.Twice {
			copies = 2
		}
		for range copies {
			target := l.ready.pick(random)
			wg.Go(func() { l.ledger.add(r.Share.Name, r.Workspace, l.send(context.WithoutCancel(ctx), target, r)) })
		}
	}
	wg.Wait()
	return l.ledger.reports()
}

func (l *Load) open() {
	if l.Patience == 0 {
		l.Patience = defaultPatience
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	l.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256}}
	l.planner = NewPlanner(l.Mix, l.Seed)
	l.ledger = newLedger()
	l.ready = &readyList{ready: l.Targets}
}

func (l *Load) balance(ctx context.Context) {
	ticker := time.NewTicker(readyEvery)
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
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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

func (r *readyList) set(ready []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(ready) > 0 {
		r.ready = ready
	}
}

func (r *readyList) pick(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[random.IntN(len(r.ready))]
}

// another returns a ready target other than the given one, if there is one.
func (r *readyList) another(than string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.ready {
		if t != than {
			return t
		}
	}
	return than
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
