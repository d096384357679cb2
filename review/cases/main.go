// Command cases runs the scripts of the review. Each case starts daemons of this
// project as separate processes and plays the platform, the runners and the clients
// around them. The cases are described in claim.txt of their folders.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

type (
	// outcome is the result of a case.
	outcome int

	// caseFunc plays a case. trouble is false for the run without the disruption.
	caseFunc func(ctx context.Context, s *site, trouble bool) (outcome, error)
)

// Exit codes of a case.
const (
	ruleHeld   outcome = 0
	ruleBroken outcome = 1
	notRun     outcome = 2
)

const (
	// caseTimeout is below the 120 seconds that a script may take.
	caseTimeout = 100 * time.Second
	usage       = "usage: cases NAME FOLDER"
)

var errUsage = errors.New(usage)

var cases = map[string]caseFunc{
	"short-silence":   playShortSilence,
	"heavy-uploads":   playHeavyUploads,
	"crash-unframed":  playCrashUnframed,
	"two-models":      playTwoModels,
	"tenant-isolated": playTenantIsolated,
}

func main() {
	result, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	os.Exit(int(result))
}

func run(args []string) (outcome, error) {
	if len(args) == 3 && args[0] == serveEngineCommand {
		return notRun, serveEngine(args[1], args[2])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		return notRun, errUsage
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		return notRun, err
	}
	defer func() { _ = file.Close() }()
	trouble := os.Getenv("TROUBLE") != "0"
	record := newRecord(file)
	record.note("case %s, trouble %t", args[0], trouble)
	dir, err := os.MkdirTemp("", "zpreview")
	if err != nil {
		return notRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	s := &site{Dir: dir, Record: record}
	defer s.stop()
	result, err := cases[args[0]](ctx, s, trouble)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		record.note("the case could not run: %v", err)
		return notRun, err
	}
	record.note("result: %d (0: the rule held, 1: it was broken)", result)
	fmt.Printf("%s, trouble %t: %d\n", args[0], trouble, result)
	return result, nil
}
