// Package zpproof checks that the promises of the product hold under failure.
// Each proof runs a site of separate processes, injects faults from a seed and
// checks what callers and stand-ins recorded. A proof must fail when a mutant
// turns off a mechanism that it depends on.
package zpproof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

type (
	// Proof checks one promise.
	Proof struct {
		Name    string
		Promise string
		Mutants []zpmutant.Name // the proof must fail with each of them
		Run     func(ctx context.Context, e *Env) error
	}

	// Env is the environment and state of one execution of a proof.
	Env struct {
		BinDir string
		Number int // number of the site, which selects its addresses
		Seed   uint64
		Mutant zpmutant.Name // mechanism that is turned off; empty for none
		Faults int           // number of faults injected so far

		Site   *zpsite.Site
		dir    string
		random *rand.Rand
	}

	// answer is the response that a caller got.
	answer struct {
		status int
		text   string
		state  string // run_state of an error response
		code   string
		id     string // request ID of an error response
		cached int
		lost   bool // no complete response was received
	}
)

const requestTimeout = 30 * time.Second

// All returns the proofs in the order of PROOFS.md.
func All() []Proof {
	return []Proof{
		{"at-most-once", "a non-idempotent request runs at most once", []zpmutant.Name{zpmutant.Claim}, atMostOnce},
		{"not-run", `a refusal that says "not run" is true`, []zpmutant.Name{zpmutant.NotRun}, notRun},
		{"cold-start", "a cold endpoint never receives more than it can bear", []zpmutant.Name{zpmutant.ColdLimit}, coldStart},
		{"out-of-service", "what is taken out receives no new work after a few seconds", []zpmutant.Name{zpmutant.OutOfService}, outOfService},
		{"configuration", "an accepted configuration never reverts, and is in force everywhere within seconds",
			[]zpmutant.Name{zpmutant.Freshness}, configuration},
		{"cache-blocks", "no block of another workspace or weight version is used, and no damaged one",
			[]zpmutant.Name{zpmutant.SaltWorkspace, zpmutant.SaltVersion}, cacheBlocks},
		{"whole-answers", "every caller gets its whole answer", []zpmutant.Name{zpmutant.Resume}, wholeAnswers},
		{"graceful-stop", "a planned stop cuts no request", []zpmutant.Name{zpmutant.Drain}, gracefulStop},
		{"isolation", "a flood of one workspace costs another no answer", nil, isolation},
		{"crashing-request", "a request that crashes endpoints costs at most two", []zpmutant.Name{zpmutant.Quarantine}, crashingRequest},
		{"orders", "engines end in the newest ordered state", []zpmutant.Name{zpmutant.Fencing}, orders},
		{"platform-outage", "an outage of the platform does not stop prompts, and bookings are refused as not run", nil, platformOutage},
		{"lost-daemon", "a daemon that dies costs other callers nothing", nil, lostDaemon},
	}
}

// Execute runs a proof with its own site and temporary directory. If the proof
// fails and ZP_KEEP is set, the directory with the logs is kept.
func Execute(ctx context.Context, p Proof, e *Env) error {
	dir, err := os.MkdirTemp("", "zinniapaddle-proof-")
	if err != nil {
		return err
	}
	e.dir = dir
	e.random = rand.New(rand.NewPCG(e.Seed, 3))
	err = p.Run(ctx, e)
	if e.Site != nil {
		e.Site.Stop()
	}
	if err == nil || os.Getenv("ZP_KEEP") == "" {
		return errors.Join(err, os.RemoveAll(dir))
	}
	return fmt.Errorf("%w (logs kept in %s)", err, dir)
}

// start starts a site. Its daemons run with the mechanism named by Mutant turned
// off.
func (e *Env) start(ctx context.Context, c zpsite.Config) error {
	c.Number, c.Dir, c.BinDir = e.Number, e.dir, e.BinDir
	if c.Workspaces == nil {
		c.Workspaces = []string{"shop-a", "shop-b", "shop-c", "shop-d"}
	}
	if c.Slots == 0 {
		c.Slots, c.ColdSlots = 8, 2
	}
	site, err := zpsite.New(c)
	if err != nil {
		return err
	}
	e.Site = site
	if e.Mutant != "" {
		for _, d := range site.Daemons {
			d.Path = filepath.Join(e.BinDir, "mutant", "zinniapaddle")
			d.Env = []string{"ZP_MUTANT=" + string(e.Mutant)}
		}
	}
	return site.Start(ctx)
}

// fault counts an injected fault and returns err unchanged.
func (e *Env) fault(err error) error {
	e.Faults++
	return err
}

// control sets the failure mode of a stand-in and counts it as a fault.
func (e *Env) control(address string, mode any) error {
	body, err := json.Marshal(mode)
	if err != nil {
		return err
	}
	res, err := http.Post(address+"/control", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		err = fmt.Errorf("control of %s: status %d", address, res.StatusCode)
	}
	return e.fault(errors.Join(err, res.Body.Close()))
}

// platform sets the failure mode of the platform stand-in.
func (e *Env) platform(m zpstandin.PlatformMode) error { return e.control(e.Site.PlatformURL(), m) }

// operator returns a client for the operations of an operator.
func (e *Env) operator() *zpoperator.Operator {
	dialer := &zppeer.Dialer{Timeout: time.Second}
	dialer.Open()
	return &zpoperator.Operator{
		API:      e.Site.API,
		Exchange: &zppeer.ServiceResolver{Self: "operator", SelfAddress: "none", Dialer: dialer},
	}
}

// runnerAddress returns the base URL of a runner.
func (e *Env) runnerAddress(i int) string { return e.Site.Manifest.Endpoints[i].Address }

// runnerStats returns the statistics of each runner by name.
func (e *Env) runnerStats() (map[string]zpstandin.RunnerStats, error) {
	out := map[string]zpstandin.RunnerStats{}
	for i, p := range e.Site.Runners {
		var s zpstandin.RunnerStats
		if err := getJSON(e.runnerAddress(i)+"/control/stats", &s); err != nil {
			return nil, err
		}
		out[p.Name] = s
	}
	return out, nil
}

// bookingRuns returns the number of executions of each booking of a workspace,
// summed over all services, by idempotency key.
func (e *Env) bookingRuns(workspace string) (map[string]int, error) {
	out := map[string]int{}
	for i := range e.Site.Services {
		var s zpstandin.ServiceStats
		address := e.Site.Manifest.Endpoints[len(e.Site.Runners)+i].Address
		if err := getJSON(address+"/control/stats", &s); err != nil {
			return nil, err
		}
		for name, n := range s.Runs {
			parts := strings.Split(name, "|")
			if parts[0] == workspace {
				out[parts[1]] += n
			}
		}
	}
	return out, nil
}

func getJSON(url string, v any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	return errors.Join(json.NewDecoder(res.Body).Decode(v), res.Body.Close())
}

// prompt sends a prompt without streaming and reads the complete answer.
func (e *Env) prompt(ctx context.Context, daemon int, workspace, text string, tokens int) answer {
	body, err := json.Marshal(map[string]any{
		"model": "assistant", "max_tokens": tokens, "service_tier": "priority",
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		return answer{lost: true}
	}
	return e.send(ctx, daemon, workspace, "/v1/chat/completions", "", body)
}

// booking sends a booking with an idempotency key.
func (e *Env) booking(ctx context.Context, daemon int, workspace, key string) answer {
	return e.send(ctx, daemon, workspace, "/v1/services/"+zpsite.ServicePool+"/book", key, []byte(`{"key":"`+key+`"}`))
}

func (e *Env) send(ctx context.Context, daemon int, workspace, path, key string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Site.Target(daemon)+path, bytes.NewReader(body))
	if err != nil {
		return answer{lost: true}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+zpsite.Key(workspace))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{lost: true}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{lost: true}
	}
	return parseAnswer(res.StatusCode, text)
}

func parseAnswer(status int, text []byte) answer {
	var body struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error struct {
			Code      string `json:"code"`
			RunState  string `json:"run_state"`
			RequestID string `json:"request_id"`
		} `json:"error"`
	}
	a := answer{status: status, text: string(text)}
	if json.Unmarshal(text, &body) != nil {
		return a
	}
	a.code, a.state, a.id, a.cached = body.Error.Code, body.Error.RunState, body.Error.RequestID, body.Usage.Details.Cached
	if len(body.Choices) > 0 {
		a.text = body.Choices[0].Message.Content
	}
	return a
}

// expectedAnswer returns the answer that the stand-in engines generate for a
// prompt.
func expectedAnswer(text, version string, tokens int) string {
	return zpstandin.Answer("user\n"+text+"\n", version, tokens)
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// controlPath posts to a control path of the platform stand-in and counts a fault.
func (e *Env) controlPath(path string, v any) error {
	return e.fault(e.postJSON(e.Site.PlatformURL()+path, v))
}

func (e *Env) postJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	res, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	if err := res.Body.Close(); err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("post to %s: status %d", url, res.StatusCode)
	}
	return nil
}
