package zpbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

type (
	demoCommand struct {
		Bin    string `default:"bin" help:"Directory of the binaries."`
		Number int    `default:"90" help:"Second octet of the loopback addresses."`
	}

	demo struct {
		site *zpsite.Site
		out  io.Writer
	}
)

const (
	demoWorkspace = "shop-a"
	demoDuration  = 6 * time.Second
	demoRate      = 15
	httpTimeout   = 10 * time.Second
)

// Run exercises a small site end to end, and returns an error at the first
// unexpected result.
func (c *demoCommand) Run(out *console) error {
	_, _ = fmt.Fprintln(out.out, "starting a platform, a link, 4 model engines, 1 service, 2 cache stores and 3 daemons")
	site, stop, err := startSmallSite(context.Background(), c.Number, c.Bin)
	if err != nil {
		return err
	}
	defer stop()
	d := &demo{site: site, out: out.out}
	for _, step := range []func() error{d.prompt, d.booking, d.status, d.domainOutAndBack} {
		if err := step(); err != nil {
			return err
		}
	}
	d.printf("all checks passed; stopping")
	return nil
}

// prompt sends one prompt and compares its answer byte for byte with the expected one.
func (d *demo) prompt() error {
	d.printf("\nsending a prompt to daemon 0")
	body := `{"model":"assistant","max_tokens":8,"messages":[{"role":"user","content":"The bell of a bike is loose."}]}`
	status, text, err := d.post(0, "/v1/chat/completions", body, "")
	if err != nil {
		return err
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil || status != http.StatusOK || len(answer.Choices) != 1 {
		return fmt.Errorf("unexpected response to the prompt: status %d: %s", status, text)
	}
	expected := zpstandin.Answer("user\nThe bell of a bike is loose.\n", zpsite.WeightVersion, 8)
	if answer.Choices[0].Message.Content != expected {
		return fmt.Errorf("unexpected answer: %q", answer.Choices[0].Message.Content)
	}
	d.printf("  answer: %s", strings.TrimSpace(expected))
	return nil
}

// booking sends the same booking through two daemons and checks that it runs once.
func (d *demo) booking() error {
	d.printf("\nsending one booking twice, through daemons 0 and 1, with the same Idempotency-Key")
	for i := range 2 {
		status, text, err := d.post(i, "/v1/services/bookings/bench", `{"bench":3}`, "booking-1")
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("booking through daemon %d: status %d: %s: %w", i, status, text, err)
		}
		d.printf("  daemon %d: %s", i, text)
	}
	var stats zpstandin.ServiceStats
	if err := d.get(d.site.Manifest.Endpoints[4].Address+"/control/stats", &stats); err != nil {
		return err
	}
	runs := stats.Runs[demoWorkspace+"|booking-1|/bench"]
	d.printf("  the service counted %d run(s)", runs)
	if runs != 1 {
		return fmt.Errorf("the booking ran %d times", runs)
	}
	return nil
}

// domainOutAndBack takes a failure domain out under load and brings it back.
func (d *demo) domainOutAndBack() error {
	d.printf("\nsending load for %s; failure domain b is taken out and brought back meanwhile", demoDuration)
	load := &zpload.Load{
		Targets: d.site.Targets(), Keys: d.site.Keys(), Mix: zpload.Oberland(), Rate: demoRate,
		Duration: demoDuration, Seed: 1, WeightVersion: zpsite.WeightVersion,
	}
	reports := make(chan []zpload.Report, 1)
	go func() { reports <- load.Run(context.Background()) }()
	time.Sleep(demoDuration / 4)
	if err := d.command("take-out", "--failure-domain", "b"); err != nil {
		return err
	}
	time.Sleep(demoDuration / 4)
	if err := d.command("bring-back", "--failure-domain", "b"); err != nil {
		return err
	}
	result := <-reports
	if err := zpload.WriteTable(d.out, result); err != nil {
		return err
	}
	total := zpload.Find(result, "total")
	if failures := total.Broken + total.Wrong + total.Failed; failures > 0 {
		return fmt.Errorf("%d requests had a broken stream, a wrong answer or a failure: %v", failures, total.Codes)
	}
	return nil
}

func (d *demo) status() error { return d.command("status") }

// command runs the zinniapaddle command line.
func (d *demo) command(args ...string) error {
	d.printf("\n$ zinniapaddle %s", strings.Join(args, " "))
	args = append(args, "--settings", d.site.SettingsFile(0))
	cmd := exec.Command(filepath.Join(d.site.Config.BinDir, "zinniapaddle"), args...)
	var text bytes.Buffer
	cmd.Stdout, cmd.Stderr = &text, &text
	err := cmd.Run()
	d.printf("%s", strings.TrimRight(text.String(), "\n"))
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	return nil
}

func (d *demo) post(daemon int, path, body, key string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.site.Target(daemon)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+zpsite.Key(demoWorkspace))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

func (d *demo) get(url string, v any) error {
	res, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(v)
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }
