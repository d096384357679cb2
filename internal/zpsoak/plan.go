// Package zpsoak runs the daemon as separate processes on loopback against
// stand-ins of the users' platform, injects faults from outside by a seeded plan
// while callers send requests, and judges from what callers and endpoints see
// whether the promises held.
package zpsoak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// Fault is one fault of a plan.
	Fault struct {
		Kind   Kind
		Target int // daemon, endpoint or failure domain, by kind
		At     time.Duration
		For    time.Duration
	}

	// Kind names a fault.
	Kind string
)

// Faults.
const (
	DaemonStop    Kind = "daemon_stop"   // SIGTERM, then a new start
	DaemonKill    Kind = "daemon_kill"   // SIGKILL, then a new start
	DaemonPause   Kind = "daemon_pause"  // SIGSTOP and SIGCONT
	StoreCut      Kind = "store_cut"     // one daemon's connections to the store go silent
	StoreOneWay   Kind = "store_one_way" // answers of the store are held back from one daemon
	StoreReset    Kind = "store_reset"   // one daemon's connections to the store are reset
	StoreDown     Kind = "store_down"    // the store refuses all
	StoreLose     Kind = "store_lose"    // answers to writes are lost
	StoreLate     Kind = "store_late"    // writes take effect late
	StoreSlow     Kind = "store_slow"    // each answer of the store is late
	PeerCut       Kind = "peer_cut"      // nothing reaches one daemon from others
	PeerSlow      Kind = "peer_slow"     // messages to one daemon are late
	EndpointCut   Kind = "endpoint_cut"  // nothing reaches an endpoint
	EndpointMute  Kind = "endpoint_mute" // nothing comes back from it
	EndpointReset Kind = "endpoint_reset"
	EndpointSlow  Kind = "endpoint_slow"
	EndpointCrash Kind = "endpoint_crash" // a new life under another id, cold
	EndpointDrain Kind = "endpoint_drain"
	AnswersBreak  Kind = "answers_break" // all endpoints run requests and break off the answers
	Evacuate      Kind = "evacuate"
	Reconfigure   Kind = "reconfigure"
)

// shape says how often and how long a fault comes.
type shape struct {
	kind    Kind
	weight  int
	longest time.Duration // beyond its least
	least   time.Duration // zero: shortestFor
}

const (
	// warmUp is the time before the first fault.
	warmUp = 2 * time.Second
	// quietEnd is the time without faults in which everything must recover.
	quietEnd = 8 * time.Second
	// meanGap is the mean pause between two faults, which lets them overlap.
	meanGap     = 900 * time.Millisecond
	shortestFor = 200 * time.Millisecond
	// seriesShare is the part of faults, in hundredths, that come again at once.
	seriesShare = 20
)

var shapes = []shape{
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
}

// Plan draws the faults of a run. Equal seeds give equal plans.
func Plan(seed uint64, length time.Duration, daemons, endpoints, domains int) []Fault {
	random := rand.New(rand.NewPCG(seed, uint64(length)))
	total := 0
	for _, s := range shapes {
		total += s.weight
	}
	var out []Fault
	for at := warmUp; at < length-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		s := draw(random.IntN(total))
		f := Fault{Kind: s.kind, At: at, Target: random.IntN(targets(s.kind, daemons, endpoints, domains))}
		if s.longest > 0 {
			f.For = max(s.least, shortestFor) + time.Duration(random.Int64N(int64(s.longest)))
			f.For = min(f.For, length-quietEnd-at)
		}
		out = append(out, f)
		if again := f.At + f.For + shortestFor; random.IntN(100) < seriesShare && again+f.For < length-quietEnd {
			f.At = again
			out = append(out, f)
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

func draw(n int) shape {
	for _, s := range shapes {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	return shapes[0]
}

// targets returns of how many things a fault hits one.
func targets(k Kind, daemons, endpoints, domains int) int {
	switch k {
	case DaemonStop, DaemonKill, DaemonPause, StoreCut, StoreOneWay, StoreReset, PeerCut, PeerSlow:
		return daemons
	case EndpointCut, EndpointMute, EndpointReset, EndpointSlow, EndpointCrash, EndpointDrain:
		return endpoints
	case Evacuate:
		return domains
	default:
		return 1
	}
}
