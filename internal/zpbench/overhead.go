package zpbench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
	"github.com/zinniapaddle/zinniapaddle/internal/zpprefix"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

type (
	overheadCommand struct {
		Bin     string `default:"bin" help:"Directory of the binaries."`
		Number  int    `default:"210" help:"Second octet of the loopback addresses."`
		Samples int    `default:"1500" help:"Number of requests, each sent directly and through a daemon."`
		Streams int    `default:"1000" help:"Concurrent streams for the memory measurement."`
	}

	// usage is the CPU time and memory of a process, as reported by the kernel.
	usage struct {
		cpu    time.Duration
		memory int64 // resident bytes
	}
)

// Run measures the latency, CPU time and memory that a daemon adds to requests.
func (c *overheadCommand) Run(out *console) error {
	dir, err := os.MkdirTemp("", "zinniapaddle-overhead-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	site, err := zpsite.New(zpsite.Config{
		Number: c.Number, Dir: dir, BinDir: c.Bin, Daemons: 1, Runners: 1, Workspaces: []string{"shop-a"},
		Slots: 2000, ColdSlots: 2000, RunnerFlags: []string{"--decode-ms", "1", "--prefill", "1000000"},
		Settings: map[string]string{"config.cut_off_policy": "serve_last", "log.level": "warning", "reserve.queue_limit": "4000"},
	})
	if err != nil {
		return err
	}
	defer site.Stop()
	if err := site.Start(context.Background()); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return c.measure(out, site)
}

func (c *overheadCommand) measure(out *console, site *zpsite.Site) error {
	daemon := site.Daemons[0]
	idle, err := usageOf(daemon.PID())
	if err != nil {
		return err
	}
	direct, err := c.timesToFirstToken(func() (*http.Request, error) { return directRequest(site, 1) })
	if err != nil {
		return err
	}
	before, err := usageOf(daemon.PID())
	if err != nil {
		return err
	}
	through, err := c.timesToFirstToken(func() (*http.Request, error) { return daemonRequest(site, 1) })
	if err != nil {
		return err
	}
	after, err := usageOf(daemon.PID())
	if err != nil {
		return err
	}
	perCore := float64(c.Samples) / (after.cpu - before.cpu).Seconds()
	open, err := c.openStreams(site, daemon)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out.out, "| figure | value |\n|---|---|")
	for _, q := range []float64{50, 95, 99} {
		overhead := time.Duration(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) * time.Microsecond
		_, _ = fmt.Fprintf(out.out, "| first token p%.0f: direct, through a daemon, overhead | %v, %v, %v |\n", q,
			time.Duration(direct.ValueAtQuantile(q))*time.Microsecond, time.Duration(through.ValueAtQuantile(q))*time.Microsecond, overhead)
	}
	_, _ = fmt.Fprintf(out.out, "| requests per second and daemon core, sequential | %.0f |\n", perCore)
	_, _ = fmt.Fprintf(out.out, "| idle memory | %.0f MB |\n", float64(idle.memory)/(1<<20))
	_, _ = fmt.Fprintf(out.out, "| memory with %d open streams | %.0f MB |\n", c.Streams, float64(open.memory)/(1<<20))
	return nil
}

// timesToFirstToken sends requests sequentially and records the time to first token
// in microseconds.
func (c *overheadCommand) timesToFirstToken(request func() (*http.Request, error)) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range c.Samples {
		req, err := request()
		if err != nil {
			return nil, err
		}
		start := time.Now()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		first, err := readStream(res.Body)
		if err != nil || res.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("status %d: %w", res.StatusCode, err)
		}
		if err := h.RecordValue(first.Sub(start).Microseconds()); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// readStream reads a stream to its end and returns the time at which its first line arrived.
func readStream(body io.ReadCloser) (time.Time, error) {
	r := bufio.NewReader(body)
	_, err := r.ReadString('\n')
	first := time.Now()
	_, drainErr := io.Copy(io.Discard, r)
	return first, errors.Join(err, drainErr, body.Close())
}

// openStreams opens c.Streams long streams and returns the daemon's usage while
// they are open.
func (c *overheadCommand) openStreams(site *zpsite.Site, daemon *zpsite.Process) (usage, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	var wg sync.WaitGroup
	failures := make(chan error, c.Streams)
	for range c.Streams {
		req, err := daemonRequest(site, 4000)
		if err != nil {
			return usage{}, err
		}
		wg.Go(func() {
			res, err := client.Do(req.WithContext(ctx))
			if err != nil {
				failures <- err
				return
			}
			// The read error is ignored: the stream is canceled at the end of the measurement.
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		})
	}
	time.Sleep(3 * time.Second)
	u, err := usageOf(daemon.PID())
	if len(failures) > 0 {
		err = errors.Join(err, fmt.Errorf("%d streams failed to open: %w", len(failures), <-failures))
	}
	cancel()
	wg.Wait()
	return u, err
}

func requestBody(tokens int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"model": "assistant", "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": strings.Repeat("a short question ", 10)}},
	})
}

func daemonRequest(site *zpsite.Site, tokens int) (*http.Request, error) {
	body, err := requestBody(tokens)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, site.Target(0)+"/v1/chat/completions", bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Authorization", "Bearer "+zpsite.Key("shop-a"))
	}
	return req, err
}

func directRequest(site *zpsite.Site, tokens int) (*http.Request, error) {
	body, err := requestBody(tokens)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, site.Manifest.Endpoints[0].Address+"/v1/chat/completions", bytes.NewReader(body))
	if err == nil {
		req.Header.Set(zpengine.HeaderWeightVersion, zpsite.WeightVersion)
		req.Header.Set(zpengine.HeaderSalt, zpprefix.NewSalt("direct", "", "", "").String())
	}
	return req, err
}

// usageOf reads the CPU time and resident memory of a process from /proc.
func usageOf(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	const (
		ticksPerSecond = 100
		userField      = 11 // fields are counted after the process name in parentheses, which may contain spaces
		systemField    = 12
		residentField  = 21
	)
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	var user, system, pages int64
	_, err = fmt.Sscan(fields[userField]+" "+fields[systemField]+" "+fields[residentField], &user, &system, &pages)
	return usage{
		cpu:    time.Duration(user+system) * time.Second / ticksPerSecond,
		memory: pages * int64(os.Getpagesize()),
	}, err
}
