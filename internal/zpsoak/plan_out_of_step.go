package zpsoak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// In one of outOfStepEvery seeds, all endpoints have the older software version at first, and
	// daemons are out of step while endpoints of the newer one join.
	outOfStepEvery = 5
	outOfStepSeed  = 3
	// outOfStepSlack is the range of the time at which daemons get out of step, which is at the
	// end of the faults: all daemons have run for long by then.
	outOfStepSlack = time.Second
	// outOfStepLead is how long daemons have been out of step when the first endpoint joins. The
	// others take them for lost by then.
	outOfStepLead = 1500 * time.Millisecond
	// storeCutLead is that of daemons that are cut off from the store, which refuse streams once
	// the store has not confirmed their configuration for a few seconds.
	storeCutLead  = 300 * time.Millisecond
	outOfStepTime = 6 * time.Second
	pauseTime     = 4 * time.Second // shorter, as callers wait meanwhile
	// outOfStepTail is how long streams are taken up there after that.
	outOfStepTail  = time.Second
	joinInterval   = 200 * time.Millisecond
	movingInterval = 20 * time.Millisecond
)

// outOfStepWays are the ways in which daemons get out of step, in the order of the seeds.
var outOfStepWays = [][]Kind{{PeersCut}, {PeersCut, StoreCut}, {DaemonPause}, {StoreCut}}

// isOutOfStepRun reports whether daemons are out of step in a run, in the plain shape or in one
// that is drawn.
func isOutOfStepRun(seed uint64) bool { return isPlainRun(seed) || isDrawnRun(seed) }

func isPlainRun(seed uint64) bool { return seed%outOfStepEvery == outOfStepSeed }

func isDrawnRun(seed uint64) bool { return seed%outOfStepEvery == drawnSeed }

// firstVersion returns the software version with which an endpoint begins the run.
func (s *cluster) firstVersion(endpoint int) string {
	if isOutOfStepRun(s.Seed) {
		return versions[0]
	}
	return versions[endpoint/len(domains)%cmp.Or(s.SoftwareVersions, len(versions))]
}

// planOutOfStep adds the faults of daemons that are out of step to the plans of some seeds, and
// leaves out their other faults, and those of the time that would keep streams from being taken
// up there.
func planOutOfStep(plan []Fault, seed uint64, length time.Duration, daemons, endpoints, domains int) []Fault {
	if !isOutOfStepRun(seed) {
		return plan
	}
	random := rand.New(rand.NewPCG(seed, uint64(length)+1))
	if isDrawnRun(seed) {
		return planDrawn(plan, random, length, daemons, endpoints, domains)
	}
	ways := outOfStepWays[seed/outOfStepEvery%uint64(len(outOfStepWays))]
	lead, lasts := outOfStepLead, outOfStepTime
	switch {
	case slices.Contains(ways, DaemonPause):
		lasts = pauseTime
	case slices.Contains(ways, StoreCut):
		lead = storeCutLead
	}
	end := length - recoveryTime - time.Duration(random.Int64N(int64(outOfStepSlack)))
	from := end - lasts - outOfStepTail
	// One daemon, or those of its failure domain.
	list := strandedDaemons(random.IntN(2), random.IntN(daemons), daemons, domains)
	updated := random.Perm(endpoints)[:endpoints/2]
	joinAt := from + lead
	plan = slices.DeleteFunc(plan, func(f Fault) bool {
		isOwn := isOwnFault(f.Kind) && slices.Contains(list, f.Target)
		return isOwn || f.At < end && from-faultSettleTime < f.At+f.Duration && f.preventsTakingUp(updated)
	})
	for _, d := range list {
		for _, kind := range ways {
			plan = append(plan, Fault{Kind: kind, At: from, Target: d, Duration: lasts})
		}
	}
	for n, e := range updated {
		plan = append(plan, Fault{Kind: EndpointUpdate, At: joinAt + time.Duration(n)*joinInterval, Target: e, Version: versions[1]})
	}
	return append(plan, Fault{Kind: OutOfStep, At: joinAt, Duration: end - joinAt, Daemons: list}, Fault{Kind: StreamsBreak, At: joinAt, Duration: end - joinAt})
}

// preventsTakingUp reports whether a fault may keep streams from breaking off at the endpoints
// that join, or from being taken up.
func (f Fault) preventsTakingUp(updated []int) bool {
	switch f.Kind {
	case StoreDown, StoreSlow, StoreRestore, Evacuate, AnswersBreak, StreamsBreak, ResumeWrong:
		return true
	case EndpointCrash, EndpointDrain, EndpointLeave, EndpointQuiet:
		return slices.Contains(updated, f.Target)
	default:
		return isStranded(f.Kind)
	}
}

func (i *injector) applyOutOfStep(ctx context.Context, f Fault) {
	switch f.Kind {
	case PeersCut, PeersMute, PeersDeaf:
		i.cutPeers(ctx, f)
	case OutOfStep:
		i.sendMoving(ctx, f)
	case StoreForget:
		i.cluster.store.DiscardHistory()
	default:
		i.update(f)
	}
}

func (i *injector) cutPeers(ctx context.Context, f Fault) {
	in, out := i.cluster.peerLinks(f.Target, f.Daemons)
	mutes, deafens := f.Kind != PeersDeaf, f.Kind != PeersMute
	in.setClientMode(LinkMode{HoldToTarget: deafens, HoldFromTarget: mutes})
	out.setClientMode(LinkMode{HoldToTarget: mutes, HoldFromTarget: deafens})
	sleep(ctx, f.Duration)
	in.setClientMode(LinkMode{})
	out.setClientMode(LinkMode{})
}

// update restarts an endpoint with another software version. Requests in progress go on.
func (i *injector) update(f Fault) {
	e := i.cluster.endpoints[f.Target]
	name, _ := e.Entry()
	i.cluster.store.Remove("servers", name)
	e.StartVersion(fmt.Sprintf("i-%d", f.Target), f.Version, 0)
	i.cluster.register(e)
}

// sendMoving sends streams to the daemons that are in step, without waiting for responses. When
// one breaks off, its client takes it up at a daemon that is out of step.
func (r *run) sendMoving(ctx context.Context, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		if daemon := n % r.cluster.Daemons; !slices.Contains(f.Daemons, daemon) {
			q := request{ID: fmt.Sprintf("m-%d-%d", daemon, n), Kind: "stream", Daemon: daemon}
			t := takeUp{Daemons: r.cluster.daemonsFrom(f.Daemons[n%len(f.Daemons)])}
			if len(f.Shape) > 0 {
				t = r.cluster.drawnTakeUp(t.Daemons, daemon, n/r.cluster.Daemons)
			}
			r.sending.Go(func() { r.sendStream(ctx, client, q, t) })
		}
		sleep(ctx, movingInterval)
	}
}
