// Package zpmetric defines the Prometheus metrics of the daemon.
package zpmetric

import (
	"github.com/prometheus/client_golang/prometheus"
)

type (
	// Metrics holds the metrics of one daemon and the registry that they belong to.
	Metrics struct {
		Registry          *prometheus.Registry
		Requests          *prometheus.CounterVec   // by class, code, run_state
		FirstToken        *prometheus.HistogramVec // seconds, by class
		AbandonedRequests *prometheus.CounterVec   // by stage
		StallSeconds      prometheus.Histogram     // seconds
		OpenRequests      prometheus.Gauge
		PlatformCalls     *prometheus.CounterVec // by call, kind of object, result
		PeerCalls         *prometheus.CounterVec // by call, result
		Detours           *prometheus.CounterVec // by result
		DetourSeconds     prometheus.Histogram
		Reservations      *prometheus.CounterVec // by result
		ConfigVersion     prometheus.Gauge
		ConfigAge         prometheus.Gauge // seconds
		PartitionsOwned   prometheus.Gauge
		Retries           *prometheus.CounterVec // by reason
		Hopeless          *prometheus.CounterVec // by class, reason
		Quarantined       prometheus.Counter
		Trials            prometheus.Counter
		Crashes           prometheus.Counter
		LinkBytes         *prometheus.CounterVec // by link
		CrossRegion       prometheus.Counter     // bytes of requests and responses
		ReusedTokens      prometheus.Counter
		PromptTokens      prometheus.Counter
		MemoryRefusals    *prometheus.CounterVec // by port, reason
		MemoryEvictions   *prometheus.CounterVec // by port, phase
		LoadWords         *prometheus.CounterVec // by result
		BrittleHeld       *prometheus.CounterVec // by pool
	}
)

// New creates all metrics and registers them in a new registry.
func New() *Metrics {
	m := &Metrics{
		Registry:          prometheus.NewRegistry(),
		Requests:          counterVec("requests_total", "Requests ended.", "class", "code", "run_state"),
		AbandonedRequests: counterVec("abandoned_requests_total", "Requests whose caller closed its connection before it had the whole answer, by how far they had come.", "stage"),
		OpenRequests:      gauge("open_requests", "Requests in progress."),
		PlatformCalls:     counterVec("platform_calls_total", "Calls to the platform.", "call", "kind", "result"),
		PeerCalls:         counterVec("peer_calls_total", "Calls to other daemons.", "call", "result"),
		Detours:           counterVec("detours_total", "Connections to endpoints through other daemons, by result.", "result"),
		Reservations:      counterVec("reservations_total", "Reservations decided as owner.", "result"),
		ConfigVersion:     gauge("config_version", "Version of the manifest in effect on this daemon."),
		ConfigAge:         gauge("config_age_seconds", "Age of the proof of freshness."),
		PartitionsOwned:   gauge("partitions_owned", "Partitions owned by this daemon."),
		Retries:           counterVec("retries_total", "Requests sent again.", "reason"),
		Hopeless:          counterVec("hopeless_total", "Requests refused at once, because they could not be served before their deadline.", "class", "reason"),
		Quarantined:       counter("quarantined_total", "Fingerprints quarantined."),
		Trials:            counter("quarantine_trials_total", "Requests sent to test whether their fingerprint is rightly quarantined."),
		Crashes:           counter("crash_reports_total", "Requests that were running when an endpoint crashed, on this daemon."),
		LinkBytes:         counterVec("link_granted_bytes_total", "Bytes granted on an inter-region link.", "link"),
		CrossRegion:       counter("cross_region_bytes_total", "Bytes of requests to and responses from endpoints in another region."),
		ReusedTokens:      counter("reused_tokens_total", "Prompt tokens found in a cache."),
		MemoryRefusals:    counterVec("memory_refusals_total", "Requests and connections refused for lack of memory or connections.", "port", "reason"),
		MemoryEvictions:   counterVec("memory_evictions_total", "Connections ended because they held memory or a connection without progress that others needed.", "port", "phase"),
		LoadWords:         counterVec("load_words_total", "Responses in which an endpoint tells its load and speed, by whether they were understood.", "result"),
		BrittleHeld:       counterVec("brittle_held_total", "Endpoints passed over because they are brittle and were not known to have room.", "pool"),
		PromptTokens:      counter("prompt_tokens_total", "Prompt tokens of completed requests."),
	}
	m.FirstToken = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "zinniapaddle", Name: "first_token_seconds",
		Help:    "Time from accepting a request to its first token.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
	}, []string{"class"})
	m.StallSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "zinniapaddle", Name: "stall_seconds",
		Help:    "Delay of a short sleep beyond its duration: time during which the daemon was not running.",
		Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
	})
	m.DetourSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "zinniapaddle", Name: "detour_connect_seconds", Help: "Time until another daemon had connected to an endpoint for this one.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 10),
	})
	m.Registry.MustRegister(m.Detours, m.DetourSeconds, m.Requests, m.FirstToken, m.AbandonedRequests, m.StallSeconds, m.OpenRequests, m.PlatformCalls, m.PeerCalls,
		m.Reservations, m.ConfigVersion, m.ConfigAge, m.PartitionsOwned, m.Retries, m.Hopeless, m.Quarantined, m.Trials, m.Crashes,
		m.LinkBytes, m.CrossRegion, m.ReusedTokens, m.PromptTokens, m.MemoryRefusals, m.MemoryEvictions, m.LoadWords, m.BrittleHeld)
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "zinniapaddle", Name: name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "zinniapaddle", Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "zinniapaddle", Name: name, Help: help})
}
