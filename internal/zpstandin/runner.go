package zpstandin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"

	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

type (
	// RunnerConfig describes one model engine.
	RunnerConfig struct {
		Name          string
		Slots         int           // requests decoded at once
		PrefillTokens int           // recomputed per second
		Decode        time.Duration // per token of one request
		CacheBlocks   int
		ColdFor       time.Duration // length of a cold start
		ColdBearable  int           // requests that a cold engine bears
		ColdFactor    int           // how much slower a cold engine is
		StartCold     bool
		RestartFor    time.Duration // connections are dropped for so long after a crash
		ReportLag     time.Duration
		Version       string // weight version of new requests
		Fencing       bool
		BlockBytes    int    // KV cache bytes of one block
		Region        string // for imports over the link
		LinkAddress   string // base URL of the link stand-in, "" for none
	}

	// Runner stands in for a model engine. Set Config before use.
	Runner struct {
		Config RunnerConfig

		mu        sync.Mutex
		boot      string
		warmAt    time.Time
		downUntil time.Time
		frozen    time.Time
		draining  bool
		running   map[int]context.CancelFunc
		nextRun   int
		slots     *slotQueue
		prefill   *slotQueue
		cache     *lru.Cache[zpprefix.Name, struct{}]
		history   []wireReport
		orderAt   int64 // highest fencing number seen
		orders    []Order
		stats     RunnerStats
	}

	// RunnerStats is what an engine has counted.
	RunnerStats struct {
		Boot         string    `json:"boot"`
		Runs         int       `json:"runs"`
		Crashes      int       `json:"crashes"`
		Collapses    int       `json:"collapses"`
		MaxColdLoad  int       `json:"max_cold_load"`
		PromptTokens int64     `json:"prompt_tokens"`
		CachedTokens int64     `json:"cached_tokens"`
		Imported     int64     `json:"imported_blocks"`
		BadImports   int64     `json:"refused_imports"`
		Running      int       `json:"running"`
		Version      string    `json:"version"`
		Orders       []Order   `json:"orders,omitempty"`
		Arrivals     []Arrival `json:"arrivals,omitempty"`
	}

	// Arrival is one request as it reached the engine.
	Arrival struct {
		RequestID string `json:"request_id"`
		AtUnixMS  int64  `json:"at_unix_ms"`
		Cold      bool   `json:"cold"`
		Load      int    `json:"load"`
	}

	// Order is one operator order that the engine took.
	Order struct {
		Epoch   int64  `json:"epoch"`
		Kind    string `json:"kind"`
		Version string `json:"version"`
	}

	wireReport struct {
		Boot    string `json:"boot"`
		Warm    bool   `json:"warm"`
		Running int    `json:"running"`
		Version string `json:"version,omitempty"`
		AgeMS   int64  `json:"age_ms"`

		at time.Time
	}
)

const reportEvery = 50 * time.Millisecond

// NewRunner returns an engine that has just booted.
func NewRunner(c RunnerConfig) (*Runner, error) {
	r := &Runner{Config: c, running: map[int]context.CancelFunc{}}
	r.slots, r.prefill = newSlotQueue(c.Slots), newSlotQueue(1)
	cache, err := lru.New[zpprefix.Name, struct{}](c.CacheBlocks)
	if err != nil {
		return nil, err
	}
	r.cache = cache
	r.boot = newBoot(c.Name)
	if c.StartCold {
		r.warmAt = time.Now().Add(c.ColdFor)
	}
	return r, nil
}

// Run keeps the lagging reports until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		r.snapshot(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Handler returns the HTTP protocol of the engine.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.guard(r.generate))
	mux.HandleFunc("POST /v1/completions", r.guard(r.generate))
	mux.HandleFunc("GET /v1/report", r.guard(r.report))
	mux.HandleFunc("POST /v1/cache/export", r.guard(r.export))
	mux.HandleFunc("POST /v1/orders", r.guard(r.order))
	mux.HandleFunc("POST /control", r.control)
	mux.HandleFunc("GET /control/stats", r.statsPage)
	return mux
}

// Stats returns what the engine has counted.
func (r *Runner) Stats() RunnerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Boot, s.Running, s.Version = r.boot, len(r.running), r.Config.Version
	s.Orders = slices.Clone(r.orders)
	s.Arrivals = slices.Clone(r.stats.Arrivals)
	return s
}

// Fall makes the engine cold without a word and without cutting a stream.
func (r *Runner) Fall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmAt = time.Now().Add(r.Config.ColdFor)
	r.cache.Purge()
}

// Crash drops all streams; the engine comes back cold with a new boot identity.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Crashes++
	r.boot = newBoot(r.Config.Name)
	r.cutAll()
	now := time.Now()
	r.downUntil = now.Add(r.Config.RestartFor)
	r.warmAt = r.downUntil.Add(r.Config.ColdFor)
	r.cache.Purge()
	r.history = nil
}

// guard drops the connection while the engine is down, and holds it while it
// is frozen.
func (r *Runner) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		down := time.Now().Before(r.downUntil)
		hold := time.Until(r.frozen)
		r.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if hold > 0 {
			time.Sleep(hold)
		}
		next(w, q)
	}
}

func (r *Runner) cutAll() {
	for _, cancel := range r.running {
		cancel()
	}
}

func (r *Runner) cold(now time.Time) bool { return now.Before(r.warmAt) }

func (r *Runner) snapshot(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, wireReport{Boot: r.boot, Warm: !r.cold(now), Running: len(r.running), Version: r.Config.Version, at: now})
	for len(r.history) > 1 && now.Sub(r.history[1].at) > r.Config.ReportLag {
		r.history = r.history[1:]
	}
}

func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	r.mu.Lock()
	out := wireReport{Boot: r.boot, Warm: false, at: now}
	if len(r.history) > 0 {
		out = r.history[0]
	}
	r.mu.Unlock()
	out.AgeMS = now.Sub(out.at).Milliseconds() + 1
	text, err := json.Marshal(out)
	writeBytes(w, text, err)
}

func (r *Runner) statsPage(w http.ResponseWriter, _ *http.Request) {
	text, err := json.Marshal(r.Stats())
	writeBytes(w, text, err)
}

func (r *Runner) control(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Fall     bool   `json:"fall"`
		Crash    bool   `json:"crash"`
		Drain    *bool  `json:"drain"`
		FreezeMS int64  `json:"freeze_ms"`
		Version  string `json:"version"`
	}
	if err := json.NewDecoder(q.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.Fall {
		r.Fall()
	}
	if c.Crash {
		r.Crash()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Drain != nil {
		r.draining = *c.Drain
	}
	if c.FreezeMS > 0 {
		r.frozen = time.Now().Add(time.Duration(c.FreezeMS) * time.Millisecond)
	}
	if c.Version != "" {
		r.Config.Version = c.Version
	}
}

// order takes an operator order. An engine with fencing refuses an old number.
func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o Order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Config.Fencing && o.Epoch < r.orderAt {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orderAt = max(r.orderAt, o.Epoch)
	r.orders = append(r.orders, o)
	if o.Kind == "set_version" {
		r.Config.Version = o.Version
	}
}

func newBoot(name string) string {
	raw := make([]byte, 6)
	_, _ = rand.Read(raw)
	return name + "-" + hex.EncodeToString(raw)
}
