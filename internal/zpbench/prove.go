package zpbench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpproof"
)

type proveCommand struct {
	Bin     string   `default:"bin" help:"Directory of the binaries."`
	Only    []string `help:"Names of the proofs to run; all if empty."`
	Seeds   []uint64 `default:"1" help:"Seeds for each proof."`
	Mutants bool     `default:"true" negatable:"" help:"Also check that each proof fails when its mechanism is disabled."`
	Number  int      `default:"100" help:"Second octet of the loopback addresses of the first site."`
}

// Run prints one line per guarantee and returns an error if a proof failed.
func (c *proveCommand) Run(out *console) error {
	if err := checkProofNames(c.Only); err != nil {
		return err
	}
	failed := 0
	for i, p := range zpproof.All() {
		if !c.selected(p.Name) {
			continue
		}
		if !c.prove(out, p, c.Number+i) {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d guarantee(s) failed", failed)
	}
	return nil
}

// prove runs one proof with all seeds, then with each mutant, and prints the result.
// The proof fails if a seed fails or a mutant passes.
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

// checkProofNames returns an error if one of the names is not that of a proof.
func checkProofNames(names []string) error {
	var known []string
	for _, p := range zpproof.All() {
		known = append(known, p.Name)
	}
	for _, n := range names {
		if !slices.Contains(known, n) {
			return fmt.Errorf("there is no proof %q; the proofs are %s", n, strings.Join(known, ", "))
		}
	}
	return nil
}

func (c *proveCommand) selected(name string) bool {
	for _, n := range c.Only {
		if n == name {
			return true
		}
	}
	return len(c.Only) == 0
}
