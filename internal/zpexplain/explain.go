// Package zpexplain reconstructs the course of one request from the logs of
// daemons: the lines of the request itself, and the state changes of its endpoints
// as seen by the same daemon.
package zpexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
)

type (
	// Line is one parsed log line.
	Line struct {
		Source string // name of the daemon, or of the file
		At     time.Duration
		Event  int
		Text   string
		Fields map[string]any
	}

	// RequestTrace holds the log lines that explain one request, in order of time.
	RequestTrace struct {
		Request string
		Lines   []Line
	}
)

const (
	// stateWindow is how long before the first line of a request state changes are included.
	stateWindow  = 10 * time.Second
	maxLineBytes = 1 << 20
)

// Read reads the lines of one log. Lines without a JSON object are skipped. The
// JSON may be preceded by a time in seconds and the name of a daemon.
func Read(r io.Reader, source string) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes(), source); ok {
			out = append(out, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", source, err)
	}
	return out, nil
}

// Explain selects the lines that explain a request.
func Explain(request string, lines []Line) RequestTrace {
	s := RequestTrace{Request: request}
	endpoints := map[string]bool{} // IDs in the request's lines
	sources := map[string]bool{}   // daemons that handled the request
	first := time.Duration(1<<62 - 1)
	last := time.Duration(0)
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		s.Lines = append(s.Lines, l)
		sources[l.Source] = true
		first, last = min(first, l.At), max(last, l.At)
		if e, ok := l.Fields["endpoint"].(string); ok {
			endpoints[e] = true
		}
	}
	for _, l := range lines {
		if _, isRequest := l.Fields["request"]; isRequest || !sources[l.Source] || l.At < first-stateWindow || l.At > last {
			continue
		}
		if e, ok := l.Fields["endpoint"].(string); ok && !endpoints[e] {
			continue
		}
		s.Lines = append(s.Lines, l)
	}
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].At < s.Lines[j].At })
	return s
}

// Write prints one line per log line and marks those of the request with *.
func (s RequestTrace) Write(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line names request %s; remedy: pass the logs of all daemons\n", s.Request)
		return err
	}
	for _, l := range s.Lines {
		mark := " "
		if l.Fields["request"] == s.Request {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %10.3f s %-22s %d %s%s\n", mark, l.At.Seconds(), l.Source, l.Event, l.Text, details(l.Fields)); err != nil {
			return err
		}
	}
	return nil
}

func parse(text []byte, source string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	event, ok := fields["event"].(float64)
	if !ok {
		return Line{}, false
	}
	l := Line{Source: source, Event: int(event), Fields: fields}
	l.Text, _ = fields["msg"].(string)
	prefix := strings.Fields(string(text[:start]))
	if len(prefix) >= 2 {
		l.Source = prefix[1]
	}
	l.At = timeOf(prefix, fields)
	return l, true
}

// timeOf prefers the time before the JSON, which has a higher resolution than the
// time field.
func timeOf(prefix []string, fields map[string]any) time.Duration {
	if len(prefix) > 0 {
		if s, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			return time.Duration(s * float64(time.Second))
		}
	}
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0
	}
	return time.Duration(at.UnixNano())
}

// details formats the fields that are not printed otherwise, sorted by name.
func details(fields map[string]any) string {
	var names []string
	for name := range fields {
		switch name {
		case "event", "level", "msg", "time", "request":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}
