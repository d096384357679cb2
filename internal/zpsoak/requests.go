package zpsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// request is one client request and its outcome.
	request struct {
		ID          string
		Kind        string // first path segment
		Daemon      int
		Incarnation int    // of the daemon when the request was sent
		Version     int    // configuration version in the path; only for kind "cfg"
		Parts       string // shared parts of the prompt; empty for requests without a prompt
		SentAt      time.Time
		DoneAt      time.Time
		CanceledAt  time.Time // when the client closed the connection early; zero if it did not
		Status      int       // zero if there was no response
		Code        string    // of the error, if a daemon refused the request
		Complete    bool      // the body is the complete response to this request
		Interrupted bool      // the connection or body ended early, also by cancellation or timeout
		Body        string    // only of a 200 response that is neither complete nor interrupted
		IsRetry     bool      // the client has sent the same before
		Resumes     string    // attempt that brought the first event of a stream; empty: the stream begins
		ResumeAfter int       // event after which the client resumes a stream; zero: it begins
		Way         string    // how the client takes the stream up
		Unnamed     bool      // the client does not name the attempt that it resumes
		Events      []event   // complete events received of a stream
	}

	// event is one event that a client received.
	event struct {
		Number  int
		Version string // software version of the endpoint
		Err     error  // the event is malformed or answers another request
	}

	// takeUp says how a client takes up streams that break off.
	takeUp struct {
		Way     string
		Daemons []int         // in turn
		Delay   time.Duration // before each attempt
		Unnamed bool
		Insists bool // goes on after a refusal
	}

	// requestLog records the requests of all clients. It is safe for concurrent use.
	requestLog struct {
		mu       sync.Mutex
		requests []request
	}
)

const (
	requestInterval    = 60 * time.Millisecond
	requestTimeout     = 7 * time.Second
	configPollInterval = 250 * time.Millisecond
	// cancelOneIn is the number of requests of which, on average, one is canceled.
	cancelOneIn    = 5
	maxCancelDelay = 500 * time.Millisecond

	// maxStreamAttempts bounds how often a client sends one stream.
	maxStreamAttempts = 4
	eventEnd          = "\n\n"

	deadlyPart        = "dead"
	soundParts        = "system:40,document:40"
	partCrashDowntime = 2 * time.Second
	promptInterval    = 120 * time.Millisecond
	promptTimeout     = time.Second

	steadyInterval = 60 * time.Millisecond // per daemon
)

func (h *requestLog) add(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// sendRequests sends requests of all kinds to one daemon over one keep-alive
// connection until ctx ends. It keeps using the connection while the daemon shuts
// down.
func (r *run) sendRequests(ctx context.Context, daemon, clientIndex int) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	kinds := []string{"book", "read", "stream"}
	random := rand.New(rand.NewPCG(r.cluster.Seed, uint64(daemon*r.cluster.Callers+clientIndex)))
	for n := 0; ctx.Err() == nil; n++ {
		q := request{ID: fmt.Sprintf("r-%d-%d-%d", daemon, clientIndex, n), Kind: kinds[(n+clientIndex)%len(kinds)], Daemon: daemon}
		switch {
		case random.IntN(cancelOneIn) == 0:
			r.sendAndCancel(ctx, client, &q, time.Duration(random.Int64N(int64(maxCancelDelay))))
		case q.Kind == "stream":
			r.sendStream(ctx, client, q, takeUp{Daemons: r.cluster.daemonsFrom(daemon + 1)})
		default:
			r.send(ctx, client, &q, "/"+q.Kind+"/1")
		}
		sleep(ctx, requestInterval)
	}
}

// sendStream sends a stream. When it breaks off, its client resumes it as given.
func (r *run) sendStream(ctx context.Context, client *http.Client, q request, t takeUp) {
	first := q
	for attempt := 1; ; attempt++ {
		r.send(ctx, client, &q, "/stream/1")
		isRefused := q.Status != 0 && q.Status != http.StatusOK
		if !q.Interrupted && !(t.Insists && isRefused && q.IsRetry) || attempt == maxStreamAttempts || ctx.Err() != nil {
			return
		}
		q = q.nextAttempt(fmt.Sprintf("%s-%d", first.ID, attempt), t.Daemons[(attempt-1)%len(t.Daemons)])
		q.Way, q.Unnamed = t.Way, t.Unnamed
		sleep(ctx, t.Delay)
	}
}

// nextAttempt returns the request that takes a stream up after the last event that arrived.
func (q request) nextAttempt(id string, daemon int) request {
	last := q.ResumeAfter
	if n := len(q.Events); n > 0 {
		last = q.Events[n-1].Number
	}
	resumes := q.Resumes
	if resumes == "" && last > 0 {
		resumes = q.ID
	}
	return request{ID: id, Kind: q.Kind, Daemon: daemon, IsRetry: true, Resumes: resumes, ResumeAfter: last}
}

// pollConfig repeatedly checks whether the newest configuration version is in
// effect on one daemon.
func (r *run) pollConfig(ctx context.Context, daemon int) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		version, _ := r.faults.configuration()
		q := request{ID: fmt.Sprintf("c-%d-%d", daemon, n), Kind: "cfg", Daemon: daemon, Version: version}
		r.send(ctx, client, &q, fmt.Sprintf("/cfg/%d/x", version))
		sleep(ctx, configPollInterval)
	}
}

// sendPrompts sends prompts through all daemons in turn, no two alike, without waiting
// for responses. Every other one has the deadly part, the others all but that part.
func (r *run) sendPrompts(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: promptTimeout}
	var sending sync.WaitGroup
	defer sending.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		q := request{ID: fmt.Sprintf("p-%d", n), Kind: "stream", Daemon: n / 2 % r.cluster.Daemons, Parts: soundParts}
		if n%2 == 1 {
			q.Parts += "," + deadlyPart + ":20"
		}
		sending.Go(func() { r.sendPrompt(ctx, client, &q) })
		sleep(ctx, promptInterval)
	}
}

// sendSteady sends bookings and reads to all daemons, each over a connection of its own and
// without waiting for responses, so that a daemon that does not answer gets as many as others.
func (r *run) sendSteady(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	kinds := []string{"book", "read"}
	ms := time.Since(r.startedAt).Milliseconds()
	for n := 0; ctx.Err() == nil; n++ {
		for daemon := range r.cluster.Daemons {
			q := request{ID: fmt.Sprintf("s-%d-%d-%d", ms, daemon, n), Kind: kinds[n%len(kinds)], Daemon: daemon}
			r.sending.Go(func() { r.send(ctx, client, &q, "/"+q.Kind+"/1") })
		}
		sleep(ctx, steadyInterval)
	}
}

// sendPrompt sends a prompt. Its client closes the connection after promptTimeout.
func (r *run) sendPrompt(ctx context.Context, client *http.Client, q *request) {
	r.roundTrip(context.WithoutCancel(ctx), client, q, "/"+q.Kind+"/1")
	if q.Interrupted && q.DoneAt.Sub(q.SentAt) >= promptTimeout {
		q.CanceledAt = q.DoneAt
	}
	r.requestLog.add(*q)
}

// isDeadly reports whether the request has the deadly part.
func (q request) isDeadly() bool { return strings.Contains(q.Parts, deadlyPart+":") }

// sendAndCancel sends a request and closes its connection after a delay. Each
// request has its own path: with a shared path, the requests would be equal, would
// never be served, and would be in flight at crashes.
func (r *run) sendAndCancel(ctx context.Context, client *http.Client, q *request, after time.Duration) {
	r.sendFor(ctx, client, q, "/"+q.Kind+zpoutside.LongStreamPath+q.ID, after)
}

// sendFor sends a request and closes its connection if the response takes longer.
func (r *run) sendFor(ctx context.Context, client *http.Client, q *request, path string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	r.roundTrip(ctx, client, q, path)
	if q.Interrupted {
		q.CanceledAt = q.DoneAt
	}
	r.requestLog.add(*q)
}

func (r *run) send(ctx context.Context, client *http.Client, q *request, path string) {
	// A request in progress is not canceled at the end of the run.
	r.roundTrip(context.WithoutCancel(ctx), client, q, path)
	r.requestLog.add(*q)
}

func (r *run) roundTrip(ctx context.Context, client *http.Client, q *request, path string) {
	req, err := newHTTPRequest(ctx, q, fmt.Sprintf("http://%s:%d%s", r.cluster.daemonIP(q.Daemon), zpoutside.CallersPort, path))
	if err != nil {
		return
	}
	q.SentAt, q.Incarnation = time.Now(), r.faults.incarnation(q.Daemon)
	res, err := client.Do(req)
	if err != nil {
		q.Interrupted, q.DoneAt = true, time.Now()
		return
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	q.DoneAt, q.Status, q.Interrupted = time.Now(), res.StatusCode, err != nil
	if q.Kind == "stream" && q.Status == http.StatusOK {
		q.Events = parseEvents(q, string(body))
		q.Complete = q.hasAllEvents() && (len(body) == 0 || strings.HasSuffix(string(body), eventEnd))
	} else {
		q.Complete = string(body) == zpoutside.Answer(q.ID)
		q.Code = parseErrorCode(body)
	}
	if !q.Complete && !q.Interrupted && q.Status == http.StatusOK {
		q.Body = string(body)
	}
}

// newHTTPRequest returns the HTTP request for q. net/http sends a read again when a
// kept connection fails, but not a booking.
func newHTTPRequest(ctx context.Context, q *request, url string) (*http.Request, error) {
	method := http.MethodGet
	if q.Kind == "book" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Host = zpoutside.Host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if q.Resumes != "" {
		if !q.Unnamed {
			req.Header.Set("Resumes", q.Resumes)
		}
		req.Header.Set("Last-Event-Id", strconv.Itoa(q.ResumeAfter))
	}
	if q.Parts != "" {
		zpoutside.SetPrompt(req.Header, q.Parts+","+q.ID+":10")
	}
	return req, nil
}

// parseErrorCode returns the code of the error in a response, or nothing if it has none.
func parseErrorCode(body []byte) string {
	var out struct{ Code string }
	if err := json.Unmarshal(body, &out); err != nil {
		return ""
	}
	return out.Code
}

// parseEvents returns the complete events of a stream.
func parseEvents(q *request, body string) []event {
	var out []event
	for text := range strings.SplitAfterSeq(body, eventEnd) {
		if !strings.HasSuffix(text, eventEnd) {
			break
		}
		n, id, version, err := zpoutside.ParseEvent(text)
		if err == nil && id != q.ID {
			err = fmt.Errorf("event %d answers %s", n, id)
		}
		out = append(out, event{Number: n, Version: version, Err: err})
	}
	return out
}

// hasAllEvents reports whether the events of a response are the rest of a stream.
func (q *request) hasAllEvents() bool {
	if len(q.Events) != eventsPerStream-q.ResumeAfter {
		return false
	}
	for i, e := range q.Events {
		if e.Err != nil || e.Number != q.ResumeAfter+i+1 {
			return false
		}
	}
	return true
}
