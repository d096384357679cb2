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
	// Report is what callers saw of one kind of request, or of all.
	Report struct {
		Name      string
		Sent      int
		Completed int
		NotRun    int // refused, and said not to have run
		Unknown   int // outcome unknown, said so
		Failed    int // failed otherwise
		Broken    int // the connection to a daemon broke
		Wrong     int // a whole answer with other bytes than expected
		FirstP50  time.Duration
		FirstP95  time.Duration
		FirstP99  time.Duration
		Codes     map[string]int // error codes
		NotRunIDs []string       // request ids refused as not run
	}

	// ledger collects results while the load runs. It is safe for concurrent
	// use.
	ledger struct {
		mu    sync.Mutex
		kinds map[string]*kind
	}

	kind struct {
		report Report
		first  *hdrhistogram.Histogram
	}

	// result is what a caller saw of one request.
	result struct {
		end   ending
		code  string
		id    string
		first time.Duration
	}

	ending int

	wireReport struct {
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
	endCompleted ending = iota
	endNotRun
	endUnknown
	endFailed
	endBroken
	endWrong
)

const (
	maxFirst     = int64(time.Minute / time.Microsecond)
	significance = 3
	totalName    = "total"

	// workspacePrefix begins the names of the rows of single workspaces.
	workspacePrefix = "workspace "
)

func newLedger() *ledger { return &ledger{kinds: map[string]*kind{}} }

func (l *ledger) add(name, workspace string, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range []string{name, workspacePrefix + workspace, totalName} {
		k := l.kinds[n]
		if k == nil {
			k = &kind{report: Report{Name: n, Codes: map[string]int{}}, first: hdrhistogram.New(1, maxFirst, significance)}
			l.kinds[n] = k
		}
		k.add(r)
	}
}

func (k *kind) add(r result) {
	k.report.Sent++
	if r.code != "" {
		k.report.Codes[r.code]++
	}
	switch r.end {
	case endCompleted:
		k.report.Completed++
		// A first token later than a minute is counted as a minute.
		_ = k.first.RecordValue(min(r.first.Microseconds(), maxFirst))
	case endNotRun:
		k.report.NotRun++
		k.report.NotRunIDs = append(k.report.NotRunIDs, r.id)
	case endUnknown:
		k.report.Unknown++
	case endFailed:
		k.report.Failed++
	case endBroken:
		k.report.Broken++
	case endWrong:
		k.report.Wrong++
	}
}

func (l *ledger) reports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Report, 0, len(l.kinds))
	for _, k := range l.kinds {
		r := k.report
		r.FirstP50 = microseconds(k.first.ValueAtQuantile(50))
		r.FirstP95 = microseconds(k.first.ValueAtQuantile(95))
		r.FirstP99 = microseconds(k.first.ValueAtQuantile(99))
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Find returns the report of one kind of request; "total" is all of them.
func Find(reports []Report, name string) Report {
	for _, r := range reports {
		if r.Name == name {
			return r
		}
	}
	return Report{Name: name}
}

// WriteTable writes reports for a person.
func WriteTable(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "KIND\tSENT\tDONE\tNOT RUN\tUNKNOWN\tFAILED\tBROKEN\tWRONG\tFIRST P50\tP95\tP99")
	for _, r := range reports {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", r.Name, r.Sent, r.Completed, r.NotRun, r.Unknown,
			r.Failed, r.Broken, r.Wrong, round(r.FirstP50), round(r.FirstP95), round(r.FirstP99))
	}
	return t.Flush()
}

// WriteJSON writes reports for a program.
func WriteJSON(w io.Writer, reports []Report) error {
	rows := make([]wireReport, 0, len(reports))
	for _, r := range reports {
		rows = append(rows, wireReport{
			Name: r.Name, Sent: r.Sent, Completed: r.Completed, NotRun: r.NotRun, Unknown: r.Unknown,
			Failed: r.Failed, Broken: r.Broken, Wrong: r.Wrong, Codes: r.Codes,
			P50: milliseconds(r.FirstP50), P95: milliseconds(r.FirstP95), P99: milliseconds(r.FirstP99),
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(rows)
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
