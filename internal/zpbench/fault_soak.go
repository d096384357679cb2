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
	Bin       string        `default:"bin" help:"Folder of the programs."`
	Seed      uint64        `default:"1" help:"First seed."`
	Seeds     int           `default:"1" help:"How many seeds to play, one after the other."`
	Minutes   float64       `default:"0" help:"Play further seeds until so many minutes are over."`
	Length    time.Duration `default:"40s" help:"Length of one seed's play."`
	Daemons   int           `default:"6" help:"Daemons."`
	Endpoints int           `default:"6" help:"Endpoints."`
	Callers   int           `default:"6" help:"Callers at each daemon."`
	Mutant    string        `help:"Mechanism to switch off."`
	Number    int           `default:"140" help:"Second byte of the loopback addresses."`
	Keep      bool          `help:"Keep the logs of green seeds, too."`
	UntilRed  bool          `help:"End with success at the first seed that breaks a promise, and fail if none does: for mutants."`
}

// Run prints one line for each seed and fails if one broke a promise.
func (c *faultSoakCommand) Run(out *console) error {
	begun := time.Now()
	red := 0
	for n := 0; n < c.Seeds || time.Since(begun).Minutes() < c.Minutes; n++ {
		ok, err := c.play(out, c.Seed+uint64(n))
		if err != nil {
			return err
		}
		if !ok {
			red++
		}
		if !ok && c.UntilRed {
			return nil
		}
	}
	if c.UntilRed {
		return fmt.Errorf("none of %d seed(s) broke a promise", c.Seeds)
	}
	if red > 0 {
		return fmt.Errorf("%d seed(s) broke a promise", red)
	}
	return nil
}

// play runs one seed and prints what it has shown.
func (c *faultSoakCommand) play(out *console, seed uint64) (ok bool, err error) {
	dir, err := os.MkdirTemp("", "zinniapaddle-soak-")
	if err != nil {
		return false, err
	}
	report, err := zpsoak.Run(context.Background(), zpsoak.Config{
		Seed: seed, Length: c.Length, BinDir: c.Bin, Dir: dir, Number: c.Number,
		Daemons: c.Daemons, Endpoints: c.Endpoints, Callers: c.Callers, Mutant: zpmutant.Name(c.Mutant),
	})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w (logs in %s)", seed, err, dir)
	}
	word, where := "green", ""
	if ok = len(report.Violations) == 0; !ok {
		word = "red"
	}
	if !ok || c.Keep {
		where = ", logs in " + dir
	} else if err := os.RemoveAll(dir); err != nil {
		return false, err
	}
	_, _ = fmt.Fprintf(out.out, "%-5s seed %d: %d faults, %d requests, %d served, %d runs%s\n",
		word, seed, report.Faults, report.Requests, report.Served, report.Runs, where)
	for _, v := range report.Violations {
		_, _ = fmt.Fprintf(out.out, "      %s\n", v)
	}
	return ok, nil
}
