package zpbench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsoak"
)

type faultSoakCommand struct {
	Bin       string        `default:"bin" help:"Directory of the binaries."`
	FromBin   string        `help:"Directory of the build that daemons begin with. They are upgraded to that in --bin one after the other."`
	Calm      bool          `help:"Leave out all faults but the upgrade."`
	Versions  int           `default:"2" help:"Number of software versions of the endpoints, 1 or 2."`
	Seed      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"Number of seeds to run sequentially."`
	Minutes   float64       `default:"0" help:"Run further seeds until this many minutes have passed."`
	Length    time.Duration `default:"40s" help:"Duration of the run of one seed."`
	Daemons   int           `default:"6" help:"Number of daemons."`
	Endpoints int           `default:"6" help:"Number of endpoints."`
	Callers   int           `default:"6" help:"Number of callers per daemon."`
	Mutant    string        `help:"Mechanism to disable."`
	Number    int           `default:"140" help:"Second octet of the loopback addresses."`
	Keep      bool          `help:"Keep the logs of passing seeds, too."`
	UntilRed  bool          `help:"Succeed at the first seed that violates a guarantee, and fail if none does; for mutants."`
}

// Run prints one line per seed and returns an error if a seed violated a guarantee.
// With --until-red it stops at the first such seed, and returns an error if there is none.
func (c *faultSoakCommand) Run(out *console) error {
	start := time.Now()
	failed := 0
	for n := 0; n < c.Seeds || time.Since(start).Minutes() < c.Minutes; n++ {
		ok, err := c.runSeed(out, c.Seed+uint64(n))
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
		if !ok && c.UntilRed {
			return nil
		}
	}
	if c.UntilRed {
		return fmt.Errorf("none of %d seed(s) violated a guarantee", c.Seeds)
	}
	if failed > 0 {
		return fmt.Errorf("%d seed(s) violated a guarantee", failed)
	}
	return nil
}

// runSeed runs one seed and prints its result. It keeps the logs if the seed failed.
func (c *faultSoakCommand) runSeed(out *console, seed uint64) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "zinniapaddle-soak-")
	if err != nil {
		return false, err
	}
	report, err := zpsoak.Run(context.Background(), zpsoak.Config{
		Seed: seed, Length: c.Length, BinDir: c.Bin, Dir: dir, Number: c.Number,
		Daemons: c.Daemons, Endpoints: c.Endpoints, Callers: c.Callers, Mutant: zpmutant.Name(c.Mutant),
		FromBinDir: c.FromBin, Calm: c.Calm, SoftwareVersions: c.Versions,
	})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w (logs in %s)", seed, err, dir)
	}
	verdict, logs := "green", ""
	if ok = len(report.Violations) == 0; !ok {
		verdict = "red"
	}
	if !ok || c.Keep {
		logs = ", logs in " + dir
	} else if err := os.RemoveAll(dir); err != nil {
		return false, err
	}
	_, _ = fmt.Fprintf(out.out, "%-5s seed %d: %d faults, %d requests, %d served, %d runs, %s served while stranded and %s elsewhere, %s%s\n",
		verdict, seed, report.Faults, report.Requests, report.Served, report.Runs, report.Stranded, report.Others, report.TakenUp, logs)
	if len(report.Moments) > 0 {
		_, _ = fmt.Fprintf(out.out, "      seed %d: taken up out of step, sent/refused/of unknown origin/gone on/joined: %s\n", seed, report.Moments)
	}
	if c.FromBin != "" {
		_, _ = fmt.Fprintf(out.out, "      seed %d: %d of %d daemons upgraded; %s\n", seed, report.Upgraded, c.Daemons, report.Seams)
	}
	for _, v := range report.Violations {
		_, _ = fmt.Fprintf(out.out, "      %s\n", v)
	}
	return ok, nil
}
