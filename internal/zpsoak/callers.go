package zpsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// request is one request of a caller and what became of it.
	request struct {
		ID      string
		Kind    string // first part of the path
		Daemon  int
		Life    int // of the daemon, when the request was sent
		Version int // that the path of a question for the configuration names
		Begun   time.Time
		Ended   time.Time
		Left    time.Time // when the caller closed its connection early; zero: it did not
		Status  int       // zero: no answer
		Whole   bool      // the body is that of a whole answer to this request
		Broken  bool      // the connection or the body broke off
		Body    string    // if it is neither
	}

	// history is what callers saw. It is safe for concurrent use.
	history struct {
		mu       sync.Mutex
		requests []request
	}
)

const (
	callerPause   = 60 * time.Millisecond
	callerTimeout = 7 * time.Second
	askPause      = 250 * time.Millisecond
	// leaveEvery is of how many requests the caller leaves one early.
	leaveEvery = 5
	leaveAfter = 500 * time.Millisecond // at most
)

func (h *history) add(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// call sends requests of all kinds to one daemon on one kept connection until
// ctx ends. It goes on using the connection while the daemon stops.
func (r *run) call(ctx context.Context, daemon, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	kinds := []string{"book", "read", "stream"}
	random := rand.New(rand.NewPCG(r.site.Seed, uint64(daemon*r.site.Callers+caller)))
	for n := 0; ctx.Err() == nil; n++ {
		q := request{ID: fmt.Sprintf("r-%d-%d-%d", daemon, caller, n), Kind: kinds[(n+caller)%len(kinds)], Daemon: daemon}
		if random.IntN(leaveEvery) == 0 {
			r.sendAndLeave(ctx, client, &q, time.Duration(random.Int64N(int64(leaveAfter))))
		} else {
			r.send(ctx, client, &q, "/"+q.Kind+"/1")
		}
		pause(ctx, callerPause)
	}
}

// ask asks one daemon again and again whether the newest configuration is in
// force.
func (r *run) ask(ctx context.Context, daemon int) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		version, _ := r.faults.configuration()
		q := request{ID: fmt.Sprintf("c-%d-%d", daemon, n), Kind: "cfg", Daemon: daemon, Version: version}
		r.send(ctx, client, &q, fmt.Sprintf("/cfg/%d/x", version))
		pause(ctx, askPause)
	}
}

// sendAndLeave sends a request of its own path whose caller closes its connection
// after a while. Equal ones would never be served, and be in flight at crashes.
func (r *run) sendAndLeave(ctx context.Context, client *http.Client, q *request, after time.Duration) {
	ctx, leave := context.WithTimeout(context.WithoutCancel(ctx), after)
	defer leave()
	r.exchange(ctx, client, q, "/"+q.Kind+zpoutside.LongPath+q.ID)
	if q.Broken {
		q.Left = q.Ended
	}
	r.seen.add(*q)
}

func (r *run) send(ctx context.Context, client *http.Client, q *request, path string) {
	// The run's end does not cut a request that is under way.
	r.exchange(context.WithoutCancel(ctx), client, q, path)
	r.seen.add(*q)
}

func (r *run) exchange(ctx context.Context, client *http.Client, q *request, path string) {
	method := http.MethodGet
	if q.Kind == "book" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", r.site.daemonIP(q.Daemon), zpoutside.CallersPort, path), nil)
	if err != nil {
		return
	}
	req.Host = zpoutside.Host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Authorization", "Bearer "+key)
	// Without it the library repeats a read itself when a kept connection breaks.
	req.GetBody = nil
	req.Header["X-Idempotency-Key"] = nil
	q.Begun, q.Life = time.Now(), r.faults.life(q.Daemon)
	res, err := client.Do(req)
	if err != nil {
		q.Broken, q.Ended = true, time.Now()
		return
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	q.Ended, q.Status, q.Broken = time.Now(), res.StatusCode, err != nil
	q.Whole = string(body) == whole(q)
	if !q.Whole && !q.Broken && q.Status == http.StatusOK {
		q.Body = string(body)
	}
}

// whole returns the body of a whole answer.
func whole(q *request) string {
	if q.Kind != "stream" {
		return zpoutside.Answer(q.ID)
	}
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(zpoutside.Event(q.ID, i))
	}
	return b.String()
}
