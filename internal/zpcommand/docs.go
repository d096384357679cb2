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

var errNoKey = zperror.New(zperror.KindInvalid, "no_key",
	"no API key was read from standard input", "pipe the key into the command")

// Run prints the page.
func (c *docsCommand) Run(out *console) error {
	page := zpsettings.Page()
	if c.Page == "events" {
		page = zplog.Page()
	}
	_, err := fmt.Fprint(out.out, page)
	return err
}

// Run prints the hash of the key on standard input.
func (*hashKeyCommand) Run(out *console) error {
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return errNoKey
	}
	_, err := fmt.Fprintln(out.out, zpmanifest.HashKey(key))
	return err
}

// Run prints the version.
func (*versionCommand) Run(out *console) error {
	_, err := fmt.Fprintln(out.out, "zinniapaddle "+Version)
	return err
}
