package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// loader is an engine that serves several models and loads new weights when it is ordered to.
type loader struct {
	*engine
	store func(e *engine) // writes the entry anew
	warm  time.Duration

	mu       sync.Mutex
	versions map[string]int
	busy     bool
	sequence int
	orders   int
}

// wireOrder is the body of an order.
type wireOrder struct {
	Op       string `json:"op-type"`
	Model    string `json:"model"`
	Version  int    `json:"version"`
	Sequence *int   `json:"expect"`
	Fence    int    `json:"fencing-token"`
	Holder   string `json:"holder"`
}

const (
	secondModel = "daka510001"
	loaders     = 4
	loadTimeNew = 900 * time.Millisecond // new weights take a runner 0.9 s
	// versionLimit is version-ms, and versionEnd the time after which old versions count at
	// the end of the traffic.
	versionLimit = 10 * time.Second
	versionEnd   = versionLimit * 3 / 2
	oneModelEnv  = "ONE_MODEL" // "1": the engines serve one model, for comparison
)

// playTwoModels names new weights of one of two models that all engines serve.
func playTwoModels(ctx context.Context, s *site, trouble bool) (outcome, error) {
	names := []string{model, secondModel}
	if os.Getenv(oneModelEnv) == "1" {
		names = names[:1]
	}
	if err := s.open(len(zones), newConfigOf(7, oneTenant(false), names)); err != nil {
		return notRun, err
	}
	for _, name := range names {
		s.store.Put("versions", name, encode(map[string]any{"model": name, "version": 1}))
	}
	var list []*loader
	for i := range loaders {
		l, err := s.startLoader(i, names)
		if err != nil {
			return notRun, err
		}
		list = append(list, l)
	}
	if err := s.startDaemons(ctx); err != nil {
		return notRun, err
	}
	requests := &requestLog{}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var sending sync.WaitGroup
	for n := range fewClients * len(s.daemons) {
		sending.Go(func() { s.sendStreams(clients, n, requestInterval, requests) })
	}
	time.Sleep(warmUp)
	named := time.Now()
	if trouble {
		s.store.Put("versions", model, encode(map[string]any{"model": model, "version": 2}))
		s.Record.note("the store acknowledges version 2 of model %s", model)
	}
	time.Sleep(versionEnd + stableWindow)
	stopClients()
	sending.Wait()
	return s.judgeVersions(list, named, trouble, requests), nil
}

func (s *site) startLoader(i int, names []string) (*loader, error) {
	l := &loader{engine: s.newEngine(i, shortPause, streamEvents), warm: loadTimeNew, versions: map[string]int{}}
	for _, name := range names {
		l.versions[name] = 1
	}
	l.Version = func(name string) int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.versions[name]
	}
	if _, err := s.serve(l.Address, l); err != nil {
		return nil, err
	}
	l.store = func(e *engine) { s.store.Put("servers", e.Name, l.entryOf()) }
	l.store(l.engine)
	s.Record.note("engine %s registers with %d models", l.Name, len(names))
	return l, nil
}

func (l *loader) models() []any {
	var out []any
	for name, version := range l.versions {
		out = append(out, map[string]any{"name": name, "version": version, "adapters": []any{}})
	}
	return out
}

// entryOf returns the entry with the present versions.
func (l *loader) entryOf() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return encode(map[string]any{
		"service": engineService, "address": l.Address, "zone": l.Zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold-left-ms": 0,
		"stage": "prefill_decode", "models": l.models(), "sequence": l.sequence, "born": l.bornAtMS,
	})
}

// ServeHTTP implements http.Handler.
func (l *loader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	version, busy := l.versions[r.Header.Get("Model")], l.busy
	state := map[string]any{
		"stage": "prefill_decode", "models": l.models(), "busy": l.busy, "sequence": l.sequence, "waiting": 0, "running": 0,
		"kv-used": 0, "kv-total": engineTokens, "handles": 0,
	}
	l.mu.Unlock()
	expected := r.Header.Get("Expect-Version")
	switch {
	case r.URL.Path == "/zinniapaddle/report":
		reply(w, state)
	case r.URL.Path == "/zinniapaddle/order":
		w.WriteHeader(l.order(r))
	case version != 0 && busy:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case version != 0 && expected != "" && expected != fmt.Sprint(version):
		w.Header().Set("Weight-Versions", fmt.Sprint(version))
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		l.engine.ServeHTTP(w, r)
	}
}

// order takes an order and returns the status of the answer.
func (l *loader) order(r *http.Request) int {
	var o wireOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "version" {
		return http.StatusBadRequest
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders++
	l.Record.note("engine %s gets an order of %s: model %s, version %d, fence %d", l.Name, o.Holder, o.Model, o.Version, o.Fence)
	switch {
	case l.busy || o.Sequence != nil && *o.Sequence != l.sequence:
		return http.StatusConflict
	case l.versions[o.Model] == o.Version:
		return http.StatusOK
	}
	l.busy = true
	l.sequence++
	time.AfterFunc(l.warm, func() { l.load(o) })
	return http.StatusAccepted
}

func (l *loader) load(o wireOrder) {
	l.mu.Lock()
	l.versions[o.Model], l.busy = o.Version, false
	l.mu.Unlock()
	l.store(l.engine)
}

// judgeVersions checks that the engines have the named version at the end of the traffic.
func (s *site) judgeVersions(list []*loader, named time.Time, trouble bool, requests *requestLog) outcome {
	before, after, refused := 0, 0, 0
	for _, q := range requests.all() {
		s.Record.noteAt(q.SentAt, "%s", q.text())
		switch isLate := q.SentAt.After(named.Add(versionLimit)); {
		case q.Status == http.StatusOK && q.Complete && isLate:
			after++
		case q.Status == http.StatusOK && q.Complete:
			before++
		case isLate:
			refused++
		}
	}
	old, orders := 0, 0
	for _, l := range list {
		l.mu.Lock()
		orders += l.orders
		if trouble && l.versions[model] < 2 {
			old++
		}
		l.mu.Unlock()
	}
	s.Record.note("at the end of the traffic, %d of %d engines have an older version; orders: %d", old, len(list), orders)
	s.Record.note("requests of the model: %d served until %s after the version was named; later %d served, %d refused or failed", before, versionLimit, after, refused)
	if before == 0 {
		return notRun
	}
	if old > 1 && old*10 > len(list) {
		return ruleBroken
	}
	return ruleHeld
}
