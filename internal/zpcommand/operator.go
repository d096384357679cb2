package zpcommand

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/internal/zppeer"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// operatorFlags are the flags common to the operators' commands.
	operatorFlags struct {
		settingsFlag
		Output  string        `enum:"table,json" default:"table" help:"Output format: table or json."`
		Timeout time.Duration `default:"10s" help:"How long to wait for daemons to confirm."`
	}

	wireConfirmation struct {
		Version     int64    `json:"version"`
		Confirmed   []string `json:"confirmed"`
		Unconfirmed []string `json:"unconfirmed"`
	}
)

// newOperator returns an operator for the platform and peer settings in the
// settings file.
func (f *operatorFlags) newOperator() (*zpoperator.Operator, error) {
	s, err := zpsettings.Load(f.Settings)
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if !s.Peers.Insecure {
		if config, err = zppeer.TLSConfig(s.Peers.CAFile, s.Peers.CertFile, s.Peers.KeyFile); err != nil {
			return nil, err
		}
	}
	dialer := &zppeer.Dialer{TLS: config, Timeout: s.Peers.CallTimeout}
	dialer.Open()
	return &zpoperator.Operator{
		API:      &zpobject.Client{BaseURL: s.Platform.Address, HTTP: &http.Client{}, Timeout: s.Platform.Timeout},
		Exchange: &zppeer.ServiceResolver{Self: "operator", SelfAddress: "none", Dialer: dialer},
	}, nil
}

// confirm waits until all daemons have applied the version, up to the timeout, and
// prints which have.
func (f *operatorFlags) confirm(o *zpoperator.Operator, version int64, out *consoleOutput) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	c, err := o.Confirm(ctx, version)
	if err != nil {
		_, _ = fmt.Fprintf(out.err, "version %d is stored, but the daemons could not be listed\n", version)
		return err
	}
	if err := f.printConfirmation(c, out.out); err != nil {
		return err
	}
	if len(c.Unconfirmed) > 0 {
		return exitError{ExitUnconfirmed}
	}
	return nil
}

func (f *operatorFlags) printConfirmation(c zpoperator.Confirmation, w io.Writer) error {
	if f.Output == "json" {
		return printJSON(w, wireConfirmation{Version: c.Version, Confirmed: c.Confirmed, Unconfirmed: c.Unconfirmed})
	}
	return printTable(w, func(t io.Writer) {
		_, _ = fmt.Fprintln(t, "DAEMON\tVERSION\tSTATE")
		for _, name := range c.Confirmed {
			_, _ = fmt.Fprintf(t, "%s\t%d\tin force\n", name, c.Version)
		}
		for _, name := range c.Unconfirmed {
			_, _ = fmt.Fprintf(t, "%s\t%d\tnot confirmed\n", name, c.Version)
		}
	})
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printTable(w io.Writer, rows func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	rows(t)
	return t.Flush()
}
