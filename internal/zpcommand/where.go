package zpcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpexplain"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/internal/zpwhere"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type whereCommand struct {
	Admin        string        `required:"" help:"Admin address of a daemon on the users' platform." placeholder:"http://IP:9464"`
	Host         string        `help:"Host of the request."`
	Path         string        `help:"Path of the request."`
	Route        string        `help:"Name of the route, in place of host and path."`
	KeyFile      string        `help:"File with the API key; - for standard input." placeholder:"FILE"`
	Workspace    string        `help:"Name of the workspace, in place of its key."`
	Model        string        `help:"Model of a prompt."`
	Tokens       int           `help:"Tokens of the prompt."`
	OutputTokens int           `help:"Most tokens of the answer."`
	Part         []string      `help:"Part of the prompt, in order; the last one is not shared." placeholder:"ID:TOKENS"`
	Wait         time.Duration `help:"How long the caller waits; without it, as long as the route allows."`
	Request      string        `help:"Take route, workspace and size from the log lines of this request."`
	Log          []string      `type:"existingfile" help:"Logs for --request."`
	Output       string        `enum:"table,json" default:"table" help:"Output format: table or json."`
	Timeout      time.Duration `default:"5s" help:"How long to wait for the daemon."`
}

var (
	errBadPart = zperror.New(zperror.KindInvalid, "bad_part",
		"a part is not ID:TOKENS", "pass, for example, --part 5c1e07a2:800")
	errNoRoute = zperror.New(zperror.KindInvalid, "no_route",
		"the request has no route", "pass --route, --host and --path, or --request with --log")
	errNotLogged = zperror.New(zperror.KindInvalid, "request_not_logged",
		"no line of the logs tells the request's route", "pass the log of the daemon that took the request")
)

// Run asks a daemon where a request would go now, and prints the answer.
func (c *whereCommand) Run(out *consoleOutput) error {
	q, err := c.query()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	answer, err := zpwhere.Ask(ctx, c.Admin, q)
	if err != nil {
		return err
	}
	write := answer.WriteText
	if c.Output == "json" {
		write = answer.WriteJSON
	}
	if err := write(out.out); err != nil {
		return err
	}
	if !answer.IsKnown() {
		return exitError{ExitFailed}
	}
	return nil
}

func (c *whereCommand) query() (zpwhere.Query, error) {
	q := zpwhere.Query{
		Route: c.Route, Host: strings.ToLower(c.Host), Path: c.Path, Workspace: c.Workspace, Timeout: c.Wait, Model: c.Model, Tokens: c.Tokens, OutputTokens: c.OutputTokens,
	}
	if c.KeyFile != "" {
		key, err := readKey(c.KeyFile)
		if err != nil {
			return zpwhere.Query{}, err
		}
		q.Key = key
	}
	if c.Request != "" {
		if err := c.readRequest(&q); err != nil {
			return zpwhere.Query{}, err
		}
	}
	if q.Route == "" && (q.Host == "" || q.Path == "") {
		return zpwhere.Query{}, errNoRoute
	}
	for _, text := range c.Part {
		id, count, ok := strings.Cut(text, ":")
		n, err := strconv.Atoi(count)
		if !ok || err != nil || n < 0 {
			return zpwhere.Query{}, errBadPart
		}
		q.Parts = append(q.Parts, zpgateway.Part{ID: id, Tokens: n})
	}
	return q, nil
}

// readRequest fills in what the log lines of a request tell: its route, its workspace and the
// size of its prompt. Its parts and model are not logged.
func (c *whereCommand) readRequest(q *zpwhere.Query) error {
	for _, path := range c.Log {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		for _, l := range zpexplain.Explain(c.Request, lines).Lines {
			if l.Fields["request"] == c.Request {
				fillFrom(l.Fields, q)
			}
		}
	}
	if q.Route == "" {
		return errNotLogged
	}
	return nil
}

// fillFrom takes what a log line tells of a request. A key goes before the workspace.
func fillFrom(fields map[string]any, q *zpwhere.Query) {
	if route, ok := fields["route"].(string); ok && route != "" {
		q.Route = route
	}
	if workspace, ok := fields["workspace"].(string); ok && workspace != "" && q.Key == "" {
		q.Workspace = workspace
	}
	if tokens, ok := fields["prompt"].(float64); ok && q.Tokens == 0 {
		q.Tokens = int(tokens)
	}
}

func readKey(path string) (string, error) {
	read := func() ([]byte, error) { return os.ReadFile(path) }
	if path == "-" {
		read = func() ([]byte, error) { return io.ReadAll(os.Stdin) }
	}
	text, err := read()
	if err != nil {
		return "", fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(string(text))
	if key == "" {
		return "", errEmptyKey
	}
	return key, nil
}
