// Package zpbench is the command line of the stand-ins, the load driver, the
// demo and the benchmarks.
package zpbench

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

type (
	commandLine struct {
		Platform  platformCommand  `cmd:"" help:"Stand in for the platform's object API."`
		Runner    runnerCommand    `cmd:"" help:"Stand in for a model engine."`
		Service   serviceCommand   `cmd:"" help:"Stand in for a plain service."`
		Store     storeCommand     `cmd:"" help:"Stand in for a KV cache store."`
		Link      linkCommand      `cmd:"" help:"Stand in for the inter-region link."`
		Load      loadCommand      `cmd:"" help:"Send the load of a deployment to running daemons."`
		Demo      demoCommand      `cmd:"" help:"Run a small site, show what it does, and stop."`
		Bench     benchCommand     `cmd:"" help:"Measure routing against the baseline at today's size."`
		Slopes    slopesCommand    `cmd:"" help:"Measure how each role's cost grows."`
		Overhead  overheadCommand  `cmd:"" help:"Measure what a daemon adds to a request."`
		Site      siteCommand      `cmd:"" help:"Run a small site until Ctrl-C, to try requests by hand."`
		Prove     proveCommand     `cmd:"" help:"Run the proofs of the promises."`
		FaultSoak faultSoakCommand `cmd:"" name:"fault-soak" help:"Play seeded faults against daemons on the users' platform, and judge the promises."`
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
