package zpcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	applyCommand struct {
		operatorFlags
		Manifest string `arg:"" type:"path" help:"Manifest file." placeholder:"FILE"`
	}

	getCommand struct {
		operatorFlags
	}
)

// Run stores the manifest and waits until the daemons have applied it.
func (c *applyCommand) Run(out *consoleOutput) error {
	text, err := os.ReadFile(c.Manifest)
	if err != nil {
		return fmt.Errorf("read manifest: %w", err)
	}
	m, err := zpmanifest.Parse(text)
	if err != nil {
		return err
	}
	o, err := c.newOperator()
	if err != nil {
		return err
	}
	version, err := o.Apply(context.Background(), m)
	if err != nil {
		return err
	}
	return c.confirm(o, version, out)
}

// Run prints the stored manifest as YAML.
func (c *getCommand) Run(out *consoleOutput) error {
	o, err := c.newOperator()
	if err != nil {
		return err
	}
	stored, err := o.Get(context.Background())
	if err != nil {
		return err
	}
	if stored.Manifest == nil {
		_, _ = fmt.Fprintln(out.err, "there is no manifest yet; remedy: run `zinniapaddle apply FILE`")
		return exitError{ExitFailed}
	}
	text, err := zpmanifest.Format(stored.Manifest)
	if err != nil {
		return err
	}
	_, err = out.out.Write(text)
	return err
}
