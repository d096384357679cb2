package zpbench

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpproof"
)

type proveCommand struct {
	Bin     string   `default:"bin" help:"Folder of the programs."`
	Only    []string `help:"Names of the proofs to run; all if none is named."`
	Seeds   []uint64 `default:"1" help:"Seeds to run each proof with."`
	Mutants bool     `default:"true" negatable:"" help:"Also show that each proof fails with its mechanism off."`
	Number  int      `default:"100" help:"Second byte of the loopback addresses of the first site."`
}

// Run prints one line per promise and fails if one is red.
func (c *proveCommand) Run(out *console) error {
	red := 0
	for i, p := range zpproof.All() {
		if !c.wanted(p.Name) {
			continue
		}
		if !c.prove(out, p, c.Number+i) {
			red++
		}
	}
	if red > 0 {
		return fmt.Errorf("%d promise(s) are red", red)
	}
	return nil
}

// prove runs one proof with all seeds and mutants, and prints its line.
func (c *proveCommand) prove(out *console, p zpproof.Proof, number int) bool {
	start := time.Now()
	faults := 0
	for _, seed := range c.Seeds {
		e := &zpproof.Env{BinDir: c.Bin, Number: number, Seed: seed}
		err := zpproof.Execute(context.Background(), p, e)
		faults += e.Faults
		if err != nil {
			_, _ = fmt.Fprintf(out.out, "red     %-18s %s: seed %d: %v\n", p.Name, p.Promise, seed, err)
			return false
		}
	}
	caught := 0
	for _, m := range p.Mutants {
		if !c.Mutants {
			break
		}
		e := &zpproof.Env{BinDir: c.Bin, Number: number, Seed: c.Seeds[0], Mutant: m}
		if zpproof.Execute(context.Background(), p, e) == nil {
			_, _ = fmt.Fprintf(out.out, "red     %-18s %s: does not notice that %s is off\n", p.Name, p.Promise, m)
			return false
		}
		caught++
	}
	_, _ = fmt.Fprintf(out.out, "proved  %-18s %s: %d run(s), %d fault(s), %d mutant(s) caught, %s\n",
		p.Name, p.Promise, len(c.Seeds), faults, caught, time.Since(start).Round(time.Second))
	return true
}

func (c *proveCommand) wanted(name string) bool {
	for _, n := range c.Only {
		if n == name {
			return true
		}
	}
	return len(c.Only) == 0
}
