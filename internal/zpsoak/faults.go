package zpsoak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// injector carries a plan out and remembers what it has done when. It is safe
	// for concurrent use.
	injector struct {
		site *site

		mu        sync.Mutex
		troubles  []trouble
		versions  []change // of the configuration
		evacuated []change // of failure domains
		drained   []change // of endpoints
		lives     []int    // of daemons
		busy      map[string]bool
		errors    []error
	}

	// trouble is a time in which something did not work as usual.
	trouble struct {
		Kind     Kind
		Target   int
		From, To time.Time // zero To: it lasts
	}

	// change is something that an operator or an endpoint told the store.
	change struct {
		Name    string
		Version int
		From    time.Time
		To      time.Time // of an evacuation; zero: it lasts
	}
)

// inject carries the plan out; faults overlap as planned, but never two of one
// kind at one target.
func (i *injector) inject(ctx context.Context, plan []Fault) {
	begun := time.Now()
	var running sync.WaitGroup
	for _, f := range plan {
		pause(ctx, f.At-time.Since(begun))
		if ctx.Err() != nil {
			break
		}
		if !i.begin(f) {
			continue
		}
		running.Go(func() {
			defer i.end(f)
			if err := i.apply(ctx, f); err != nil {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.errors = append(i.errors, fmt.Errorf("%s at %d: %w", f.Kind, f.Target, err))
			}
		})
	}
	running.Wait()
}

// scope names what a fault keeps for itself. Signals to one daemon exclude each
// other, as do modes of one link.
func (f Fault) scope() string {
	switch f.Kind {
	case DaemonStop, DaemonKill, DaemonPause:
		return fmt.Sprintf("daemon %d", f.Target)
	case StoreCut, StoreOneWay, StoreReset:
		return fmt.Sprintf("store link %d", f.Target)
	case StoreDown, StoreLose, StoreLate, StoreSlow:
		return "store"
	case PeerCut, PeerSlow:
		return fmt.Sprintf("peer link %d", f.Target)
	case EndpointCut, EndpointMute, EndpointReset, EndpointSlow:
		return fmt.Sprintf("endpoint link %d", f.Target)
	case EndpointCrash, EndpointDrain:
		return fmt.Sprintf("endpoint %d", f.Target)
	default:
		return string(f.Kind)
	}
}

func (i *injector) begin(f Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[f.scope()] {
		return false
	}
	i.busy[f.scope()] = true
	i.troubles = append(i.troubles, trouble{Kind: f.Kind, Target: f.Target, From: time.Now()})
	return true
}

func (i *injector) end(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, f.scope())
	for n := len(i.troubles) - 1; n >= 0; n-- {
		if t := &i.troubles[n]; t.Kind == f.Kind && t.Target == f.Target && t.To.IsZero() {
			t.To = time.Now()
			return
		}
	}
}

func (i *injector) apply(ctx context.Context, f Fault) error {
	s := i.site
	switch f.Kind {
	case DaemonStop, DaemonKill, DaemonPause:
		return i.signal(ctx, f)
	case StoreCut:
		s.toStore[f.Target].during(ctx, LinkMode{NoWay: true, NoReturn: true}, f.For)
	case StoreOneWay:
		s.toStore[f.Target].during(ctx, LinkMode{NoReturn: true}, f.For)
	case StoreReset:
		s.toStore[f.Target].reset(ctx, f.For)
	case StoreDown:
		i.storeDuring(ctx, zpoutside.StoreMode{Down: true}, f.For)
	case StoreLose:
		i.storeDuring(ctx, zpoutside.StoreMode{LoseEvery: 2}, f.For)
	case StoreLate:
		i.storeDuring(ctx, zpoutside.StoreMode{LateEvery: 2, Late: time.Second}, f.For)
	case StoreSlow:
		i.storeDuring(ctx, zpoutside.StoreMode{Delay: 300 * time.Millisecond}, f.For)
	case PeerCut:
		s.toPeer[f.Target].during(ctx, LinkMode{NoWay: true}, f.For)
	case PeerSlow:
		s.toPeer[f.Target].during(ctx, LinkMode{Delay: 100 * time.Millisecond}, f.For)
	case EndpointCut:
		s.toService[f.Target].during(ctx, LinkMode{NoWay: true, NoReturn: true}, f.For)
	case EndpointMute:
		s.toService[f.Target].during(ctx, LinkMode{NoReturn: true}, f.For)
	case EndpointReset:
		s.toService[f.Target].reset(ctx, f.For)
	case EndpointSlow:
		s.toService[f.Target].during(ctx, LinkMode{Delay: 150 * time.Millisecond}, f.For)
	case EndpointCrash:
		i.crash(ctx, f)
	case EndpointDrain:
		i.drain(ctx, f)
	case AnswersBreak:
		i.breakAnswers(ctx, f)
	case Evacuate:
		i.evacuate(ctx, f)
	case Reconfigure:
		i.reconfigure()
	}
	return nil
}

func (i *injector) signal(ctx context.Context, f Fault) error {
	d := i.site.daemons[f.Target]
	switch f.Kind {
	case DaemonPause:
		if err := d.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause(ctx, f.For)
		return d.Signal(syscall.SIGCONT)
	case DaemonStop:
		if err := d.Stop((zpoutside.GraceS + 1) * time.Second); err != nil {
			return err
		}
	default:
		d.Kill()
	}
	pause(ctx, f.For)
	i.mu.Lock()
	i.lives[f.Target]++
	i.mu.Unlock()
	if err := d.Start(); err != nil {
		return err
	}
	for !i.site.isReady(ctx, f.Target) && ctx.Err() == nil {
		pause(ctx, 20*time.Millisecond)
	}
	return nil
}

func (l *Link) during(ctx context.Context, m LinkMode, d time.Duration) {
	l.SetMode(m)
	pause(ctx, d)
	l.SetMode(LinkMode{})
}

// reset resets the connections at the begin of a time, and new ones during it.
func (l *Link) reset(ctx context.Context, d time.Duration) {
	l.SetMode(LinkMode{Refuse: true})
	l.Reset()
	pause(ctx, d)
	l.SetMode(LinkMode{})
}

func (i *injector) storeDuring(ctx context.Context, m zpoutside.StoreMode, d time.Duration) {
	i.site.store.SetMode(m)
	pause(ctx, d)
	i.site.store.SetMode(zpoutside.StoreMode{})
}

// crash ends an endpoint's life; the platform notices after a while, and a new
// life begins cold.
func (i *injector) crash(ctx context.Context, f Fault) {
	e := i.site.endpoints[f.Target]
	name, _ := e.Entry()
	e.Crash()
	i.site.toService[f.Target].reset(ctx, f.For)
	i.site.store.Remove("servers", name)
	e.Start(fmt.Sprintf("i-%d", f.Target), coldFor)
	i.site.register(e)
}

func (i *injector) drain(ctx context.Context, f Fault) {
	e := i.site.endpoints[f.Target]
	e.SetState(zpoutside.StateDraining)
	i.site.register(e)
	name, _ := e.Entry()
	i.keep(ctx, &i.drained, name, f.For)
	e.SetState(zpoutside.StateReady)
	i.site.register(e)
}

func (i *injector) breakAnswers(ctx context.Context, f Fault) {
	for _, e := range i.site.endpoints {
		e.SetBreaking(true)
	}
	pause(ctx, f.For)
	for _, e := range i.site.endpoints {
		e.SetBreaking(false)
	}
}

func (i *injector) evacuate(ctx context.Context, f Fault) {
	domain := domains[f.Target]
	i.site.store.Put("evacuations", domain, "{}")
	i.keep(ctx, &i.evacuated, domain, f.For)
	i.site.store.Remove("evacuations", domain)
}

// keep lets what was told hold for a while, and notes from when to when it does.
func (i *injector) keep(ctx context.Context, list *[]change, name string, d time.Duration) {
	i.mu.Lock()
	*list = append(*list, change{Name: name, From: time.Now()})
	n := len(*list) - 1
	i.mu.Unlock()
	pause(ctx, d)
	i.mu.Lock()
	defer i.mu.Unlock()
	(*list)[n].To = time.Now()
}

func (i *injector) reconfigure() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.site.version++
	i.site.store.Put("config", "main", i.site.config())
	i.versions = append(i.versions, change{Version: i.site.version, From: time.Now()})
}

// configuration returns the newest version and when it was told.
func (i *injector) configuration() (version int, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.versions[len(i.versions)-1]
	return last.Version, last.From
}

func (i *injector) life(daemon int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lives[daemon]
}
