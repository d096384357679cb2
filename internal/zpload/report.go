package zpload

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Report summarizes the results of one kind of request, of one workspace, or
	// of all requests, as clients see them.
	Report struct {
		Name          string
		Sent          int
		Completed     int
		NotRun        int           // failed, and reported as not run
		Unknown       int           // failed, and reported as outcome unknown
		Failed        int           // failed in any other way
		Broken        int           // the connection to the daemon failed or closed early
		Wrong         int           // invalid event, or a complete answer that differs from the expected one
		FirstTokenP50 time.Duration // time to the first token, or to the whole response of a service
		FirstTokenP95 time.Duration
		FirstTokenP99 time.Duration
		Codes         map[string]int // count by error code
		NotRunIDs     []string       // request ids of NotRun
	}

	// collector aggregates results by kind and by workspace. It is safe for
	// concurrent use.
	collector struct {
		mu     sync.Mutex
		byName map[string]*rowStats
	}

	rowStats struct {
		report     Report
		firstToken *hdrhistogram.Histogram
	}

	// result is the result of one request as the client sees it.
	result struct {
		outcome    outcome
		code       string
		id         string
		firstToken time.Duration
	}

	outcome int

	jsonReport struct {
		Name      string         `json:"name"`
		Sent      int            `json:"sent"`
		Completed int            `json:"completed"`
		NotRun    int            `json:"not_run"`
		Unknown   int            `json:"unknown"`
		Failed    int            `json:"failed"`
		Broken    int            `json:"broken"`
		Wrong     int            `json:"wrong"`
		P50       float64        `json:"first_token_p50_ms"`
		P95       float64        `json:"first_token_p95_ms"`
		P99       float64        `json:"first_token_p99_ms"`
		Codes     map[string]int `json:"codes,omitempty"`
	}
)

const (
	outcomeCompleted outcome = iota
	outcomeNotRun
	outcomeUnknown
	outcomeFailed
	outcomeBroken
	outcomeWrong
)

const (
	maxFirstTokenMicroseconds = int64(time.Minute / time.Microsecond)
	significantDigits         = 3
	totalName                 = "total"

	// workspacePrefix starts the name of a report on one workspace.
	workspacePrefix = "workspace "
)

func newCollector() *collector { return &collector{byName: map[string]*rowStats{}} }

func (c *collector) add(name, workspace string, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range []string{name, workspacePrefix + workspace, totalName} {
		k := c.byName[n]
		if k == nil {
			k = &rowStats{report: Report{Name: n, Codes: map[string]int{}}, firstToken: hdrhistogram.New(1, maxFirstTokenMicroseconds, significantDigits)}
			c.byName[n] = k
		}
		k.add(r)
	}
}

func (s *rowStats) add(r result) {
	s.report.Sent++
	if r.code != "" {
		s.report.Codes[r.code]++
	}
	switch r.outcome {
	case outcomeCompleted:
		s.report.Completed++
		// Times above the range of the histogram are recorded as its maximum,
		// one minute.
		_ = s.firstToken.RecordValue(min(r.firstToken.Microseconds(), maxFirstTokenMicroseconds))
	case outcomeNotRun:
		s.report.NotRun++
		s.report.NotRunIDs = append(s.report.NotRunIDs, r.id)
	case outcomeUnknown:
		s.report.Unknown++
	case outcomeFailed:
		s.report.Failed++
	case outcomeBroken:
		s.report.Broken++
	case outcomeWrong:
		s.report.Wrong++
	}
}

func (c *collector) reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Report, 0, len(c.byName))
	for _, k := range c.byName {
		r := k.report
		r.FirstTokenP50 = microseconds(k.firstToken.ValueAtQuantile(50))
		r.FirstTokenP95 = microseconds(k.firstToken.ValueAtQuantile(95))
		r.FirstTokenP99 = microseconds(k.firstToken.ValueAtQuantile(99))
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Find returns the report with the given name; "total" covers all requests. If
// there is none, the report is empty.
func Find(reports []Report, name string) Report {
	for _, r := range reports {
		if r.Name == name {
			return r
		}
	}
	return Report{Name: name}
}

// WriteTable writes reports as a text table.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "KIND\tSENT\tDONE\tNOT RUN\tUNKNOWN\tFAILED\tBROKEN\tWRONG\tFIRST P50\tP95\tP99")
	for _, r := range reports {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", r.Name, r.Sent, r.Completed, r.NotRun, r.Unknown,
			r.Failed, r.Broken, r.Wrong, round(r.FirstTokenP50), round(r.FirstTokenP95), round(r.FirstTokenP99))
	}
	return t.Flush()
}

// WriteJSON writes reports as a JSON array.
func WriteJSON(w io.Writer, reports []Report) error {
	rows := make([]jsonReport, 0, len(reports))
	for _, r := range reports {
		rows = append(rows, jsonReport{
			Name: r.Name, Sent: r.Sent, Completed: r.Completed, NotRun: r.NotRun, Unknown: r.Unknown,
			Failed: r.Failed, Broken: r.Broken, Wrong: r.Wrong, Codes: r.Codes,
			P50: milliseconds(r.FirstTokenP50), P95: milliseconds(r.FirstTokenP95), P99: milliseconds(r.FirstTokenP99),
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(rows)
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
