package zpcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
)

type (
	statusCommand struct {
		operatorFlags
	}

	wireStatus struct {
		Instance        string `json:"instance"`
		FailureDomain   string `json:"failure_domain"`
		Region          string `json:"region"`
		State           string `json:"state"`
		ManifestVersion int64  `json:"manifest_version"`
		AgeMS           int64  `json:"config_age_ms"`
		Mode            string `json:"mode"`
		OpenRequests    int64  `json:"open_requests"`
		Partitions      int    `json:"partitions"`
		LeaseValid      bool   `json:"lease_valid"`
		Error           string `json:"error,omitempty"`
	}
)

// Run queries all daemons and prints their status.
func (c *statusCommand) Run(out *consoleOutput) error {
	o, err := c.newOperator()
	if err != nil {
		return err
	}
	statuses, err := o.Status(context.Background())
	if err != nil {
		return err
	}
	rows := make([]wireStatus, 0, len(statuses))
	for _, s := range statuses {
		rows = append(rows, statusRow(s))
	}
	if c.Output == "json" {
		return printJSON(out.out, rows)
	}
	return printTable(out.out, func(t io.Writer) {
		_, _ = fmt.Fprintln(t, "DAEMON\tFAILURE DOMAIN\tSTATE\tVERSION\tMODE\tOPEN\tPARTITIONS\tLEASE")
		for _, r := range rows {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%t\n", r.Instance, r.FailureDomain, r.State,
				r.ManifestVersion, r.Mode, r.OpenRequests, r.Partitions, r.LeaseValid)
		}
	})
}

func statusRow(s zpoperator.DaemonStatus) wireStatus {
	r := wireStatus{
		Instance: s.Member.Instance, FailureDomain: s.Member.Domain, Region: s.Member.Region, State: string(s.Member.State),
		ManifestVersion: s.Status.ManifestVersion, AgeMS: s.Status.Age.Milliseconds(), Mode: s.Status.Mode,
		OpenRequests: s.Status.OpenRequests, Partitions: s.Status.Partitions, LeaseValid: s.Status.LeaseValid,
	}
	if s.Err != nil {
		r.Mode, r.Error = "no answer", s.Err.Error()
	}
	return r
}
