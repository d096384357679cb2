// Package zpbench implements the command line of the stand-ins, the load
// generator, the demo, the benchmarks and the fault tests.
package zpbench

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

type (
	commandLine struct {
		Platform  platformCommand  `cmd:"" help:"Run a stand-in for the platform's object API."`
		Runner    runnerCommand    `cmd:"" help:"Run a stand-in for a model engine."`
		Service   serviceCommand   `cmd:"" help:"Run a stand-in for a plain service."`
		Store     storeCommand     `cmd:"" help:"Run a stand-in for a KV cache store."`
		Link      linkCommand      `cmd:"" help:"Run a stand-in for the inter-region link."`
		Load      loadCommand      `cmd:"" help:"Send the load of a deployment to running daemons."`
		Demo      demoCommand      `cmd:"" help:"Run a small site, demonstrate its main functions, and stop."`
		Bench     benchCommand     `cmd:"" help:"Compare routing with the baseline at the size of the current deployment."`
		Slopes    slopesCommand    `cmd:"" help:"Measure how the cost of each role scales."`
		Overhead  overheadCommand  `cmd:"" help:"Measure the overhead of a daemon per request."`
		Site      siteCommand      `cmd:"" help:"Run a small site until Ctrl-C, to try requests by hand."`
		Prove     proveCommand     `cmd:"" help:"Run the proofs of the guarantees."`
		FaultSoak faultSoakCommand `cmd:"" name:"fault-soak" help:"Inject seeded faults into daemons on the users' platform, and check the guarantees."`
	}

	console struct {
		out io.Writer
	}
)

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var line commandLine
	exit := -1
	parser, err := kong.New(&line, kong.Name("zpstandin"), kong.Writers(out, errOut), kong.Exit(func(code int) { exit = code }))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err == nil {
		err = parsed.Run(&console{out: out})
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "zpstandin: %v\n", err)
		return 1
	}
	return 0
}
