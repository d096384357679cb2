package zpcommand

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/zinniapaddle/zinniapaddle/internal/zpexplain"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" type:"existingfile" help:"Logs of the daemons."`
}

// Run prints the history of one request from the logs.
func (c *explainCommand) Run(out *consoleOutput) error {
	var lines []zpexplain.Line
	for _, path := range c.Logs {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return zpexplain.Explain(c.Request, lines).Write(out.out)
}

func readLog(path string) (lines []zpexplain.Line, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, zperror.New(zperror.KindInvalid, "log_unreadable",
			fmt.Sprintf("the log %s cannot be read", path), "pass a readable file").WithCause(err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return zpexplain.Read(f, filepath.Base(path))
}
