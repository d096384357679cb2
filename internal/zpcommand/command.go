// Package zpcommand implements the command line: the daemon and the operators'
// commands.
package zpcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// commandLine declares the commands for kong, which reads flags and arguments
	// from the fields and tags.
	commandLine struct {
		Serve      serveCommand      `cmd:"" help:"Run the daemon until SIGTERM or SIGINT."`
		Check      checkCommand      `cmd:"" help:"Check settings and manifest files and list every fault."`
		Apply      applyCommand      `cmd:"" help:"Store a manifest as the next version and wait until it is in force everywhere."`
		Get        getCommand        `cmd:"" help:"Print the manifest that the platform holds."`
		Status     statusCommand     `cmd:"" help:"Show every daemon with its version, mode and load."`
		TakeOut    takeOutCommand    `cmd:"" name:"take-out" help:"Take a failure domain or an endpoint out of service."`
		BringBack  bringBackCommand  `cmd:"" name:"bring-back" help:"Bring a failure domain or an endpoint back into service."`
		Workspaces workspacesCommand `cmd:"" help:"List the workspaces of the manifest."`
		Explain    explainCommand    `cmd:"" help:"Print the history of one request from the logs of daemons."`
		Where      whereCommand      `cmd:"" help:"Explain where a request would go now, without sending it."`
		HashKey    hashKeyCommand    `cmd:"" name:"hash-key" help:"Read an API key from standard input and print its hash for the manifest."`
		Docs       docsCommand       `cmd:"" help:"Print a generated page of the docs."`
		Version    versionCommand    `cmd:"" help:"Print the version."`
	}

	// consoleOutput holds the standard output and standard error of a command.
	consoleOutput struct {
		out io.Writer
		err io.Writer
	}

	// exitError sets the exit code without printing a message.
	exitError struct{ code int }
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the command failed; the message includes the remedy
	ExitUsage       = 2 // the command line is invalid
	ExitUnconfirmed = 3 // the manifest is stored, but not confirmed by every daemon
	ExitInvalid     = 4 // a file has faults
)

const description = `zinniapaddle serves prompts that come back after long gaps.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 stored but not confirmed by every daemon, 4 a file has faults.

Examples:
  zinniapaddle serve --settings daemon.yaml
  zinniapaddle check --settings daemon.yaml --manifest manifest.yaml
  zinniapaddle apply --settings daemon.yaml manifest.yaml
  zinniapaddle take-out --settings daemon.yaml --failure-domain a
  zinniapaddle status --settings daemon.yaml --output json
  zinniapaddle where --admin http://10.1.0.5:9464 --route triage --workspace w --model m --tokens 1200 --part a1:800 --part b2:400
  zinniapaddle explain 9c41d07be2a35f68 daemon-1.log daemon-2.log`

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var commands commandLine
	exit := -1
	parser, err := kong.New(&commands, kong.Name("zinniapaddle"), kong.Description(description),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exit = code }), kong.UsageOnError())
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "zinniapaddle: %v; remedy: see `zinniapaddle --help`\n", err)
		return ExitUsage
	}
	return exitCode(parsed.Run(&consoleOutput{out: out, err: errOut}), errOut)
}

func exitCode(err error, errOut io.Writer) int {
	var exit exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	}
	_, _ = fmt.Fprintf(errOut, "zinniapaddle: %v\n", err)
	if zperror.Of(err).Kind == zperror.KindInvalid {
		return ExitInvalid
	}
	return ExitFailed
}
