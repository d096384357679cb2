package zpsoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// injector executes a plan and records when each fault was active. It is safe
	// for concurrent use.
	injector struct {
		cluster     *cluster
		sendPrompts func(ctx context.Context, d time.Duration) // sound ones and ones with the deadly part
		sendSteady  func(ctx context.Context, d time.Duration) // to all daemons, whatever they answer
		sendMoving  func(ctx context.Context, f Fault)         // streams that are taken up at the daemons of f

		mu           sync.Mutex
		faultWindows []faultWindow
		versions     []change        // of the configuration
		evacuated    []change        // of failure domains
		drained      []change        // of endpoints
		incarnations []int           // number of restarts by daemon
		upgradedAt   map[int]int     // first incarnation of each upgraded daemon that runs the other build
		partCrashes  []time.Time     // by the deadly part, oldest first
		resumeFaults int             // number of times that an endpoint has resumed streams wrongly
		activeScopes map[string]bool // by Fault.scope
		errors       []error
	}

	// faultWindow is a period in which a fault was active.
	faultWindow struct {
		Kind     Kind
		Target   int
		Stranded Stranded
		Daemons  []int
		Shape    []string
		From, To time.Time // To is zero while the fault is active
	}

	// change is an update that an operator or an endpoint wrote to the store.
	change struct {
		Name    string
		Version int
		From    time.Time
		To      time.Time // of an evacuation or drain; zero while it lasts
	}
)

const (
	restoredAge  = 3 * time.Second
	rewriteDelay = 500 * time.Millisecond
	// brokenStreamOneIn is the number of streams of which one breaks off while streams break.
	brokenStreamOneIn = 3
)

var endpointModes = map[Kind]LinkMode{
	EndpointCut:    {HoldToTarget: true, HoldFromTarget: true},
	EndpointMute:   {HoldFromTarget: true},
	EndpointSilent: {HoldFromTarget: true},
	EndpointSlow:   {Delay: 150 * time.Millisecond},
}

// inject executes the plan. Faults overlap as planned, but a fault is skipped
// while another one of the same scope is active.
func (i *injector) inject(ctx context.Context, plan []Fault) {
	startedAt := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		sleep(ctx, f.At-time.Since(startedAt))
		if ctx.Err() != nil {
			break
		}
		if !i.begin(f) {
			continue
		}
		wg.Go(func() {
			defer i.end(f)
			if err := i.apply(ctx, f); err != nil {
				i.fail(f, err)
			}
		})
	}
	wg.Wait()
}

func (i *injector) fail(f Fault, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errors = append(i.errors, fmt.Errorf("fault %s on target %d: %w", f.Kind, f.Target, err))
}

// scope returns the resource that a fault locks. Signals to one daemon exclude
// each other, as do the modes of one link.
func (f Fault) scope() string {
	switch f.Kind {
	case DaemonStop, DaemonKill, DaemonPause:
		return fmt.Sprintf("daemon %d", f.Target)
	case StoreCut, StoreOneWay, StoreSilent, StoreReset:
		return fmt.Sprintf("store link %d", f.Target)
	case StoreDown, StoreLose, StoreLate, StoreSlow, StoreRestore:
		return "store"
	case PeerCut, PeerSlow:
		return fmt.Sprintf("peer link %d", f.Target)
	case EndpointCut, EndpointMute, EndpointReset, EndpointSlow, EndpointSilent:
		return fmt.Sprintf("endpoint link %d", f.Target)
	case PeersCut, PeersMute, PeersDeaf:
		return fmt.Sprintf("peer links %d", f.Target)
	case StrandedHang, StrandedReset, StrandedRefuse:
		return "stranded"
	case ResumeWrong:
		return "resumption"
	case EndpointCrash, EndpointDrain, EndpointLeave, EndpointQuiet, EndpointUpdate:
		return fmt.Sprintf("endpoint %d", f.Target)
	default:
		return string(f.Kind)
	}
}

// begin records the start of a fault. It returns false if the scope of the fault
// is in use.
func (i *injector) begin(f Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.activeScopes[f.scope()] {
		return false
	}
	i.activeScopes[f.scope()] = true
	i.faultWindows = append(i.faultWindows, faultWindow{Kind: f.Kind, Target: f.Target, Stranded: f.Stranded, Daemons: f.Daemons, Shape: f.Shape, From: time.Now()})
	return true
}

func (i *injector) end(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.activeScopes, f.scope())
	for n := len(i.faultWindows) - 1; n >= 0; n-- {
		if t := &i.faultWindows[n]; t.Kind == f.Kind && t.Target == f.Target && t.To.IsZero() {
			t.To = time.Now()
			return
		}
	}
}

func (i *injector) apply(ctx context.Context, f Fault) error {
	s := i.cluster
	switch f.Kind {
	case DaemonStop, DaemonKill, DaemonPause:
		return i.signal(ctx, f)
	case StoreCut:
		s.toStore[f.Target].setModeFor(ctx, LinkMode{HoldToTarget: true, HoldFromTarget: true}, f.Duration)
	case StoreOneWay:
		s.toStore[f.Target].setModeFor(ctx, LinkMode{HoldFromTarget: true}, f.Duration)
	case StoreSilent:
		s.toStore[f.Target].setModeFor(ctx, LinkMode{LoseFromTarget: true}, f.Duration)
	case StoreReset:
		s.toStore[f.Target].resetFor(ctx, f.Duration)
	case StoreDown:
		i.setStoreModeFor(ctx, zpoutside.StoreMode{Down: true}, f.Duration)
	case StoreLose:
		i.setStoreModeFor(ctx, zpoutside.StoreMode{DropResponseEvery: 2}, f.Duration)
	case StoreLate:
		i.setStoreModeFor(ctx, zpoutside.StoreMode{DelayWriteEvery: 2, WriteDelay: time.Second}, f.Duration)
	case StoreSlow:
		i.setStoreModeFor(ctx, zpoutside.StoreMode{RequestDelay: 300 * time.Millisecond}, f.Duration)
	case StoreRestore:
		i.restoreStore(ctx, f)
	case PeerCut:
		s.toPeer[f.Target].setModeFor(ctx, LinkMode{HoldToTarget: true}, f.Duration)
	case PeerSlow:
		s.toPeer[f.Target].setModeFor(ctx, LinkMode{Delay: 100 * time.Millisecond}, f.Duration)
	case EndpointCut, EndpointMute, EndpointSilent, EndpointSlow:
		s.toEndpoint[f.Target].setModeFor(ctx, endpointModes[f.Kind], f.Duration)
	case EndpointReset:
		s.toEndpoint[f.Target].resetFor(ctx, f.Duration)
	case StrandedHang, StrandedReset, StrandedRefuse:
		return i.strand(ctx, f)
	case PeersCut, PeersMute, PeersDeaf, OutOfStep, EndpointUpdate, StoreForget:
		i.applyOutOfStep(ctx, f)
	case EndpointCrash:
		i.crash(ctx, f)
	case EndpointDrain:
		i.drain(ctx, f)
	case EndpointLeave:
		i.leave(ctx, f)
	case EndpointQuiet:
		s.endpoints[f.Target].SetQuiet(f.Duration)
		sleep(ctx, f.Duration)
	case AnswersBreak:
		i.breakResponses(ctx, f)
	case StreamsBreak:
		i.breakStreams(ctx, f)
	case ResumeWrong:
		i.resumeWrong(ctx, f)
	case Evacuate:
		i.evacuate(ctx, f)
	case Reconfigure:
		i.reconfigure()
	case DeadlyPart:
		for n, e := range s.endpoints {
			e.SetDeadlyPart(deadlyPart, func() { i.crashByPart(ctx, n) })
		}
		i.sendPrompts(ctx, f.Duration)
	}
	return nil
}

func (i *injector) signal(ctx context.Context, f Fault) error {
	d := i.cluster.daemons[f.Target]
	switch f.Kind {
	case DaemonPause:
		if err := d.Pause(); err != nil {
			return err
		}
		sleep(ctx, f.Duration)
		return d.Resume()
	case DaemonStop:
		if err := d.Stop((zpoutside.GraceS + 1) * time.Second); err != nil {
			return err
		}
	default:
		d.Kill()
	}
	sleep(ctx, f.Duration)
	i.mu.Lock()
	i.incarnations[f.Target]++
	i.mu.Unlock()
	if err := d.Start(); err != nil {
		return err
	}
	for !i.cluster.isReady(ctx, f.Target) && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
	return nil
}

// strand cuts daemons off from endpoints while callers send to all daemons.
func (i *injector) strand(ctx context.Context, f Fault) error {
	cut := i.cluster.linksOf(f.Stranded)
	err := cut.each(func(l *Link) error { return l.cutClient(f.Kind) })
	i.sendSteady(ctx, f.Duration)
	return errors.Join(err, cut.each((*Link).joinClient))
}

func (l *Link) setModeFor(ctx context.Context, m LinkMode, d time.Duration) {
	l.SetMode(m)
	sleep(ctx, d)
	l.SetMode(LinkMode{})
}

// resetFor resets the open connections, and then each new one until d has passed.
func (l *Link) resetFor(ctx context.Context, d time.Duration) {
	l.SetMode(LinkMode{Refuse: true})
	l.Reset()
	sleep(ctx, d)
	l.SetMode(LinkMode{})
}

func (i *injector) setStoreModeFor(ctx context.Context, m zpoutside.StoreMode, d time.Duration) {
	i.cluster.store.SetMode(m)
	sleep(ctx, d)
	i.cluster.store.SetMode(zpoutside.StoreMode{})
}

// restoreStore takes the store down and brings it back from a copy that is older than the
// outage by restoredAge. Operators and endpoints write again a moment later.
func (i *injector) restoreStore(ctx context.Context, f Fault) {
	store := i.cluster.store
	copied := time.Now().Add(-restoredAge)
	i.setStoreModeFor(ctx, zpoutside.StoreMode{Down: true}, f.Duration)
	store.Restore(copied)
	sleep(ctx, rewriteDelay)
	store.Rewrite()
}

// crash terminates an endpoint. The platform notices when the fault ends, and the
// endpoint restarts cold under a new ID.
func (i *injector) crash(ctx context.Context, f Fault) {
	e := i.cluster.endpoints[f.Target]
	name, _ := e.Entry()
	e.Crash()
	i.cluster.toEndpoint[f.Target].resetFor(ctx, f.Duration)
	i.cluster.store.Remove("servers", name)
	e.StartVersion(fmt.Sprintf("i-%d", f.Target), f.Version, coldDuration)
	i.cluster.register(e)
}

// crashByPart crashes an endpoint because of the deadly part, unless another fault
// of the endpoint is active.
func (i *injector) crashByPart(ctx context.Context, endpoint int) {
	f := Fault{Kind: EndpointCrash, Target: endpoint, Duration: partCrashDowntime}
	if !i.begin(f) {
		return
	}
	defer i.end(f)
	i.mu.Lock()
	i.partCrashes = append(i.partCrashes, time.Now())
	i.mu.Unlock()
	i.crash(ctx, f)
}

func (i *injector) drain(ctx context.Context, f Fault) {
	e := i.cluster.endpoints[f.Target]
	e.SetState(zpoutside.StateDraining)
	i.cluster.register(e)
	name, _ := e.Entry()
	i.holdChange(ctx, &i.drained, name, f.Duration)
	e.SetState(zpoutside.StateReady)
	i.cluster.register(e)
}

// leave lets an endpoint say in its responses that it leaves, while the store lists it as
// ready. It restarts cold under a new ID; requests in progress are not interrupted.
func (i *injector) leave(ctx context.Context, f Fault) {
	e := i.cluster.endpoints[f.Target]
	e.Leave()
	sleep(ctx, f.Duration)
	name, _ := e.Entry()
	i.cluster.store.Remove("servers", name)
	e.StartVersion(fmt.Sprintf("i-%d", f.Target), f.Version, coldDuration)
	i.cluster.register(e)
}

func (i *injector) breakResponses(ctx context.Context, f Fault) {
	for _, e := range i.cluster.endpoints {
		e.SetAbortResponses(true)
	}
	sleep(ctx, f.Duration)
	for _, e := range i.cluster.endpoints {
		e.SetAbortResponses(false)
	}
}

func (i *injector) breakStreams(ctx context.Context, f Fault) {
	for _, e := range i.cluster.endpoints {
		e.SetBreakStreams(cmp.Or(f.OneIn, brokenStreamOneIn))
	}
	sleep(ctx, f.Duration)
	for _, e := range i.cluster.endpoints {
		e.SetBreakStreams(0)
	}
}

// resumeWrong makes an endpoint resume streams wrongly, in another way at each time.
func (i *injector) resumeWrong(ctx context.Context, f Fault) {
	faults := []zpoutside.ResumeFault{zpoutside.ResumeRestarts, zpoutside.ResumeRepeats, zpoutside.ResumeSkips}
	i.mu.Lock()
	fault := faults[i.resumeFaults%len(faults)]
	i.resumeFaults++
	i.mu.Unlock()
	e := i.cluster.endpoints[f.Target]
	e.SetResumeFault(fault)
	sleep(ctx, f.Duration)
	e.SetResumeFault(zpoutside.ResumeCorrectly)
}

func (i *injector) evacuate(ctx context.Context, f Fault) {
	domain := domains[f.Target]
	i.cluster.store.Put("evacuations", domain, "{}")
	i.holdChange(ctx, &i.evacuated, domain, f.Duration)
	i.cluster.store.Remove("evacuations", domain)
}

// holdChange waits while a change is in effect and records the period in list.
func (i *injector) holdChange(ctx context.Context, list *[]change, name string, d time.Duration) {
	i.mu.Lock()
	*list = append(*list, change{Name: name, From: time.Now()})
	n := len(*list) - 1
	i.mu.Unlock()
	sleep(ctx, d)
	i.mu.Lock()
	defer i.mu.Unlock()
	(*list)[n].To = time.Now()
}

func (i *injector) reconfigure() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cluster.version++
	i.cluster.store.Put("config", "main", i.cluster.config())
	i.versions = append(i.versions, change{Version: i.cluster.version, From: time.Now()})
}

// configuration returns the newest version and the time it was published.
func (i *injector) configuration() (version int, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.versions[len(i.versions)-1]
	return last.Version, last.From
}

func (i *injector) incarnation(daemon int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnations[daemon]
}
