package zpstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
)

type (
	engineRequest struct {
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}

	// engineRun is the state of one request in the engine.
	engineRun struct {
		text       string
		chat       bool
		tokens     int
		resumeFrom int
		version    string
		urgent     bool
		salt       zpprefix.Salt
		blocks     []zpprefix.BlockName
		cached     int
		boot       string
		cold       bool
	}
)

const (
	// CrashMarker is a text that crashes every engine that runs a prompt with it.
	CrashMarker         = "CRASH-THE-ENGINE"
	defaultAnswerTokens = 16
	maxAnswerTokens     = 4096
)

// AnswerToken returns token n of the answer to a prompt. It depends only on the
// arguments, so that clients can check answers.
func AnswerToken(text, version string, n int) string {
	return fmt.Sprintf("w%04x ", xxh3.HashStringSeed(text+"|"+version, uint64(n))&0xffff)
}

// Answer returns the complete answer to a prompt, of the given number of tokens.
func Answer(text, version string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(AnswerToken(text, version, i))
	}
	return b.String()
}

func (r *Runner) generate(w http.ResponseWriter, q *http.Request) {
	run, err := readRun(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status := r.rejectStatus(run); status != 0 {
		w.Header().Set(zpengine.HeaderNotStarted, "true")
		w.WriteHeader(status)
		return
	}
	ctx, done := r.admit(q, run)
	defer done()
	if err := r.slots.acquire(ctx, run.urgent); err != nil {
		panic(http.ErrAbortHandler)
	}
	defer r.slots.release()
	r.prefillPrompt(ctx, q, run)
	if strings.Contains(run.text, CrashMarker) {
		r.Crash()
	}
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	r.stream(ctx, w, run)
}

func readRun(q *http.Request) (*engineRun, error) {
	var body engineRequest
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	run := &engineRun{text: body.Prompt, tokens: body.MaxTokens, chat: len(body.Messages) > 0}
	for _, m := range body.Messages {
		run.text += m.Role + "\n" + m.Content + "\n"
	}
	if run.tokens <= 0 {
		run.tokens = defaultAnswerTokens
	}
	run.tokens = min(run.tokens, maxAnswerTokens)
	run.resumeFrom, _ = strconv.Atoi(q.Header.Get(zpengine.HeaderResumeFrom))
	run.version = q.Header.Get(zpengine.HeaderWeightVersion)
	run.urgent = q.Header.Get(zpengine.HeaderPriority) == "urgent"
	if salt, ok := zpprefix.ParseSalt(q.Header.Get(zpengine.HeaderSalt)); ok {
		run.salt = salt
		run.blocks = zpprefix.BlockNames(salt, run.text)
	}
	return run, nil
}

// rejectStatus returns the status with which the engine rejects a run before it does
// any work, or 0 if it accepts the run.
func (r *Runner) rejectStatus(run *engineRun) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return http.StatusServiceUnavailable
	}
	if r.Config.Version != run.version {
		return http.StatusConflict
	}
	return 0
}

// admit registers a run. If a cold engine gets more than ColdBearable concurrent
// runs, it collapses: it cancels all runs, the new one included, and restarts its cold
// start. The caller calls the returned function when the run ends.
func (r *Runner) admit(q *http.Request, run *engineRun) (context.Context, func()) {
	ctx, cancel := context.WithCancel(q.Context())
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.nextRun
	r.nextRun++
	r.running[id] = cancel
	r.stats.Runs++
	run.boot, run.cold = r.boot, r.cold(now)
	r.stats.Arrivals = append(r.stats.Arrivals, Arrival{
		RequestID: q.Header.Get(zpengine.HeaderRequestID), AtUnixMS: now.UnixMilli(), Cold: run.cold, Load: len(r.running),
	})
	if run.cold {
		r.stats.MaxColdLoad = max(r.stats.MaxColdLoad, len(r.running))
		if len(r.running) > r.Config.ColdBearable {
			r.stats.Collapses++
			r.cancelAll()
			r.warmAt = now.Add(r.Config.ColdFor)
		}
	}
	return ctx, func() {
		cancel()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.running, id)
	}
}

// prefillPrompt simulates the prefill of the part of the prompt that is neither
// cached nor can be imported, then caches all blocks of the prompt.
func (r *Runner) prefillPrompt(ctx context.Context, q *http.Request, run *engineRun) {
	if err := r.prefill.acquire(ctx, run.urgent); err != nil {
		return
	}
	defer r.prefill.release()
	run.cached = r.cachedBlocks(run.blocks)
	if from := q.Header.Get(zpengine.HeaderImportFrom); from != "" {
		run.cached += r.importBlocks(ctx, from, q.Header.Get(zpengine.HeaderImportBlocks), run.cached)
	}
	total := len(run.text)/zpprefix.BytesPerToken + 1
	missing := max(total-run.cached*zpprefix.BlockTokens, 1)
	wait := time.Duration(missing) * time.Second / time.Duration(r.Config.PrefillTokens)
	sleep(ctx, wait*r.slowdown(run))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range run.blocks {
		r.cache.Add(b, struct{}{})
	}
	r.stats.PromptTokens += int64(total)
	r.stats.CachedTokens += int64(run.cached * zpprefix.BlockTokens)
}

// cachedBlocks returns the number of leading blocks that are in the cache.
func (r *Runner) cachedBlocks(blocks []zpprefix.BlockName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, b := range blocks {
		if _, ok := r.cache.Get(b); !ok {
			return i
		}
	}
	return len(blocks)
}

func (r *Runner) slowdown(run *engineRun) time.Duration {
	if run.cold {
		return time.Duration(r.Config.ColdFactor)
	}
	return 1
}

func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, run *engineRun) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(zpengine.HeaderBoot, run.boot)
	h.Set(zpengine.HeaderWeightVersion, run.version)
	if run.resumeFrom > 0 {
		h.Set(zpengine.HeaderResumeFrom, strconv.Itoa(run.resumeFrom))
	}
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	for n := run.resumeFrom; n < run.tokens; n++ {
		if !sleep(ctx, r.Config.Decode*r.slowdown(run)) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\n", run.chunk(n))
		flusher.Flush()
	}
	total := len(run.text)/zpprefix.BytesPerToken + 1
	_, _ = fmt.Fprintf(w, `data: {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`+"\n\ndata: [DONE]\n\n",
		total, run.tokens, run.cached*zpprefix.BlockTokens)
}

func (run *engineRun) chunk(n int) string {
	finish := "null"
	if n == run.tokens-1 {
		finish = `"length"`
	}
	token := AnswerToken(run.text, run.version, n)
	if run.chat {
		return fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`, token, finish)
	}
	return fmt.Sprintf(`{"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`, token, finish)
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
