package zpsettings

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

type (
	// Field binds one key of the settings file to a field of Settings.
	Field struct {
		Key  string
		Doc  string
		set  func(text string) error
		text func() string
	}
)

// Fields lists every key of the settings file, bound to s.
func Fields(s *Settings) []Field {
	return slices.Concat(siteFields(s), callersFields(s), fleetFields(s), workFields(s))
}

func siteFields(s *Settings) []Field {
	return []Field{
		textField("name", "name of the daemon, unique in the fleet", &s.Name),
		textField("region", "region of this VM", &s.Region),
		textField("failure_domain", "failure domain of this VM", &s.Domain),
		textField("log.level", "debug, info, warning or error", &s.Log.Level),
		textField("log.format", "json or text", &s.Log.Format),
		durationField("drain.notice_ms", "time between failing /readyz and refusing connections during shutdown", &s.Drain.Notice),
		durationField("drain.timeout_ms", "longest wait for open requests during shutdown", &s.Drain.Timeout),
		textField("trace.otlp_endpoint", "URL of an OTLP receiver; if empty, no spans are sent", &s.Trace.OTLPEndpoint),
		textField("trace.file", "file to which spans are appended as JSON; if empty, none are written", &s.Trace.File),
	}
}

func callersFields(s *Settings) []Field {
	return []Field{
		textField("callers.listen", "IP:PORT for callers", &s.Callers.Listen),
		textField("callers.tls_cert_file", "PEM certificate for callers; if empty, plain HTTP is served", &s.Callers.TLSCertFile),
		textField("callers.tls_key_file", "PEM key for callers", &s.Callers.TLSKeyFile),
		int64Field("callers.max_body_bytes", "largest request body", &s.Callers.MaxBodyBytes),
		int64Field("callers.max_header_bytes", "largest request header", &s.Callers.MaxHeader),
		durationField("callers.header_timeout_ms", "time for a caller to send its header", &s.Callers.HeaderTimeout),
		durationField("callers.body_timeout_ms", "time for a caller to send its body", &s.Callers.BodyTimeout),
		durationField("callers.write_timeout_ms", "longest time for one write of an answer to a caller", &s.Callers.WriteTimeout),
		int64Field("callers.memory_bytes", "memory for connections, heads and bodies of all callers; at least 1048576", &s.Callers.MemoryBytes),
		intField("callers.max_connections", "open connections of all callers", &s.Callers.MaxConnections),
		textField("admin.listen", "IP:PORT for metrics", &s.Admin.Listen),
	}
}

func fleetFields(s *Settings) []Field {
	return []Field{
		textField("peers.listen", "IP:PORT for other daemons", &s.Peers.Listen),
		durationField("peers.call_timeout_ms", "timeout of a call to another daemon", &s.Peers.CallTimeout),
		boolField("peers.insecure", "talk to other daemons without mutual TLS; for demos on one machine only", &s.Peers.Insecure),
		textField("peers.seeds", "IP:PORT of other daemons, separated by commas, asked for the configuration when the platform is down at startup", &s.Peers.Seeds),
		textField("peers.ca_file", "PEM CA certificates that sign the daemons' certificates", &s.Peers.CAFile),
		textField("peers.cert_file", "PEM certificate of this daemon; read again for each handshake", &s.Peers.CertFile),
		textField("peers.key_file", "PEM key of this daemon; read again for each handshake", &s.Peers.KeyFile),
		textField("platform.address", "base URL of the object API", &s.Platform.Address),
		textField("platform.region", "region of the platform", &s.Platform.Region),
		durationField("platform.timeout_ms", "timeout of a call to the platform", &s.Platform.Timeout),
		durationField("lease.duration_ms", "how long a renewed lease is valid; the same on all daemons", &s.Lease.Duration),
		durationField("lease.renew_ms", "time between renewals", &s.Lease.Renew),
		durationField("lease.margin_ms", "how long after the end of a lease a successor still waits; the same on all daemons", &s.Lease.Margin),
		intField("config.watchers_per_domain", "daemons of each failure domain that watch the platform", &s.Config.WatchersPerDomain),
		durationField("config.watch_wait_ms", "longest wait of one watch call; bounds the age of a watcher's proof of freshness", &s.Config.WatchWait),
		durationField("config.compare_ms", "time between comparisons of the configuration with a random peer", &s.Config.Compare),
		durationField("config.max_age_ms", "maximum age of the proof of freshness for accepting new work", &s.Config.MaxAge),
		textField("config.cut_off_policy", "refuse or serve_last; with serve_last, a domain or endpoint that was taken out may still receive new work", &s.Config.CutOffPolicy),
	}
}

func workFields(s *Settings) []Field {
	return []Field{
		durationField("reserve.start_deadline_ms", "time from asking for a reservation to the first byte sent; the same on all daemons", &s.Reserve.StartDeadline),
		durationField("reserve.urgent_wait_ms", "longest wait of an urgent request in a queue", &s.Reserve.UrgentWait),
		durationField("reserve.other_wait_ms", "longest wait of any other request in a queue", &s.Reserve.OtherWait),
		intField("reserve.queue_limit", "requests that may wait for one endpoint", &s.Reserve.QueueLimit),
		durationField("claims.retention_ms", "how long a finished claim is kept to answer repeats", &s.Claims.Retention),
		int64Field("claims.max_answer_bytes", "largest answer kept for repeats", &s.Claims.MaxAnswerBytes),
		durationField("endpoint.report_ms", "time between reads of an endpoint's load report", &s.Endpoint.Report),
		durationField("endpoint.connect_timeout_ms", "timeout of a connection attempt to an endpoint", &s.Endpoint.ConnectTimeout),
		durationField("endpoint.first_token_overdue_ms", "a first token later than this counts as a failure", &s.Endpoint.FirstTokenOverdue),
		durationField("endpoint.stall_timeout_ms", "a pause in a stream longer than this counts as a failure", &s.Endpoint.StallTimeout),
		durationField("endpoint.service_timeout_ms", "longest wait for the answer of a plain service", &s.Endpoint.ServiceTimeout),
		textField("routing.policy", "cost, or least_loaded as a baseline for measurements", &s.Routing.Policy),
		int64Field("routing.prefill_tokens_per_second", "rate at which an engine recomputes context", &s.Routing.PrefillTokens),
		int64Field("routing.bytes_per_token", "KV cache bytes of one token", &s.Routing.BytesPerToken),
		int64Field("routing.link_price_ms_per_mb", "price of a megabyte on the inter-region link, as milliseconds of delay", &s.Routing.LinkPriceMSPerMB),
		durationField("routing.region_latency_ms", "one-way delay to another region", &s.Routing.RegionLatency),
		int64Field("routing.export_min_tokens", "shortest context that is exported to a store", &s.Routing.ExportMinTokens),
		intField("routing.candidates_per_turn", "endpoints asked for their load for one request", &s.Routing.CandidatesPerTurn),
		int64Field("routing.urgent_max_tokens", "longest prompt with which a request without a class is urgent", &s.Routing.UrgentMaxTokens),
		floatField("retry.budget_ratio", "retries allowed for each first attempt", &s.Retry.BudgetRatio),
		floatField("retry.budget_burst", "unused retries that may accumulate", &s.Retry.BudgetBurst),
		intField("retry.max_attempts", "attempts of one idempotent request", &s.Retry.MaxAttempts),
		durationField("retry.backoff_ms", "first backoff; doubles, with full jitter", &s.Retry.Backoff),
	}
}

func textField(key, doc string, p *string) Field {
	return Field{
		Key: key, Doc: doc,
		set:  func(text string) error { *p = text; return nil },
		text: func() string { return strconv.Quote(*p) },
	}
}

func int64Field(key, doc string, p *int64) Field {
	return Field{
		Key: key, Doc: doc,
		set: func(text string) error {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil || n < 0 {
				return fmt.Errorf("%q is not a whole number of 0 or more", text)
			}
			*p = n
			return nil
		},
		text: func() string { return strconv.FormatInt(*p, 10) },
	}
}

func intField(key, doc string, p *int) Field {
	var n int64
	f := int64Field(key, doc, &n)
	set := f.set
	f.set = func(text string) error {
		err := set(text)
		if err == nil {
			*p = int(n)
		}
		return err
	}
	f.text = func() string { return strconv.Itoa(*p) }
	return f
}

func durationField(key, doc string, p *time.Duration) Field {
	var n int64
	f := int64Field(key, doc, &n)
	set := f.set
	f.set = func(text string) error {
		err := set(text)
		if err == nil {
			*p = time.Duration(n) * time.Millisecond
		}
		return err
	}
	f.text = func() string { return strconv.FormatInt(p.Milliseconds(), 10) }
	return f
}

func floatField(key, doc string, p *float64) Field {
	return Field{
		Key: key, Doc: doc,
		set: func(text string) error {
			x, err := strconv.ParseFloat(text, 64)
			if err != nil || x < 0 {
				return fmt.Errorf("%q is not a number of 0 or more", text)
			}
			*p = x
			return nil
		},
		text: func() string { return strconv.FormatFloat(*p, 'g', -1, 64) },
	}
}

func boolField(key, doc string, p *bool) Field {
	return Field{
		Key: key, Doc: doc,
		set: func(text string) error {
			b, err := strconv.ParseBool(text)
			if err != nil {
				return fmt.Errorf("%q is neither true nor false", text)
			}
			*p = b
			return nil
		},
		text: func() string { return strconv.FormatBool(*p) },
	}
}
