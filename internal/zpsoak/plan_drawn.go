package zpsoak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

type (
	// outOfStepShape is a way in which daemons get out of step while endpoints of other software
	// versions join. All parts are drawn independently of each other.
	outOfStepShape struct {
		extent  string // of the daemons
		daemons []int
		ways    []Kind
		isShort bool
		begin   string // when daemons get out of step, as seen from the first endpoint that joins
		lead    time.Duration
		lasts   []time.Duration // in each of the ways
		gap     time.Duration   // after which they are out of step again; zero: once
		release string          // what follows the first release
		after   time.Duration   // from the first endpoint that joins to that
		strikes int             // faults of daemons that are in step
		isCalm  bool            // without other faults of the platform
		forgets bool            // the store discards its history after each of the releases
	}

	span struct{ from, to time.Duration }
)

const (
	drawnSeed    = 4 // of each outOfStepEvery seeds, see isDrawnRun
	thirdVersion = "v3"
	forgetDelay  = time.Second // after a release begins, longer than its endpoints take to join

	// drawnTime is the time for which streams are taken up at the daemons that are out of step, or
	// were, of which drawnLead is before the first endpoint joins.
	drawnTime = 10 * time.Second
	drawnLead = 2500 * time.Millisecond
	// minStrike and maxStrike bound faults of daemons that are in step.
	minStrike        = 200 * time.Millisecond
	maxStrike        = 1500 * time.Millisecond
	maxStrikes       = 4
	drawnBrokenOneIn = 1 // more streams are taken up than in the plain shape
	calmDrawn        = 3 // the number of drawn runs of which, on average, one is calm
)

// What follows the first release.
const (
	releaseSecond  = "second"  // nothing
	releaseThird   = "third"   // other endpoints get a third version
	releaseBack    = "back"    // the endpoints are taken back to the version before
	releaseCrashes = "crashes" // the endpoints crash and come back with the version before
	releaseLeaves  = "leaves"  // the endpoints leave, and others with the version before join
)

// Ways in which clients take streams up.
const (
	wayAtOnce  = "at_once"
	wayLate    = "late"
	wayUnnamed = "unnamed"
	wayTwice   = "twice" // refused at a daemon that is out of step, then at another, then at the first again
)

var (
	drawnWays     = [][]Kind{{PeersCut}, {PeersCut, StoreCut}, {StoreCut}, {DaemonPause}, {PeersMute}, {PeersDeaf}, {PeersMute, StoreCut}}
	drawnExtents  = []string{"one", "domain", "group"}
	drawnReleases = []string{releaseSecond, releaseThird, releaseBack, releaseCrashes, releaseLeaves}
	drawnBegins   = []string{"before", "at", "after"}
	// drawnLeads are by drawnBegins. A negative one follows the first endpoint.
	drawnLeads  = []span{{300 * time.Millisecond, drawnLead}, {-50 * time.Millisecond, 50 * time.Millisecond}, {-1500 * time.Millisecond, -100 * time.Millisecond}}
	shortPause  = span{300 * time.Millisecond, time.Second}
	longPause   = span{time.Second, 4 * time.Second}
	shortCut    = span{500 * time.Millisecond, 2 * time.Second}
	longCut     = span{2 * time.Second, 6 * time.Second}
	drawnGap    = span{300 * time.Millisecond, 1200 * time.Millisecond}
	drawnAfter  = span{500 * time.Millisecond, 3500 * time.Millisecond}
	strikeKinds = []Kind{DaemonKill, DaemonKill, DaemonPause, PeersCut}
	callerWays  = []string{wayAtOnce, wayAtOnce, wayLate, wayTwice, wayUnnamed}
	lateDelays  = []time.Duration{time.Second, 3 * time.Second}
)

func (s span) draw(random *rand.Rand) time.Duration {
	return s.from + time.Duration(random.Int64N(int64(s.to-s.from)))
}

func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

func drawShape(random *rand.Rand, daemons, domains int) outOfStepShape {
	s := outOfStepShape{
		extent: pick(random, drawnExtents), ways: pick(random, drawnWays), isShort: random.IntN(2) == 0, release: pick(random, drawnReleases),
		after: drawnAfter.draw(random), strikes: random.IntN(maxStrikes), isCalm: random.IntN(calmDrawn) == 0,
	}
	first := random.IntN(daemons)
	switch s.extent {
	case "one":
		s.daemons = []int{first}
	case "domain":
		s.daemons = strandedDaemons(1, first, daemons, domains)
	default:
		s.daemons = []int{first, (first + 1) % daemons} // of two failure domains
	}
	begin := random.IntN(len(drawnBegins))
	s.begin, s.lead = drawnBegins[begin], drawnLeads[begin].draw(random)
	for _, kind := range s.ways {
		s.lasts = append(s.lasts, lengthsOf(kind, s.isShort).draw(random))
	}
	if random.IntN(2) == 0 {
		s.gap = drawnGap.draw(random)
	}
	s.forgets = random.IntN(2) == 0
	return s
}

// lengthsOf returns for how long daemons may be out of step in a way.
func lengthsOf(kind Kind, isShort bool) span {
	switch {
	case kind == DaemonPause && isShort:
		return shortPause
	case kind == DaemonPause:
		return longPause
	case isShort:
		return shortCut
	default:
		return longCut
	}
}

// labels returns the parts of the shape by which streams are counted.
func (s outOfStepShape) labels() []string {
	names := make([]string, len(s.ways))
	for n, kind := range s.ways {
		names[n] = string(kind)
	}
	length, repeats, sky, history := "long", "once", "beside_others", "history_kept"
	if s.isShort {
		length = "short"
	}
	if s.gap > 0 {
		repeats = "repeated"
	}
	if s.isCalm {
		sky = "calm"
	}
	if s.forgets {
		history = "history_lost"
	}
	return []string{"begins_" + s.begin, length, repeats, strings.Join(names, "+"), "cut_" + s.extent, "release_" + s.release, sky, history}
}

// planDrawn adds daemons that are out of step in a shape that is drawn.
func planDrawn(plan []Fault, random *rand.Rand, length time.Duration, daemons, endpoints, domains int) []Fault {
	s := drawShape(random, daemons, domains)
	end := length - recoveryTime - time.Duration(random.Int64N(int64(outOfStepSlack)))
	from := end - drawnTime
	joinAt := from + drawnLead
	order := random.Perm(endpoints)
	updated, others := order[:endpoints/2], order[endpoints/2:]
	plan = slices.DeleteFunc(plan, func(f Fault) bool {
		if f.At >= end || from-faultSettleTime >= f.At+f.Duration {
			return false
		}
		isOwn := isOwnFault(f.Kind) && slices.Contains(s.daemons, f.Target)
		return isOwn || f.Kind == AnswersBreak || f.Kind == StreamsBreak || isStranded(f.Kind) || s.isCalm && f.preventsTakingUp(updated)
	})
	plan = append(plan, s.cuts(joinAt, end)...)
	for n, e := range updated {
		plan = append(plan, Fault{Kind: EndpointUpdate, At: joinAt + time.Duration(n)*joinInterval, Target: e, Version: versions[1]})
	}
	plan = append(plan, s.planNextRelease(random, joinAt, updated, others)...)
	plan = append(plan, s.planStrikes(random, joinAt, end, daemons)...)
	return append(plan, Fault{Kind: OutOfStep, At: from, Duration: end - from, Daemons: s.daemons, Shape: s.labels()}, Fault{Kind: StreamsBreak, At: from, Duration: end - from, OneIn: drawnBrokenOneIn})
}

// cuts returns the faults by which daemons are out of step, until the end at most.
func (s outOfStepShape) cuts(joinAt, end time.Duration) (out []Fault) {
	longest := slices.Max(s.lasts)
	for at := joinAt - s.lead; at+longest <= end; at += longest + s.gap {
		for _, d := range s.daemons {
			for n, kind := range s.ways {
				f := Fault{Kind: kind, At: at, Target: d, Duration: s.lasts[n]}
				if s.extent == "group" && isPeersCut(kind) {
					f.Daemons = s.daemons
				}
				out = append(out, f)
			}
		}
		if s.gap == 0 {
			break
		}
	}
	return out
}

// planNextRelease plans what follows the first release.
func (s outOfStepShape) planNextRelease(random *rand.Rand, joinAt time.Duration, updated, others []int) (out []Fault) {
	at := joinAt + time.Duration(len(updated)-1)*joinInterval + s.after
	add := func(f Fault, targets []int) {
		for n, e := range targets {
			f.Target, f.At = e, at+time.Duration(n)*joinInterval
			out = append(out, f)
		}
	}
	duration := minStrike + time.Duration(random.Int64N(int64(maxStrike-minStrike)))
	if s.forgets {
		for _, forgetAt := range []time.Duration{joinAt + forgetDelay, at + forgetDelay + duration} {
			out = append(out, Fault{Kind: StoreForget, At: forgetAt})
		}
	}
	switch s.release {
	case releaseThird:
		add(Fault{Kind: EndpointUpdate, Version: thirdVersion}, others)
	case releaseBack:
		add(Fault{Kind: EndpointUpdate, Version: versions[0]}, updated)
	case releaseCrashes:
		add(Fault{Kind: EndpointCrash, Version: versions[0], Duration: duration}, updated)
	case releaseLeaves:
		add(Fault{Kind: EndpointLeave, Version: versions[0], Duration: duration}, updated)
	}
	return out
}

// planStrikes plans faults of daemons that are in step, at which streams begin.
func (s outOfStepShape) planStrikes(random *rand.Rand, joinAt, end time.Duration, daemons int) (out []Fault) {
	for range s.strikes {
		target := random.IntN(daemons)
		for slices.Contains(s.daemons, target) {
			target = (target + 1) % daemons
		}
		at := joinAt + time.Duration(random.Int64N(int64(end-joinAt-maxStrike)))
		out = append(out, Fault{Kind: pick(random, strikeKinds), At: at, Target: target, Duration: minStrike + time.Duration(random.Int64N(int64(maxStrike-minStrike)))})
	}
	return out
}

func isPeersCut(k Kind) bool { return k == PeersCut || k == PeersMute || k == PeersDeaf }

// drawnTakeUp returns how a client takes up the nth stream that begins at a daemon.
func (s *cluster) drawnTakeUp(list []int, daemon, n int) takeUp {
	random := rand.New(rand.NewPCG(s.Seed, uint64(n*s.Daemons+daemon)))
	t := takeUp{Way: pick(random, callerWays), Daemons: list}
	switch t.Way {
	case wayLate:
		t.Delay = pick(random, lateDelays)
	case wayUnnamed:
		t.Unnamed = true
	case wayTwice:
		t.Daemons, t.Insists, t.Delay = []int{list[0], daemon, list[0]}, true, drawnGap.draw(random)
	}
	return t
}
