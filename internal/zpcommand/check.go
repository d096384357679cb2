package zpcommand

import (
	"fmt"
	"os"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type checkCommand struct {
	Settings string `type:"path" help:"Settings file to check." placeholder:"FILE"`
	Manifest string `type:"path" help:"Manifest file to check." placeholder:"FILE"`
}

var errNothingToCheck = zperror.New(zperror.KindInvalid, "nothing_to_check",
	"neither a settings file nor a manifest was named", "pass --settings FILE, --manifest FILE or both")

// Run checks the given files and prints all faults.
func (c *checkCommand) Run(out *consoleOutput) error {
	if c.Settings == "" && c.Manifest == "" {
		return errNothingToCheck
	}
	faults := 0
	for _, check := range []struct {
		path   string
		faults func([]byte) []string
	}{{c.Settings, settingsFaults}, {c.Manifest, manifestFaults}} {
		if check.path == "" {
			continue
		}
		text, err := os.ReadFile(check.path)
		if err != nil {
			return fmt.Errorf("read %s: %w", check.path, err)
		}
		for _, f := range check.faults(text) {
			faults++
			_, _ = fmt.Fprintf(out.out, "%s: %s\n", check.path, f)
		}
	}
	if faults > 0 {
		return exitError{ExitInvalid}
	}
	_, _ = fmt.Fprintln(out.out, "no faults")
	return nil
}

func settingsFaults(text []byte) []string {
	_, faults := zpsettings.Parse(text)
	out := make([]string, 0, len(faults))
	for _, f := range faults {
		out = append(out, f.String())
	}
	return out
}

func manifestFaults(text []byte) []string {
	m, err := zpmanifest.Parse(text)
	if err != nil {
		return []string{err.Error()}
	}
	var out []string
	for _, f := range m.Validate() {
		out = append(out, f.String())
	}
	return out
}
