// Package zplog writes the log as numbered events. Each event has a fixed text, a
// level and an action for the operator. docs/events.md lists all events.
package zplog

import (
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

type (
	// Event describes one kind of log line.
	Event struct {
		Number int
		Level  logrus.Level
		Text   string
		Action string // what an operator should do
	}

	// Fields holds the values of one log line. It must not contain prompts or keys.
	Fields map[string]any

	// Logger writes events. It limits the lines per second of each event; the next
	// line of the event reports how many were suppressed.
	Logger struct {
		out *logrus.Logger

		mu     sync.Mutex
		counts map[int]*lineCount // by event number
	}

	lineCount struct {
		second     int64
		lines      int
		suppressed int
	}
)

// Events. The number of a removed event is never reused.
var (
	Started              = Event{100, logrus.InfoLevel, "daemon started", "none"}
	Stopping             = Event{101, logrus.InfoLevel, "graceful shutdown began", "none"}
	Stopped              = Event{102, logrus.InfoLevel, "daemon stopped", "none"}
	DrainTimedOut        = Event{103, logrus.ErrorLevel, "open requests were interrupted at the end of drain.timeout_ms", "raise drain.timeout_ms above the longest request"}
	Reloaded             = Event{104, logrus.InfoLevel, "settings file read again", "none"}
	ReloadFailed         = Event{105, logrus.ErrorLevel, "settings file is not valid; the last valid settings stay in effect", "correct the file"}
	LeaseRenewFailed     = Event{200, logrus.WarnLevel, "lease renewal failed", "check the platform if it persists"}
	LeaseLost            = Event{201, logrus.ErrorLevel, "lease was ended by another daemon; a new instance is registered", "look for pauses of this VM"}
	LeaseLapsed          = Event{202, logrus.WarnLevel, "own lease expired according to the local clock; budgets are reduced", "check the platform"}
	MemberEnded          = Event{203, logrus.WarnLevel, "another daemon's lease was ended after it expired", "none; the VM may be replaced"}
	MemberNotWritten     = Event{204, logrus.WarnLevel, "record of this daemon could not be written or removed", "check the store if it persists; other daemons may not know this one"}
	PartitionTaken       = Event{210, logrus.InfoLevel, "partition taken over", "none"}
	PartitionLeft        = Event{211, logrus.InfoLevel, "partition given up", "none"}
	DutyTaken            = Event{220, logrus.InfoLevel, "exclusive duty taken", "none"}
	DutyLeft             = Event{221, logrus.InfoLevel, "exclusive duty given up", "none"}
	ConfigApplied        = Event{300, logrus.InfoLevel, "configuration applied", "none"}
	ConfigRefused        = Event{301, logrus.ErrorLevel, "configuration refused; the last valid one stays in effect", "correct the manifest and apply it again"}
	ConfigStale          = Event{302, logrus.WarnLevel, "proof of freshness is too old", "see docs/operators/platform_outage.md"}
	ConfigFresh          = Event{303, logrus.InfoLevel, "proof of freshness is good again", "none"}
	WatchFailed          = Event{304, logrus.WarnLevel, "watch of the platform failed", "check the platform if it persists"}
	StoreUnavailable     = Event{305, logrus.WarnLevel, "the store does not answer; the last known state is used", "see docs/operators/platform_outage.md"}
	StoreRecovered       = Event{306, logrus.InfoLevel, "the store answers again", "none"}
	EntryIgnored         = Event{307, logrus.WarnLevel, "object in the store is not valid and is ignored", "find out what wrote it"}
	EvacuationChanged    = Event{308, logrus.InfoLevel, "failure domains out of service changed", "none"}
	CatalogConfirmed     = Event{310, logrus.InfoLevel, "configuration confirmed after a pause; until then, requests with restricted regions were held or refused", "none"}
	CatalogUnconfirmed   = Event{311, logrus.WarnLevel, "configuration cannot be confirmed after a pause", "check the store and the way to it"}
	StoreProbed          = Event{312, logrus.WarnLevel, "the store did not answer a read; it is probed before the next one", "see docs/operators/platform_outage.md"}
	StoreAnswers         = Event{313, logrus.InfoLevel, "the store answers this daemon again; reads go on", "none"}
	StoreRestored        = Event{314, logrus.WarnLevel, "the store has come back from an older copy; its objects are listed anew and no duty is held", "see docs/OPERATIONS.md; check that the operator's last changes are stored"}
	StoreEraUnusable     = Event{315, logrus.ErrorLevel, "the store does not tell its era as it did before; the last known one is used", "check the store"}
	WrittenAgain         = Event{316, logrus.InfoLevel, "an object that the store had lost was written again", "none"}
	PeerCatalogUnread    = Event{309, logrus.WarnLevel, "newer configuration of another daemon could not be read", "check the store and the other daemon if it persists"}
	RequestFailed        = Event{400, logrus.WarnLevel, "request failed", "look up the code in docs/operators/errors.md"}
	RequestRetried       = Event{401, logrus.InfoLevel, "request sent again to another endpoint", "none"}
	RequestPlaced        = Event{402, logrus.InfoLevel, "request sent to an endpoint", "none"}
	CrashRecorded        = Event{403, logrus.WarnLevel, "request was running when an endpoint crashed", "see docs/operators/crashing_request.md"}
	RequestAnswered      = Event{404, logrus.InfoLevel, "request answered", "none"}
	RequestWaits         = Event{405, logrus.InfoLevel, "request waits for capacity at an endpoint", "see docs/operators/overload.md if many do"}
	RequestAbandoned     = Event{407, logrus.InfoLevel, "caller closed its connection before it had the whole answer", "see docs/OPERATIONS.md if many do; compare age_ms and unread_ms"}
	RequestSilent        = Event{406, logrus.InfoLevel, "endpoint sent no first byte within the expected time; the run is cancelled and repeated", "check the endpoint if it repeats"}
	RequestsQuarantined  = Event{411, logrus.ErrorLevel, "requests with this fingerprint are refused after several crashes", "see docs/operators/crashing_request.md"}
	SuspicionCleared     = Event{412, logrus.InfoLevel, "requests with these fingerprints run without a crash", "none"}
	BanNotStored         = Event{413, logrus.WarnLevel, "ban of a fingerprint could not be stored or removed", "check the store; daemons that start when no other one runs do not know the ban"}
	TrialBegun           = Event{414, logrus.WarnLevel, "a request with a quarantined fingerprint is sent, to test whether it crashes endpoints", "see docs/operators/crashing_request.md"}
	RequestHopeless      = Event{415, logrus.InfoLevel, "request refused at once, because it cannot be served before its deadline", "see docs/operators/callers_compete.md if many are"}
	ChoiceRevoked        = Event{410, logrus.InfoLevel, "the chosen endpoint was excluded before the request was sent, by the configuration or by itself; another is chosen", "none"}
	EndpointSuspect      = Event{500, logrus.WarnLevel, "endpoint shows signs of a cold start; new work is held", "none; check the endpoint if it persists"}
	EndpointWarm         = Event{501, logrus.InfoLevel, "endpoint is warm", "none"}
	OrderGiven           = Event{502, logrus.InfoLevel, "order given to an engine", "check the engine if it repeats"}
	EndpointChanged      = Event{503, logrus.InfoLevel, "endpoint registered or changed", "none"}
	EndpointGone         = Event{504, logrus.InfoLevel, "endpoint left", "none"}
	WeightsNamed         = Event{505, logrus.InfoLevel, "new weight version is configured", "none"}
	WeightsLoaded        = Event{506, logrus.InfoLevel, "engine has loaded the configured weights", "none"}
	OrderFailed          = Event{507, logrus.WarnLevel, "order to an engine or its report failed; it is retried", "check the engine if it persists"}
	StoreState           = Event{508, logrus.InfoLevel, "state of a KV cache store", "none; a full store saves nothing"}
	EndpointAvoided      = Event{509, logrus.WarnLevel, "endpoint is avoided: connections to it from several failure domains timed out", "check the endpoint if it persists"}
	EndpointLeaving      = Event{510, logrus.InfoLevel, "endpoint says in a response that it leaves; it gets no requests until it starts again", "none"}
	EndpointQuiet        = Event{511, logrus.InfoLevel, "endpoint says in a response that it wants no requests from this daemon for a while", "check the load of the endpoint if it repeats"}
	EndpointsUnreachable = Event{512, logrus.WarnLevel, "this daemon cannot connect to endpoints that others reach; connections go through other daemons", "see docs/operators/cut_off_from_endpoints.md"}
	EndpointsReachable   = Event{513, logrus.InfoLevel, "this daemon connects to endpoints again", "none"}
	DetourFailed         = Event{514, logrus.InfoLevel, "another daemon could not open a connection to an endpoint for this one", "none; see docs/operators/cut_off_from_endpoints.md if it repeats"}
	DetourRefused        = Event{515, logrus.InfoLevel, "a connection to an endpoint was not opened for another daemon", "none"}
	EndpointsBrittle     = Event{516, logrus.WarnLevel, "endpoints of a pool say that they fall over when they refuse too much; requests wait until one has room", "check the load of the pool"}
	UpgradeOrdered       = Event{520, logrus.InfoLevel, "a pool is to move to endpoints of another software version", "none"}
	UpgradeStopped       = Event{521, logrus.WarnLevel, "this daemon sends nothing more to a new version, by its own evidence", "see docs/operators/roll_outs.md"}
	UpgradeCompleted     = Event{522, logrus.InfoLevel, "a pool has moved to a new version", "none"}
	UpgradeRolledBack    = Event{523, logrus.WarnLevel, "a new version gets nothing more", "see docs/operators/roll_outs.md; the reason names route and figures"}
	UpgradeNotWritten    = Event{524, logrus.WarnLevel, "status of a roll-out could not be written yet", "check the store if it persists"}
	UpgradeRemoved       = Event{525, logrus.InfoLevel, "order of a roll-out was removed", "none"}
	UpgradeStatus        = Event{526, logrus.InfoLevel, "status of a roll-out was written", "none"}
	VersionsMixed        = Event{527, logrus.InfoLevel, "a pool has endpoints of several software versions; streams go on only at the version that began them", "none"}
	OriginSought         = Event{528, logrus.InfoLevel, "origin of a stream that a caller takes up was sought", "see docs/incidents/stream_taken_up_out_of_step.md if many are unknown"}
	OriginTold           = Event{529, logrus.InfoLevel, "origin of a stream was told to other daemons", "check the daemons that did not confirm it if it persists"}
	EndpointSlow         = Event{530, logrus.InfoLevel, "endpoint says in a response that work takes longer there than usual", "check what else runs on its VM if it persists"}
	BadLoad              = Event{531, logrus.WarnLevel, "endpoint describes its load in a way that is not understood; the words are ignored", "check the endpoint's software version"}
	OriginsToldAgain     = Event{532, logrus.InfoLevel, "origins of streams that no other daemon had confirmed were told again", "check the links between the daemons if it persists"}
	StartRead            = Event{533, logrus.InfoLevel, "an engine was asked when it started, as the list of endpoints may be out of date", "none"}
	FingerprintBanned    = Event{600, logrus.ErrorLevel, "request is quarantined after crashes of two endpoints", "see docs/operators/crashing_request.md"}
	ClaimSettleFailed    = Event{700, logrus.WarnLevel, "outcome of a claim could not be recorded yet", "check the platform if it persists"}
	PeerFailed           = Event{800, logrus.DebugLevel, "call to another daemon failed", "none"}
	PeerLost             = Event{801, logrus.WarnLevel, "another daemon does not answer", "none; check the VM if it persists"}
	PeerRecovered        = Event{802, logrus.InfoLevel, "another daemon answers again", "none"}
	OwnerUnresponsive    = Event{803, logrus.WarnLevel, "owner of prompt parts does not answer; local data is used", "none; check the VM if it persists"}
	RelayAvoided         = Event{805, logrus.WarnLevel, "loads are not exchanged through a relay for a while", "none; check the VM if it persists"}
	WatcherAvoided       = Event{804, logrus.WarnLevel, "store is not watched through another daemon for a while", "none; check the VM and its connection to the store if it persists"}
	MemoryRefused        = Event{910, logrus.WarnLevel, "request is refused or its connection closed: the memory for requests is in use", "see docs/operators/clients_that_hold_memory.md"}
	ConnectionRefused    = Event{911, logrus.WarnLevel, "connection is closed unread: the limit of connections is reached", "see docs/operators/clients_that_hold_memory.md"}
	HolderEvicted        = Event{912, logrus.WarnLevel, "connection that held memory without progress is ended for others", "see docs/operators/clients_that_hold_memory.md"}
	ServerFailed         = Event{900, logrus.ErrorLevel, "a listener failed", "check that the address is free"}
	DaemonStalled        = Event{902, logrus.WarnLevel, "daemon was not scheduled for a while: it was paused or short of CPU time", "check the VM; callers may have closed their connections meanwhile"}
	LinesDropped         = Event{901, logrus.WarnLevel, "log lines were dropped because the destination is slow", "lower log.level"}
)

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	return []Event{
		Started, Stopping, Stopped, DrainTimedOut, Reloaded, ReloadFailed, LeaseRenewFailed, LeaseLost,
		LeaseLapsed, MemberEnded, MemberNotWritten, PartitionTaken, PartitionLeft, DutyTaken, DutyLeft, ConfigApplied, ConfigRefused,
		ConfigStale, ConfigFresh, WatchFailed, StoreUnavailable, StoreRecovered, EntryIgnored, EvacuationChanged, PeerCatalogUnread, CatalogConfirmed, CatalogUnconfirmed, StoreProbed, StoreAnswers, StoreRestored, StoreEraUnusable, WrittenAgain,
		RequestFailed, RequestRetried, RequestPlaced, CrashRecorded, RequestAnswered, RequestWaits, RequestSilent, RequestAbandoned, ChoiceRevoked, RequestsQuarantined, SuspicionCleared, BanNotStored, TrialBegun, RequestHopeless,
		EndpointSuspect, EndpointWarm, OrderGiven, EndpointChanged, EndpointGone, WeightsNamed, WeightsLoaded,
		OrderFailed, StoreState, EndpointAvoided, EndpointLeaving, EndpointQuiet, EndpointsUnreachable, EndpointsReachable, DetourFailed, DetourRefused, EndpointsBrittle,
		UpgradeOrdered, UpgradeStopped, UpgradeCompleted, UpgradeRolledBack, UpgradeNotWritten, UpgradeRemoved, UpgradeStatus, VersionsMixed, OriginSought, OriginTold, EndpointSlow, BadLoad, OriginsToldAgain, StartRead, FingerprintBanned, ClaimSettleFailed, PeerFailed, PeerLost, PeerRecovered, OwnerUnresponsive, WatcherAvoided, RelayAvoided,
		ServerFailed, LinesDropped, DaemonStalled, MemoryRefused, ConnectionRefused, HolderEvicted,
	}
}

// New returns a logger that writes to out in "json" or "text" form.
func New(out io.Writer, level, format string) (*Logger, error) {
	l := logrus.New()
	l.SetOutput(out)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l.SetLevel(parsed)
	if format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return &Logger{out: l}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return &Logger{out: l}
}

// maxLinesPerSecond limits the lines of each event.
const maxLinesPerSecond = 200

// Emit writes one event unless its level is disabled or its limit is reached.
func (l *Logger) Emit(e Event, fields Fields) {
	if !l.out.IsLevelEnabled(e.Level) {
		return
	}
	suppressed, ok := l.admit(e.Number, time.Now().Unix())
	if !ok {
		return
	}
	all := make(logrus.Fields, len(fields)+2)
	maps.Copy(all, fields)
	all["event"] = e.Number
	if suppressed > 0 {
		all["suppressed"] = suppressed
	}
	l.out.WithFields(all).Log(e.Level, e.Text)
}

// admit counts a line of an event. It reports whether the line may be written and
// how many lines of the event were suppressed since the last one written.
func (l *Logger) admit(number int, second int64) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[int]*lineCount{}
	}
	c, found := l.counts[number]
	if !found {
		c = &lineCount{}
		l.counts[number] = c
	}
	if c.second != second {
		c.second, c.lines = second, 0
	}
	if c.lines >= maxLinesPerSecond {
		c.suppressed++
		return 0, false
	}
	c.lines++
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}

// Page returns the page of all events as Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nThis page is generated by `make docs`; CI compares it with the code.\n\n")
	b.WriteString("| number | level | text | what to do |\n|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Text, e.Action)
	}
	return b.String()
}
