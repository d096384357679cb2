package zpcommand

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	docsCommand struct {
		Page string `arg:"" enum:"settings,events" help:"Page to print: settings or events."`
	}
	hashKeyCommand struct{}
	versionCommand struct{}
)

// Version is the version of the program.
const Version = "0.1.0"

var errEmptyKey = zperror.New(zperror.KindInvalid, "no_key",
	"no API key was read from standard input", "pipe the key into the command")

// Run prints the selected page.
func (c *docsCommand) Run(out *consoleOutput) error {
	page := zpsettings.Page()
	if c.Page == "events" {
		page = zplog.Page()
	}
	_, err := fmt.Fprint(out.out, page)
	return err
}

// Run prints the hash of the API key read from standard input.
func (*hashKeyCommand) Run(out *consoleOutput) error {
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return errEmptyKey
	}
	_, err := fmt.Fprintln(out.out, zpmanifest.HashKey(key))
	return err
}

// Run prints the version.
func (*versionCommand) Run(out *consoleOutput) error {
	_, err := fmt.Fprintln(out.out, "zinniapaddle "+Version)
	return err
}
