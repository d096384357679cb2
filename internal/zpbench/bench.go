package zpbench

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

type (
	benchCommand struct {
		Bin      string        `default:"bin" help:"Directory of the binaries."`
		Mix      []string      `default:"oberland,etikettwerk" help:"Traffic mixes to run."`
		Seeds    []uint64      `default:"1,2,3" help:"Seeds of the request schedule."`
		Rate     float64       `default:"100" help:"Requests per second."`
		Duration time.Duration `default:"12s" help:"Duration of one run."`
		Number   int           `default:"200" help:"Second octet of the loopback addresses."`
		Case     []string      `default:"steady,out,dies" help:"steady, out (a failure domain is taken out and brought back), dies (a failure domain crashes)."`
	}

	// sample holds the measurements of one run.
	sample struct {
		urgentP95     time.Duration
		recomputed    float64 // fraction of prompt tokens
		linkBytes     float64
		completed     float64 // fraction of requests
		failures      int     // requests with a broken stream, wrong answer, failure or unknown outcome
		duplicateRuns int
	}

	// bench is one combination of traffic mix, routing policy and case.
	bench struct {
		mix      zpload.Mix
		policy   string
		caseName string
	}
)

// Size of the current deployment and of its engines, and the duration of the warm-up load.
const (
	currentDaemons  = 9
	currentRunners  = 12
	currentServices = 3
	engineSlots     = 8
	engineColdSlots = 2
	warmUpDuration  = 3 * time.Second
)

// Run measures each mix under cost-based routing and under the least-loaded
// baseline, and prints a table with the median, minimum and maximum of each value.
func (c *benchCommand) Run(out *console) error {
	_, _ = fmt.Fprintf(out.out, "%d daemons, %d runners, %d services, 2 stores, 3 domains; %.0f requests/s for %s; seeds %v; median (minimum to maximum)\n\n",
		currentDaemons, currentRunners, currentServices, c.Rate, c.Duration, c.Seeds)
	_, _ = fmt.Fprintln(out.out, "| mix | case | policy | urgent first token p95 ms | recomputed fraction | link MB | completed | broken, wrong, failed or unknown | duplicate runs |")
	_, _ = fmt.Fprintln(out.out, "|---|---|---|---|---|---|---|---|---|")
	for _, name := range c.Mix {
		mix, err := zpload.MixByName(name)
		if err != nil {
			return err
		}
		for _, caseName := range c.Case {
			for _, policy := range []string{zpsettings.PolicyLeastLoaded, zpsettings.PolicyCost} {
				if err := c.measure(out, bench{mix, policy, caseName}); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *benchCommand) measure(out *console, b bench) error {
	var samples []sample
	for _, seed := range c.Seeds {
		s, err := c.sample(b, seed)
		if err != nil {
			return fmt.Errorf("%s %s %s seed %d: %w", b.mix.Name, b.caseName, b.policy, seed, err)
		}
		samples = append(samples, s)
	}
	failures, duplicateRuns := 0, 0
	for _, s := range samples {
		failures += s.failures
		duplicateRuns += s.duplicateRuns
	}
	_, _ = fmt.Fprintf(out.out, "| %s | %s | %s | %s | %s | %s | %s | %d | %d |\n", b.mix.Name, b.caseName, b.policy,
		formatSpread(samples, "%.0f", func(s sample) float64 { return float64(s.urgentP95.Microseconds()) / 1000 }),
		formatSpread(samples, "%.2f", func(s sample) float64 { return s.recomputed }),
		formatSpread(samples, "%.1f", func(s sample) float64 { return s.linkBytes / (1 << 20) }),
		formatSpread(samples, "%.3f", func(s sample) float64 { return s.completed }), failures, duplicateRuns)
	return nil
}

func (c *benchCommand) sample(b bench, seed uint64) (sample, error) {
	dir, err := os.MkdirTemp("", "zinniapaddle-bench-")
	if err != nil {
		return sample{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	site, err := zpsite.New(zpsite.Config{
		Number: c.Number, Dir: dir, BinDir: c.Bin, Daemons: currentDaemons, Runners: currentRunners, Services: currentServices,
		Stores: true, Workspaces: b.mix.Workspaces, Slots: engineSlots, ColdSlots: engineColdSlots,
		Settings: map[string]string{"routing.policy": b.policy, "log.level": "warning"},
	})
	if err != nil {
		return sample{}, err
	}
	defer site.Stop()
	if err := site.Start(context.Background()); err != nil {
		return sample{}, err
	}
	load := &zpload.Load{
		Targets: site.Targets(), Keys: site.Keys(), Mix: b.mix, Rate: c.Rate, Duration: c.Duration, Seed: seed,
		WeightVersion: zpsite.WeightVersion,
	}
	warm := *load
	warm.Duration, warm.Seed = warmUpDuration, seed+1000
	warm.Run(context.Background())
	before, err := readCounters(site)
	if err != nil {
		return sample{}, err
	}
	reports := make(chan []zpload.Report, 1)
	go func() { reports <- load.Run(context.Background()) }()
	if err := runCase(site, b.caseName, c.Duration); err != nil {
		return sample{}, err
	}
	result := <-reports
	after, err := readCounters(site)
	if err != nil {
		return sample{}, err
	}
	return sampleOf(b.mix, result, before, after), nil
}

// runCase applies the fault or operation of the case to the site while load is running.
func runCase(site *zpsite.Site, name string, d time.Duration) error {
	switch name {
	case "out":
		time.Sleep(d / 3)
		if err := setDomain(site, "b", true); err != nil {
			return err
		}
		time.Sleep(d / 3)
		return setDomain(site, "b", false)
	case "dies":
		time.Sleep(d / 3)
		return domainDies(site, "b")
	}
	return nil
}

// domainDies kills all daemons of a failure domain, and its engines. They are not
// restarted during the run.
func domainDies(site *zpsite.Site, domain string) error {
	for i, e := range site.Manifest.Endpoints {
		if e.Domain == domain && e.Pool == zpsite.ModelPool {
			if err := site.Runners[i].Signal(syscall.SIGKILL); err != nil {
				return err
			}
		}
	}
	for i, d := range site.Daemons {
		if i%3 == 1 {
			d.Kill()
		}
	}
	return nil
}

func sampleOf(mix zpload.Mix, reports []zpload.Report, before, after siteCounters) sample {
	total := zpload.Find(reports, "total")
	urgent := zpload.Find(reports, mix.Shares[0].Name)
	prompt := after.promptTokens - before.promptTokens
	cached := after.cachedTokens - before.cachedTokens
	repeats := total.Codes["in_progress"]
	return sample{
		urgentP95:     urgent.FirstTokenP95,
		recomputed:    1 - cached/max(prompt, 1),
		linkBytes:     after.linkBytes - before.linkBytes,
		completed:     float64(total.Completed+repeats) / float64(max(total.Sent, 1)),
		failures:      total.Broken + total.Wrong + total.Failed + total.Unknown - repeats,
		duplicateRuns: after.duplicateRuns,
	}
}

// formatSpread formats the median of a value with its minimum and maximum.
func formatSpread(samples []sample, format string, value func(sample) float64) string {
	var values []float64
	for _, s := range samples {
		values = append(values, value(s))
	}
	slices.Sort(values)
	return fmt.Sprintf(strings.ReplaceAll("F (F to F)", "F", format), values[len(values)/2], values[0], values[len(values)-1])
}
