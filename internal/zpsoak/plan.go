// Package zpsoak is a soak test with fault injection. It runs daemons as separate
// processes on loopback against a simulated platform, injects faults from a seeded
// plan while clients send requests, and checks the documented guarantees against
// what clients and endpoints recorded.
package zpsoak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// Fault is a planned fault.
	Fault struct {
		Kind     Kind
		Target   int // index of a daemon, endpoint or failure domain, depending on Kind
		At       time.Duration
		Duration time.Duration
		Stranded Stranded // only of kinds that cut daemons off from endpoints
		Daemons  []int    // of OutOfStep; of cuts between daemons: those that still hear the target
		Version  string   // software version with which an endpoint starts again; empty: the same
		OneIn    int      // of StreamsBreak: the number of streams of which one breaks off; zero: brokenStreamOneIn
		Shape    []string // only of OutOfStep: what was drawn; empty: the plain shape
	}

	// Kind is the kind of a fault.
	Kind string
)

// Kinds of faults.
const (
	DaemonStop    Kind = "daemon_stop"   // SIGTERM, then restart
	DaemonKill    Kind = "daemon_kill"   // SIGKILL, then restart
	DaemonPause   Kind = "daemon_pause"  // SIGSTOP and SIGCONT
	StoreCut      Kind = "store_cut"     // data between one daemon and the store is held in both directions
	StoreOneWay   Kind = "store_one_way" // responses of the store to one daemon are held
	StoreSilent   Kind = "store_silent"  // responses of the store to one daemon are lost, and nothing follows on their connections
	StoreReset    Kind = "store_reset"   // one daemon's connections to the store are reset
	StoreDown     Kind = "store_down"    // the store refuses all requests
	StoreLose     Kind = "store_lose"    // responses to writes are lost
	StoreLate     Kind = "store_late"    // writes take effect late
	StoreSlow     Kind = "store_slow"    // each response of the store is delayed
	StoreRestore  Kind = "store_restore" // the store is down, and comes back from an older copy
	StoreForget   Kind = "store_forget"  // the store discards its history
	PeerCut       Kind = "peer_cut"      // data from other daemons to one daemon is held
	PeerSlow      Kind = "peer_slow"     // connections from other daemons to one daemon are slow
	EndpointCut   Kind = "endpoint_cut"  // data to and from an endpoint is held
	EndpointMute  Kind = "endpoint_mute" // data from an endpoint is held
	EndpointReset Kind = "endpoint_reset"
	EndpointSlow  Kind = "endpoint_slow"
	EndpointCrash Kind = "endpoint_crash" // cold restart under a new ID
	EndpointDrain Kind = "endpoint_drain"
	EndpointLeave Kind = "endpoint_leave" // says so in its responses only, then restarts cold under a new ID
	EndpointQuiet Kind = "endpoint_quiet" // rejects requests and says for how long
	AnswersBreak  Kind = "answers_break"  // all endpoints run requests but cut their responses short
	StreamsBreak  Kind = "streams_break"  // all endpoints cut some streams short after some events
	ResumeWrong   Kind = "resume_wrong"   // an endpoint resumes streams at another event than it is asked to
	Evacuate      Kind = "evacuate"
	Reconfigure   Kind = "reconfigure"
	DeadlyPart    Kind = "deadly_part" // a client sends prompts with a part that crashes endpoints
	// EndpointSilent holds data from a sound endpoint for about a second. It is no excuse.
	EndpointSilent Kind = "endpoint_silent"
	// Daemons are cut off from endpoints; callers, the store and other daemons still reach them.
	StrandedHang   Kind = "daemon_stranded_hang"   // data is held, and new connections hang
	StrandedReset  Kind = "daemon_stranded_reset"  // connections are reset, and new ones refused
	StrandedRefuse Kind = "daemon_stranded_refuse" // connections go on, and new ones are refused
	// A daemon is out of step while endpoints of a new software version join, see planOutOfStep.
	PeersCut       Kind = "peers_cut"          // data between one daemon and all others is held in both directions
	PeersMute      Kind = "peers_mute"         // data from one daemon to all others is held
	PeersDeaf      Kind = "peers_deaf"         // data from all other daemons to one is held
	OutOfStep      Kind = "daemon_out_of_step" // streams break off, and are taken up at the daemons that are out of step
	EndpointUpdate Kind = "endpoint_update"    // restarts under a new ID with another software version
)

// faultSpec defines how often a kind of fault occurs and how long it lasts.
type faultSpec struct {
	kind        Kind
	weight      int
	maxExtra    time.Duration // upper limit of the random part, added to the minimum
	minDuration time.Duration // minFaultDuration if shorter
}

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
	// recoveryTime is the time without faults at the end of a run, in which all
	// daemons must recover.
	recoveryTime = 8 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. It is
	// short enough for faults to overlap.
	meanFaultInterval = 900 * time.Millisecond
	minFaultDuration  = 200 * time.Millisecond
	// repeatPercent is the percentage of faults that are repeated shortly after they end.
	repeatPercent = 20
	// minDeadlyPart is long enough for requests to follow the time limit after the
	// last crash that is allowed.
	minDeadlyPart = 9 * time.Second
	// storeSilences is the number of times that the store is silent in a run, each for up
	// to maxStoreSilence.
	storeSilences   = 3
	maxStoreSilence = 1600 * time.Millisecond
	// storeRestores is the number of times in a run that the store comes back from an older
	// copy, each after it was down for up to maxRestoreOutage.
	storeRestores    = 4
	maxRestoreOutage = 1500 * time.Millisecond
	// streamBreaks is the number of times in a run that streams break off, each while one
	// endpoint resumes them wrongly.
	streamBreaks   = 3
	minStreamBreak = 2 * time.Second
	// endpointNotices is the number of times in a run that endpoints say that they leave, and
	// that they want no requests, each for minNotice and up to extraNotice.
	endpointNotices = 2
	minNotice       = 4 * time.Second
	extraNotice     = 2 * time.Second
)

var faultSpecs = []faultSpec{
	{DaemonStop, 3, 1500 * time.Millisecond, 0},
	{DaemonKill, 3, 1500 * time.Millisecond, 0},
	{DaemonPause, 3, 3 * time.Second, 0},
	{StoreCut, 2, 4 * time.Second, 0},
	{StoreOneWay, 2, 4 * time.Second, 0},
	{StoreReset, 2, time.Second, 0},
	{StoreDown, 2, 4 * time.Second, 0},
	{StoreLose, 2, 3 * time.Second, 0},
	{StoreLate, 2, 3 * time.Second, 0},
	{StoreSlow, 1, 3 * time.Second, 0},
	{PeerCut, 2, 3 * time.Second, 0},
	{PeerSlow, 1, 3 * time.Second, 0},
	{EndpointCut, 2, 3 * time.Second, 0},
	{EndpointMute, 2, 3 * time.Second, 0},
	{EndpointReset, 3, time.Second, 0},
	{EndpointSlow, 2, 3 * time.Second, 0},
	{EndpointCrash, 3, time.Second, 0},
	{EndpointDrain, 2, 4 * time.Second, zpoutside.DrainMS * time.Millisecond},
	{AnswersBreak, 1, 3 * time.Second, time.Second},
	{Evacuate, 2, 4 * time.Second, zpoutside.EvacuateMS*time.Millisecond + time.Second},
	{Reconfigure, 4, 0, 0},
	{DeadlyPart, 0, 0, 0},  // once in each run, see Plan
	{StoreSilent, 0, 0, 0}, // these are planned a fixed number of times in each run, see Plan
	{EndpointLeave, 0, 0, 0},
	{EndpointQuiet, 0, 0, 0},
	{StoreRestore, 0, 0, 0},
	{StreamsBreak, 0, 0, 0},
	{ResumeWrong, 0, 0, 0},
	{EndpointSilent, 0, 0, 0},
	{StrandedHang, 0, 0, 0},
	{StrandedReset, 0, 0, 0},
	{StrandedRefuse, 0, 0, 0},
	{StoreForget, 0, 0, 0},
	{PeersCut, 0, 0, 0},
	{PeersMute, 0, 0, 0},
	{PeersDeaf, 0, 0, 0},
	{OutOfStep, 0, 0, 0},
	{EndpointUpdate, 0, 0, 0},
}

// Plan returns the faults of a run, drawn at random. Equal arguments give equal
// plans.
func Plan(seed uint64, length time.Duration, daemons, endpoints, domains int) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	total := 0
	for _, s := range faultSpecs {
		total += s.weight
	}
	var out []Fault
	for at := warmUp; at < length-recoveryTime; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		s := pickSpec(random.IntN(total))
		f := Fault{Kind: s.kind, At: at, Target: random.IntN(targetCount(s.kind, daemons, endpoints, domains))}
		if s.maxExtra > 0 {
			f.Duration = max(s.minDuration, minFaultDuration) + time.Duration(random.Int64N(int64(s.maxExtra)))
			f.Duration = min(f.Duration, length-recoveryTime-at)
		}
		out = append(out, f)
		if repeatAt := f.At + f.Duration + minFaultDuration; random.IntN(100) < repeatPercent && repeatAt+f.Duration < length-recoveryTime {
			f.At = repeatAt
			out = append(out, f)
		}
	}
	if slack := length - recoveryTime - warmUp - minDeadlyPart; slack > 0 {
		at := warmUp + time.Duration(random.Int64N(int64(slack)))
		out = append(out, Fault{Kind: DeadlyPart, At: at, Duration: length - recoveryTime - at})
	}
	for range storeSilences {
		at := warmUp + time.Duration(random.Int64N(int64(length-recoveryTime-warmUp)))
		d := minFaultDuration + time.Duration(random.Int64N(int64(maxStoreSilence-minFaultDuration)))
		out = append(out, Fault{Kind: StoreSilent, At: at, Target: random.IntN(daemons), Duration: min(d, length-recoveryTime-at)})
	}
	for _, kind := range []Kind{EndpointLeave, EndpointQuiet} {
		for range endpointNotices {
			at := warmUp + time.Duration(random.Int64N(int64(length-recoveryTime-warmUp)))
			d := minNotice + time.Duration(random.Int64N(int64(extraNotice)))
			out = append(out, Fault{Kind: kind, At: at, Target: random.IntN(endpoints), Duration: min(d, length-recoveryTime-at)})
		}
	}
	for range storeRestores {
		at := warmUp + time.Duration(random.Int64N(int64(length-recoveryTime-warmUp)))
		d := minFaultDuration + time.Duration(random.Int64N(int64(maxRestoreOutage-minFaultDuration)))
		out = append(out, Fault{Kind: StoreRestore, At: at, Duration: min(d, length-recoveryTime-at)})
	}
	for range streamBreaks {
		at := warmUp + time.Duration(random.Int64N(int64(length-recoveryTime-warmUp)))
		d := min(minStreamBreak, length-recoveryTime-at)
		out = append(out, Fault{Kind: StreamsBreak, At: at, Duration: d}, Fault{Kind: ResumeWrong, At: at, Target: random.IntN(endpoints), Duration: d})
	}
	out = append(out, planSilences(random, length, endpoints)...)
	stranded, calm := planStranded(random, length, daemons, endpoints, domains)
	out = append(slices.DeleteFunc(out, func(f Fault) bool { return isOwnFault(f.Kind) && f.overlaps(calm) }), stranded...)
	out = planOutOfStep(out, seed, length, daemons, endpoints, domains)
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

func pickSpec(n int) faultSpec {
	for _, s := range faultSpecs {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	return faultSpecs[0]
}

// targetCount returns the number of possible targets of a kind of fault.
func targetCount(k Kind, daemons, endpoints, domains int) int {
	switch k {
	case DaemonStop, DaemonKill, DaemonPause, StoreCut, StoreOneWay, StoreSilent, StoreReset, PeerCut, PeerSlow, PeersCut, PeersMute, PeersDeaf:
		return daemons
	case EndpointCut, EndpointMute, EndpointReset, EndpointSlow, EndpointCrash, EndpointDrain, EndpointLeave, EndpointQuiet, EndpointSilent, EndpointUpdate, ResumeWrong:
		return endpoints
	case Evacuate:
		return domains
	default:
		return 1
	}
}
