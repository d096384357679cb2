package zpsoak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Stranded says which daemons are cut off from which endpoints.
type Stranded struct {
	Daemons   []int
	Endpoints []int // nil: all
}

const (
	// strandedInterval is the time in which daemons are stranded once, for minStranded and up to
	// extraStranded.
	strandedInterval = 10 * time.Second
	minStranded      = 6 * time.Second
	extraStranded    = 3 * time.Second
	// partialOneIn is the number of these faults of which, on average, one leaves some endpoints
	// within reach.
	partialOneIn = 4
	// calmOneIn is the number of them of which, on average, one is calm.
	calmOneIn = 2
	// hopFaults is the number of faults of daemons that are not cut off during each of them.
	hopFaults        = 2
	maxHopFault      = 1500 * time.Millisecond
	endpointSilences = 4
	endpointSilence  = time.Second
)

var (
	strandedKinds = []Kind{StrandedHang, StrandedReset, StrandedRefuse}
	hopKinds      = []Kind{DaemonKill, DaemonPause, DaemonStop, PeerCut}
)

func isStranded(k Kind) bool { return slices.Contains(strandedKinds, k) }

func planSilences(random *rand.Rand, length time.Duration, endpoints int) (out []Fault) {
	for range endpointSilences {
		at := warmUp + time.Duration(random.Int64N(int64(length-recoveryTime-warmUp-endpointSilence)))
		out = append(out, Fault{Kind: EndpointSilent, At: at, Target: random.IntN(endpoints), Duration: endpointSilence})
	}
	return out
}

// planStranded plans daemons that are cut off from endpoints, one time after the other, and
// faults of the other daemons meanwhile. While calm ones last, daemons have no faults of their own.
func planStranded(random *rand.Rand, length time.Duration, daemons, endpoints, domains int) (out, calm []Fault) {
	end := length - recoveryTime
	for from := warmUp; from+minStranded <= end; from += strandedInterval {
		f := Fault{Kind: strandedKinds[random.IntN(len(strandedKinds))], At: from, Target: random.IntN(daemons)}
		f.Duration = min(minStranded+time.Duration(random.Int64N(int64(extraStranded))), end-from)
		f.Stranded.Daemons = strandedDaemons(random.IntN(3), f.Target, daemons, domains)
		if random.IntN(partialOneIn) == 0 {
			f.Stranded.Endpoints = random.Perm(endpoints)[:endpoints/2]
		}
		out = append(out, f)
		if random.IntN(calmOneIn) == 0 {
			calm = append(calm, f)
			continue
		}
		for range hopFaults {
			hop := Fault{Kind: hopKinds[random.IntN(len(hopKinds))], Target: random.IntN(daemons)}
			for slices.Contains(f.Stranded.Daemons, hop.Target) {
				hop.Target = (hop.Target + 1) % daemons
			}
			hop.At = from + time.Duration(random.Int64N(int64(f.Duration-maxHopFault)))
			hop.Duration = minFaultDuration + time.Duration(random.Int64N(int64(maxHopFault-minFaultDuration)))
			out = append(out, hop)
		}
	}
	return out, calm
}

// overlaps reports whether a fault is active in the interval of one of those that strand daemons.
func (f Fault) overlaps(stranded []Fault) bool {
	return slices.ContainsFunc(stranded, func(t Fault) bool { return f.At < t.At+strandedInterval && t.At < f.At+f.Duration })
}

// strandedDaemons returns one daemon, those of its failure domain, or most.
func strandedDaemons(extent, first, daemons, domains int) (out []int) {
	switch extent {
	case 0:
		return []int{first}
	case 1:
		for d := first % domains; d < daemons; d += domains {
			out = append(out, d)
		}
	default:
		for n := range daemons * 2 / 3 {
			out = append(out, (first+n)%daemons)
		}
	}
	return out
}
