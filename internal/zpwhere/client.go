package zpwhere

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// Answer is a daemon's answer to a query.
type Answer struct {
	text []byte
	wire wireAnswer
}

const maxAnswerBytes = 4 << 20

var errDaemonAway = zperror.New(zperror.KindUnavailable, "daemon_away",
	"the daemon does not answer", "check its admin address, or ask another daemon")

// Ask asks the daemon with an admin address such as http://10.1.0.5:9464.
func Ask(ctx context.Context, admin string, q Query) (Answer, error) {
	body, err := q.encode()
	if err != nil {
		return Answer{}, fmt.Errorf("encode query: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(admin, "/")+Path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errBadQuery.WithCause(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, errDaemonAway.WithCause(err)
	}
	defer func() { _ = res.Body.Close() }()
	a := Answer{}
	if a.text, err = io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes)); err != nil {
		return Answer{}, errDaemonAway.WithCause(err)
	}
	if err := json.Unmarshal(a.text, &a.wire); err != nil {
		return Answer{}, errDaemonAway.WithCause(fmt.Errorf("status %d without an explanation: %w", res.StatusCode, err))
	}
	if e := a.wire.Error; e != nil && res.StatusCode != http.StatusOK {
		return Answer{}, zperror.New(zperror.KindInvalid, e.Code, e.Message, e.Remedy)
	}
	return a, nil
}

// IsKnown reports whether the daemon knows the route and the key of the query.
func (a Answer) IsKnown() bool {
	return a.wire.Error == nil || a.wire.Error.Code != "unknown_route" && a.wire.Error.Code != "unknown_key"
}

// WriteJSON prints the answer as the daemon sent it.
func (a Answer) WriteJSON(w io.Writer) error {
	_, err := w.Write(a.text)
	return err
}

// WriteText prints the answer for a reader.
func (a Answer) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	x := a.wire
	switch {
	case x.Error != nil:
		_, _ = fmt.Fprintf(t, "refused: %s, %s; remedy: %s; Retry-After %d ms\n", x.Error.Code, x.Error.Message, x.Error.Remedy, x.Error.RetryAfterMS)
	case x.Endpoint != "":
		_, _ = fmt.Fprintf(t, "sent to %s\n", x.Endpoint)
	default:
		_, _ = fmt.Fprintln(t, "waits at this daemon")
	}
	_, _ = fmt.Fprintf(t, "route %s, workspace %s, pool %s, configuration %d (confirmed %d ms ago), %d requests wait\n",
		orNone(x.Route), orNone(x.Workspace), orNone(x.Pool), x.CatalogVersion, x.CatalogAgeMS, x.Waiting)
	if x.IsCutOff {
		_, _ = fmt.Fprintln(t, "this daemon reaches endpoints only through other daemons")
	}
	if v := x.Wait; v != nil {
		_, _ = fmt.Fprintf(t, "reason %s: ahead %.0f at %.0f/s, in the fleet %.0f at %.0f/s at most; starts in %d ms, then %d ms, %d ms left\n",
			v.Reason, v.Ahead, v.PaceS, v.FleetAhead, v.CapacityS, v.StartMS, v.ServiceMS, v.LeftMS)
	}
	if len(x.Candidates) > 0 {
		_, _ = fmt.Fprintln(t, "ENDPOINT\tDOMAIN\tREGION\tCOST MS\tRUNNING\tCACHED\tFETCH\tWHY")
	}
	for _, c := range x.Candidates {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%d\t%d\t%d\t%s\n", c.Endpoint, c.FailureDomain, c.Region, c.CostMS, c.Running, c.CachedTokens, c.FetchTokens, c.why())
	}
	return t.Flush()
}

// why tells why an endpoint is excluded, or what its cost consists of.
func (c wireCandidate) why() string {
	if c.Excluded != "" {
		return "excluded: " + c.Excluded
	}
	var terms []string
	for _, t := range c.Terms {
		terms = append(terms, fmt.Sprintf("%s %.1f", t.Name, t.CostMS))
	}
	if c.Source != "" {
		terms = append(terms, "parts from "+c.Source)
	}
	if c.IsBlocked {
		terms = append(terms, "through another daemon")
	}
	return strings.Join(terms, ", ")
}

func orNone(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}
