// Package zpsettings defines the settings of one daemon: their defaults, the YAML
// parser, which reports line numbers, their validation, and the generator of the
// settings page.
package zpsettings

import "time"

type (
	// Settings configures one daemon.
	Settings struct {
		Name     string
		Region   string
		Domain   string
		Log      Log
		Callers  Callers
		Admin    Admin
		Peers    Peers
		Platform Platform
		Lease    Lease
		Config   Config
		Reserve  Reserve
		Claims   Claims
		Endpoint Endpoint
		Routing  Routing
		Retry    Retry
		Drain    Drain
		Trace    Trace
	}

	// Log configures the log.
	Log struct {
		Level  string
		Format string
	}

	// Callers configures the server for callers.
	Callers struct {
		Listen         string
		TLSCertFile    string
		TLSKeyFile     string
		MaxBodyBytes   int64
		MaxHeader      int64
		MemoryBytes    int64 // for connections, heads and bodies of all callers
		MaxConnections int
		HeaderTimeout  time.Duration
		BodyTimeout    time.Duration
		WriteTimeout   time.Duration
	}

	// Admin configures the server for metrics.
	Admin struct {
		Listen string
	}

	// Peers configures the traffic between daemons.
	Peers struct {
		Listen      string
		CallTimeout time.Duration
		Insecure    bool
		Seeds       string
		CAFile      string
		CertFile    string
		KeyFile     string
	}

	// Platform configures the client of the platform's object API.
	Platform struct {
		Address string
		Region  string
		Timeout time.Duration
	}

	// Lease configures the daemon's lease.
	Lease struct {
		Duration time.Duration
		Renew    time.Duration
		Margin   time.Duration
	}

	// Config configures how the configuration is watched and relayed between daemons.
	Config struct {
		WatchersPerDomain int
		WatchWait         time.Duration
		Compare           time.Duration
		MaxAge            time.Duration
		CutOffPolicy      string
	}

	// Reserve configures reservations and queues.
	Reserve struct {
		StartDeadline time.Duration
		UrgentWait    time.Duration
		OtherWait     time.Duration
		QueueLimit    int
	}

	// Claims configures claims of non-idempotent requests.
	Claims struct {
		Retention      time.Duration
		MaxAnswerBytes int64
	}

	// Endpoint configures the calls to endpoints.
	Endpoint struct {
		Report            time.Duration
		ConnectTimeout    time.Duration
		FirstTokenOverdue time.Duration
		StallTimeout      time.Duration
		ServiceTimeout    time.Duration
	}

	// Routing configures the choice of endpoint.
	Routing struct {
		Policy            string
		PrefillTokens     int64 // tokens per second that an engine recomputes
		BytesPerToken     int64
		LinkPriceMSPerMB  int64
		RegionLatency     time.Duration
		ExportMinTokens   int64
		CandidatesPerTurn int
		UrgentMaxTokens   int64
	}

	// Retry configures retries of idempotent requests.
	Retry struct {
		BudgetRatio float64
		BudgetBurst float64
		MaxAttempts int
		Backoff     time.Duration
	}

	// Drain configures the graceful shutdown.
	Drain struct {
		Notice  time.Duration
		Timeout time.Duration
	}

	// Trace configures the export of spans.
	Trace struct {
		OTLPEndpoint string
		File         string
	}
)

// Values of Config.CutOffPolicy.
const (
	CutOffRefuse    = "refuse"
	CutOffServeLast = "serve_last"
)

// Values of Routing.Policy.
const (
	PolicyCost        = "cost"
	PolicyLeastLoaded = "least_loaded"
)

// Defaults returns the settings used for keys that the file does not set.
func Defaults() *Settings {
	return &Settings{
		Log: Log{Level: "info", Format: "json"},
		Callers: Callers{
			Listen:         "127.0.0.1:8080",
			MaxBodyBytes:   4 << 20,
			MaxHeader:      32 << 10,
			MemoryBytes:    256 << 20,
			MaxConnections: 10_000,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
			WriteTimeout:   10 * time.Second,
		},
		Admin:    Admin{Listen: "127.0.0.1:8082"},
		Peers:    Peers{Listen: "127.0.0.1:8081", CallTimeout: 500 * time.Millisecond},
		Platform: Platform{Timeout: time.Second},
		Lease:    Lease{Duration: 4 * time.Second, Renew: time.Second, Margin: 500 * time.Millisecond},
		Config: Config{
			WatchersPerDomain: 2,
			WatchWait:         400 * time.Millisecond,
			Compare:           300 * time.Millisecond,
			MaxAge:            2 * time.Second,
			CutOffPolicy:      CutOffRefuse,
		},
		Reserve: Reserve{
			StartDeadline: time.Second,
			UrgentWait:    2 * time.Second,
			OtherWait:     20 * time.Second,
			QueueLimit:    256,
		},
		Claims: Claims{Retention: 24 * time.Hour, MaxAnswerBytes: 2048},
		Endpoint: Endpoint{
			Report:            500 * time.Millisecond,
			ConnectTimeout:    300 * time.Millisecond,
			FirstTokenOverdue: 10 * time.Second,
			StallTimeout:      10 * time.Second,
			ServiceTimeout:    10 * time.Second,
		},
		Routing: Routing{
			Policy:            PolicyCost,
			PrefillTokens:     4000,
			BytesPerToken:     512,
			LinkPriceMSPerMB:  22_000,
			RegionLatency:     20 * time.Millisecond,
			ExportMinTokens:   256,
			CandidatesPerTurn: 3,
			UrgentMaxTokens:   256,
		},
		Retry: Retry{BudgetRatio: 0.1, BudgetBurst: 10, MaxAttempts: 3, Backoff: 50 * time.Millisecond},
		Drain: Drain{Notice: time.Second, Timeout: 60 * time.Second},
	}
}
