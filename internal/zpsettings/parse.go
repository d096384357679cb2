package zpsettings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	entry struct {
		key  string
		text string
		line int
	}

	// Fault is one error in a settings file.
	Fault struct {
		Line   int // 0 when the key is missing
		Key    string
		Text   string
		Remedy string
	}
)

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, zperror.New(zperror.KindInvalid, "settings_unreadable",
			"the settings file cannot be read", "pass the path of a readable file with --settings").WithCause(err)
	}
	s, faults := Parse(text)
	return s, FaultError(faults)
}

// Parse applies the YAML in text to the defaults and returns every fault found.
func Parse(text []byte) (*Settings, []Fault) {
	s := Defaults()
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return s, []Fault{{Text: err.Error(), Remedy: "correct the YAML syntax"}}
	}
	var entries []entry
	for _, doc := range file.Docs {
		entries = flatten(doc.Body, "", entries)
	}
	faults := assign(s, entries)
	return s, append(faults, validate(s, linesByKey(entries))...)
}

// FaultError joins faults into one error. It returns nil if there are none.
func FaultError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	list := make([]string, 0, len(faults))
	for _, f := range faults {
		list = append(list, f.String())
	}
	return zperror.New(zperror.KindInvalid, "settings_invalid",
		fmt.Sprintf("the settings have %d fault(s): %s", len(faults), strings.Join(list, "; ")),
		"correct each fault and run `zinniapaddle check` again")
}

// String formats the fault with its remedy.
func (f Fault) String() string {
	where := f.Key
	if f.Line > 0 {
		where = fmt.Sprintf("line %d: %s", f.Line, f.Key)
	}
	return fmt.Sprintf("%s: %s (remedy: %s)", where, f.Text, f.Remedy)
}

func flatten(node ast.Node, prefix string, out []entry) []entry {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			out = flatten(v, prefix, out)
		}
	case *ast.MappingValueNode:
		key := prefix + n.Key.GetToken().Value
		switch v := n.Value.(type) {
		case *ast.MappingNode, *ast.MappingValueNode:
			return flatten(v, key+".", out)
		default:
			line := n.Key.GetToken().Position.Line
			return append(out, entry{key: key, text: scalar(n.Value), line: line})
		}
	}
	return out
}

func scalar(n ast.Node) string {
	if n == nil || n.Type() == ast.NullType {
		return ""
	}
	return n.GetToken().Value
}

func assign(s *Settings, entries []entry) []Fault {
	byKey := map[string]Field{}
	for _, f := range Fields(s) {
		byKey[f.Key] = f
	}
	var faults []Fault
	for _, e := range entries {
		f, ok := byKey[e.key]
		if !ok {
			faults = append(faults, Fault{e.line, e.key, "unknown key", "remove it, or see docs/settings.md for the right name"})
			continue
		}
		if err := f.set(e.text); err != nil {
			faults = append(faults, Fault{e.line, e.key, err.Error(), f.Doc})
		}
	}
	return faults
}

func linesByKey(entries []entry) map[string]int {
	m := map[string]int{}
	for _, e := range entries {
		m[e.key] = e.line
	}
	return m
}

func validate(s *Settings, line map[string]int) []Fault {
	var faults []Fault
	add := func(ok bool, key, text, remedy string) {
		if !ok {
			faults = append(faults, Fault{line[key], key, text, remedy})
		}
	}
	add(s.Name != "", "name", "is missing", "give the daemon a name")
	add(s.Region != "", "region", "is missing", "name the region of this VM")
	add(s.Domain != "", "failure_domain", "is missing", "name the failure domain of this VM")
	add(isURL(s.Platform.Address), "platform.address", "is not a base URL", "write http://IP:PORT")
	add(s.Platform.Region != "", "platform.region", "is missing", "name the region of the platform")
	add(isHostPort(s.Callers.Listen), "callers.listen", "is not IP:PORT", "write for example 127.0.0.1:8080")
	add(isHostPort(s.Admin.Listen), "admin.listen", "is not IP:PORT", "write for example 127.0.0.1:8082")
	add(isHostPort(s.Peers.Listen), "peers.listen", "is not IP:PORT", "write for example 127.0.0.1:8081")
	add(oneOf(s.Log.Level, "debug", "info", "warning", "error"), "log.level", "is not a log level", "write debug, info, warning or error")
	add(oneOf(s.Log.Format, "json", "text"), "log.format", "is not a log format", "write json or text")
	add(oneOf(s.Config.CutOffPolicy, CutOffRefuse, CutOffServeLast), "config.cut_off_policy", "is not a policy", "write refuse or serve_last")
	add(oneOf(s.Routing.Policy, PolicyCost, PolicyLeastLoaded), "routing.policy", "is not a policy", "write cost or least_loaded")
	add((s.Callers.TLSCertFile == "") == (s.Callers.TLSKeyFile == ""), "callers.tls_cert_file", "must be set together with callers.tls_key_file", "set both or neither")
	add(s.Peers.Insecure || (s.Peers.CAFile != "" && s.Peers.CertFile != "" && s.Peers.KeyFile != ""), "peers.ca_file", "mutual TLS needs peers.ca_file, peers.cert_file and peers.key_file", "set all three, or peers.insecure: true for a demo on one machine")
	add(s.Lease.Renew*2 < s.Lease.Duration, "lease.renew_ms", "is not less than half of lease.duration_ms", "lower it so that one lost renewal does not end the lease")
	add(s.Lease.Margin > 0, "lease.margin_ms", "is 0", "set a positive time; it allows for clock drift and late answers")
	add(s.Config.MaxAge > s.Config.WatchWait+s.Config.Compare, "config.max_age_ms", "is not more than config.watch_wait_ms and config.compare_ms together", "raise it; otherwise proofs of freshness are too old when they arrive")
	add(s.Config.WatchersPerDomain > 0, "config.watchers_per_domain", "is 0", "set 1 or more")
	add(s.Reserve.StartDeadline > 0, "reserve.start_deadline_ms", "is 0", "set a positive time")
	add(s.Routing.PrefillTokens > 0, "routing.prefill_tokens_per_second", "is 0", "set the engine's prefill rate")
	add(s.Routing.CandidatesPerTurn > 0, "routing.candidates_per_turn", "is 0", "set 1 or more")
	add(s.Retry.MaxAttempts > 0, "retry.max_attempts", "is 0", "set 1 or more")
	return faults
}

func oneOf(value string, allowed ...string) bool {
	for _, a := range allowed {
		if value == a {
			return true
		}
	}
	return false
}

func isHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
