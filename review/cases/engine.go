package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// engine is a stand-in for a model runner. A request that does not fit into its memory
	// waits until it does.
	engine struct {
		Name    string
		Address string
		Zone    string
		Pause   time.Duration // between two events
		Events  int           // of each stream
		Record  *record
		// UnframedEvery makes each n-th answer one without a length, which ends with its
		// connection; zero for none.
		UnframedEvery int
		OnBegin       func(id string, unframed bool) // may be nil
		Version       func(model string) int         // of the weights; nil: 1

		server *http.Server

		mu       sync.Mutex
		draining bool
		parts    map[string]string // tenant that made a part, by salt and part
		used     int               // tokens of running requests
		running  int
		freed    chan struct{}
		runs     []*engineRun
		bornAtMS int64
	}

	// engineRun is one request that an engine has begun to run.
	engineRun struct {
		Request   string
		Tenant    string
		Salt      string
		ArrivedAt time.Time
		BeganAt   time.Time
		EndedAt   time.Time // zero while it runs
		// Reused are the tenants that made the parts on whose cache the run goes on.
		Reused map[string]string // by part
	}
)

const (
	engineTokens = 77919
	engineSlots  = 64
	// maxEventWait is the longest call for cache events that a runner holds.
	maxEventWait = time.Second
)

// entry returns the spec of the object that registers the engine.
func (e *engine) entry() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return encode(map[string]any{
		"service": engineService, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": engineSlots, "state": state, "cold-left-ms": 0,
		"stage": "prefill_decode", "models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}, "sequence": 0, "born": e.bornAtMS,
	})
}

// setDraining makes the engine report that it leaves. It goes on serving.
func (e *engine) setDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// exit ends the engine and with it all its connections.
func (e *engine) exit() { _ = e.server.Close() }

// startEngine starts an engine and writes its entry.
func (s *site) startEngine(i int, pause time.Duration, events int) (*engine, error) {
	e := s.newEngine(i, pause, events)
	var err error
	if e.server, err = s.serve(e.Address, e); err != nil {
		return nil, err
	}
	s.store.Put("servers", e.Name, e.entry())
	s.Record.note("engine %s registers", e.Name)
	return e, nil
}

func (s *site) newEngine(i int, pause time.Duration, events int) *engine {
	return &engine{
		Name: fmt.Sprintf("i-engine%d", i), Address: fmt.Sprintf("%s:%d", s.ip(4, i), runnerPort), Zone: zones[i%len(zones)].Name,
		Pause: pause, Events: events, Record: s.Record, freed: make(chan struct{}), parts: map[string]string{}, bornAtMS: time.Now().UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/zinniapaddle/kv-events":
		e.serveEvents(w, r)
	case "/zinniapaddle/kv-list":
		reply(w, map[string]any{"boot-epoch": 1, "next": 1, "held": []any{}})
	case "/zinniapaddle/report":
		reply(w, map[string]any{
			"stage": "prefill_decode", "models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": e.load(), "kv-used": 0, "kv-total": engineTokens, "handles": 0,
		})
	default:
		e.serveRequest(w, r)
	}
}

// serveEvents holds the call for as long as it may wait: there are no events.
func (e *engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		wait = 0
	}
	select {
	case <-time.After(min(time.Duration(wait)*time.Millisecond, maxEventWait)):
	case <-r.Context().Done():
		return
	}
	reply(w, map[string]any{"boot-epoch": 1, "next": 1, "lost": false, "events": []any{}})
}

func (e *engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	tokens, run := tokensOf(r), &engineRun{Request: id, Tenant: r.Header.Get("Tenant-Id"), Salt: r.Header.Get("Cache-Salt"), ArrivedAt: time.Now()}
	if !e.admit(r, tokens) {
		return
	}
	e.begin(run, r.Header.Get("Prompt-Prefix"))
	defer e.end(run, tokens)
	unframed := e.isUnframed()
	if e.OnBegin != nil {
		e.OnBegin(id, unframed)
	}
	if unframed {
		e.streamUnframed(w, id)
		return
	}
	w.Header().Set("Server-Seal", e.Name)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(e.versionOf(r.Header.Get("Model"))))
	for n := 1; n <= e.Events; n++ {
		// Fails only if the client has disconnected, which ends the run.
		_, _ = io.WriteString(w, eventText(id, n))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(e.Pause):
		case <-r.Context().Done():
			return
		}
	}
}

// streamUnframed sends a stream that ends with its connection.
func (e *engine) streamUnframed(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n", id, e.Name)
	for n := 1; n <= e.Events; n++ {
		if _, err := io.WriteString(conn, text+eventText(id, n)); err != nil {
			return // the client has disconnected
		}
		text = ""
		time.Sleep(e.Pause)
	}
}

func (e *engine) versionOf(model string) int {
	if e.Version == nil {
		return 1
	}
	return e.Version(model)
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// isUnframed reports whether the answer to the newest run has no length.
func (e *engine) isUnframed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.UnframedEvery > 0 && len(e.runs)%e.UnframedEvery == 0
}

// tokensOf returns the memory that a request needs.
func tokensOf(r *http.Request) int {
	sum := 0
	for text := range strings.SplitSeq(r.Header.Get("Token-Count"), ",") {
		n, err := strconv.Atoi(text)
		if err == nil {
			sum += n
		}
	}
	return sum
}

// admit waits until the engine has memory for a request, and reports false if its client
// leaves before.
func (e *engine) admit(r *http.Request, tokens int) bool {
	for {
		e.mu.Lock()
		if e.used+tokens <= engineTokens && e.running < engineSlots {
			e.used += tokens
			e.running++
			e.mu.Unlock()
			return true
		}
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			return false
		}
	}
}

// begin records a run. It goes on the cache of the parts that are kept under its salt, up to
// the first that is not, and its other parts are kept from now on.
func (e *engine) begin(run *engineRun, prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.BeganAt, run.Reused = time.Now(), map[string]string{}
	isWhole := true
	for entry := range strings.SplitSeq(prompt, ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := run.Salt + " " + part
		maker, isKept := e.parts[key]
		isWhole = isWhole && isKept
		if isWhole {
			run.Reused[part] = maker
		} else {
			e.parts[key] = run.Tenant
		}
	}
	e.runs = append(e.runs, run)
}

func (e *engine) end(run *engineRun, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.EndedAt = time.Now()
	e.used -= tokens
	e.running--
	close(e.freed)
	e.freed = make(chan struct{})
}

func (e *engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// allRuns returns copies of the recorded runs.
func (e *engine) allRuns() []engineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []engineRun
	for _, r := range e.runs {
		out = append(out, *r)
	}
	return out
}

// recordRuns writes all runs of engines to the record.
func (s *site) recordRuns(list []*engine) {
	for _, e := range list {
		for _, r := range e.allRuns() {
			s.Record.noteAt(r.BeganAt, "engine %s runs request %s of tenant %s with salt %q for %d ms", e.Name, r.Request, r.Tenant, r.Salt, r.EndedAt.Sub(r.BeganAt).Milliseconds())
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Fails only if the client has disconnected.
	_, _ = io.WriteString(w, encode(body))
}
