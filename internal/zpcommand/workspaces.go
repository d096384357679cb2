package zpcommand

import (
	"context"
	"fmt"
	"io"
)

type (
	workspacesCommand struct {
		operatorFlags
	}

	wireWorkspace struct {
		Name   string `json:"name"`
		Weight int    `json:"weight"`
		Keys   int    `json:"api_keys"`
	}
)

// Run prints the workspaces without their secrets.
func (c *workspacesCommand) Run(out *consoleOutput) error {
	o, err := c.newOperator()
	if err != nil {
		return err
	}
	stored, err := o.Get(context.Background())
	if err != nil {
		return err
	}
	rows := []wireWorkspace{}
	if stored.Manifest != nil {
		for _, w := range stored.Manifest.Workspaces {
			rows = append(rows, wireWorkspace{Name: w.Name, Weight: max(w.Weight, 1), Keys: len(w.KeyHashes)})
		}
	}
	if c.Output == "json" {
		return printJSON(out.out, rows)
	}
	return printTable(out.out, func(t io.Writer) {
		_, _ = fmt.Fprintln(t, "WORKSPACE\tWEIGHT\tAPI KEYS")
		for _, r := range rows {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", r.Name, r.Weight, r.Keys)
		}
	})
}
