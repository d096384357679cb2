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
	// RunnerConfig is the configuration of a model engine.
	RunnerConfig struct {
		Name          string
		Slots         int           // maximum number of requests decoded concurrently
		PrefillTokens int           // prompt tokens computed per second
		Decode        time.Duration // time per token of a request
		CacheBlocks   int
		ColdFor       time.Duration // duration of a cold start
		ColdBearable  int           // concurrent requests above which a cold engine collapses
		ColdFactor    int           // factor by which a cold engine is slower
		StartCold     bool
		RestartFor    time.Duration // how long connections are dropped after a crash
		ReportLag     time.Duration // age of the state in reports
		Version       string        // weight version of new requests
		Fencing       bool          // reject orders with an outdated fencing number
		BlockBytes    int           // KV cache size of one block
		Region        string        // for imports over the link
		LinkAddress   string        // base URL of the link stand-in; "" for none
	}

	// Runner is a stand-in for a model engine. Create it with NewRunner.
	Runner struct {
		Config RunnerConfig

		mu          sync.Mutex
		boot        string
		warmAt      time.Time
		downUntil   time.Time
		frozenUntil time.Time
		draining    bool
		running     map[int]context.CancelFunc
		nextRun     int
		slots       *slotQueue
		prefill     *slotQueue
		cache       *lru.Cache[zpprefix.BlockName, struct{}]
		reports     []engineReport
		maxEpoch    int64 // highest fencing number seen
		orders      []Order
		stats       RunnerStats
	}

	// RunnerStats holds the counters and the state of an engine.
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

	// Arrival records the arrival of one request at the engine.
	Arrival struct {
		RequestID string `json:"request_id"`
		AtUnixMS  int64  `json:"at_unix_ms"`
		Cold      bool   `json:"cold"`
		Load      int    `json:"load"` // concurrent requests, including this one
	}

	// Order is one operator order that the engine accepted.
	Order struct {
		Epoch   int64  `json:"epoch"` // fencing number
		Kind    string `json:"kind"`
		Version string `json:"version"`
	}

	engineReport struct {
		Boot    string `json:"boot"`
		Warm    bool   `json:"warm"`
		Running int    `json:"running"`
		Version string `json:"version,omitempty"`
		AgeMS   int64  `json:"age_ms"`

		at time.Time
	}
)

const reportInterval = 50 * time.Millisecond

// NewRunner returns an engine that has just booted, cold if StartCold is set.
func NewRunner(c RunnerConfig) (*Runner, error) {
	r := &Runner{Config: c, running: map[int]context.CancelFunc{}}
	r.slots, r.prefill = newSlotQueue(c.Slots), newSlotQueue(1)
	cache, err := lru.New[zpprefix.BlockName, struct{}](c.CacheBlocks)
	if err != nil {
		return nil, err
	}
	r.cache = cache
	r.boot = newBootID(c.Name)
	if c.StartCold {
		r.warmAt = time.Now().Add(c.ColdFor)
	}
	return r, nil
}

// Run records the state for reports, which lag by ReportLag, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
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

// Handler returns the HTTP handler of the engine.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.checkAvailable(r.generate))
	mux.HandleFunc("POST /v1/completions", r.checkAvailable(r.generate))
	mux.HandleFunc("GET /v1/report", r.checkAvailable(r.report))
	mux.HandleFunc("POST /v1/cache/export", r.checkAvailable(r.export))
	mux.HandleFunc("POST /v1/orders", r.checkAvailable(r.order))
	mux.HandleFunc("POST /control", r.control)
	mux.HandleFunc("GET /control/stats", r.serveStats)
	return mux
}

// Stats returns a copy of the counters and the state.
func (r *Runner) Stats() RunnerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Boot, s.Running, s.Version = r.boot, len(r.running), r.Config.Version
	s.Orders = slices.Clone(r.orders)
	s.Arrivals = slices.Clone(r.stats.Arrivals)
	return s
}

// BecomeCold makes the engine cold and empties its cache. Streams continue, and the
// boot identity stays, so that only reports announce it, after ReportLag.
func (r *Runner) BecomeCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmAt = time.Now().Add(r.Config.ColdFor)
	r.cache.Purge()
}

// Crash cancels all streams. After RestartFor, the engine is available again: cold,
// with an empty cache and a new boot identity.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Crashes++
	r.boot = newBootID(r.Config.Name)
	r.cancelAll()
	now := time.Now()
	r.downUntil = now.Add(r.Config.RestartFor)
	r.warmAt = r.downUntil.Add(r.Config.ColdFor)
	r.cache.Purge()
	r.reports = nil
}

// checkAvailable drops the connection while the engine is down, and delays the
// request while the engine is frozen.
func (r *Runner) checkAvailable(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		down := time.Now().Before(r.downUntil)
		frozenFor := time.Until(r.frozenUntil)
		r.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if frozenFor > 0 {
			time.Sleep(frozenFor)
		}
		next(w, q)
	}
}

func (r *Runner) cancelAll() {
	for _, cancel := range r.running {
		cancel()
	}
}

func (r *Runner) cold(now time.Time) bool { return now.Before(r.warmAt) }

func (r *Runner) snapshot(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, engineReport{Boot: r.boot, Warm: !r.cold(now), Running: len(r.running), Version: r.Config.Version, at: now})
	for len(r.reports) > 1 && now.Sub(r.reports[1].at) > r.Config.ReportLag {
		r.reports = r.reports[1:]
	}
}

func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	r.mu.Lock()
	out := engineReport{Boot: r.boot, Warm: false, at: now}
	if len(r.reports) > 0 {
		out = r.reports[0]
	}
	r.mu.Unlock()
	out.AgeMS = now.Sub(out.at).Milliseconds() + 1
	text, err := json.Marshal(out)
	writeBytes(w, text, err)
}

func (r *Runner) serveStats(w http.ResponseWriter, _ *http.Request) {
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
		r.BecomeCold()
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
		r.frozenUntil = time.Now().Add(time.Duration(c.FreezeMS) * time.Millisecond)
	}
	if c.Version != "" {
		r.Config.Version = c.Version
	}
}

// order accepts an operator order. An engine with fencing rejects a fencing number
// below the highest one seen.
func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o Order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Config.Fencing && o.Epoch < r.maxEpoch {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.maxEpoch = max(r.maxEpoch, o.Epoch)
	r.orders = append(r.orders, o)
	if o.Kind == "set_version" {
		r.Config.Version = o.Version
	}
}

func newBootID(name string) string {
	raw := make([]byte, 6)
	_, _ = rand.Read(raw)
	return name + "-" + hex.EncodeToString(raw)
}
