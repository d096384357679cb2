package zpproof

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

const (
	// takenOutBound is the promise: so long after a change no new work may come.
	takenOutBound = 5 * time.Second
	// startDeadline is how long a reservation granted before may still start.
	startDeadline = time.Second
	confirmWithin = 5 * time.Second
)

// outOfService takes a failure domain out, has the platform list an endpoint as
// leaving, and checks the arrivals at the engines.
func outOfService(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 3, Runners: 6}); err != nil {
		return err
	}
	var confirmed, left time.Time
	reports, err := e.under(ctx, e.load(promptMix(10), 40, 14*time.Second),
		func() error {
			at, err := e.takeOut(ctx, zpoperator.SetDomainOut("b", true))
			confirmed = at
			return err
		},
		func() error {
			left = time.Now()
			return e.leaving("runner-2")
		},
		func() error { return e.platform(zpstandin.PlatformMode{Down: true}) },
		func() error { return e.platform(zpstandin.PlatformMode{}) },
		func() error { return nil }, func() error { return nil }, func() error { return nil },
	)
	if err != nil {
		return err
	}
	if err := nothingCut(zpload.Find(reports, "total")); err != nil {
		return err
	}
	// A confirmed change leaves only reservations that were granted before.
	for _, name := range []string{"runner-1", "runner-4"} {
		if err := e.noArrival(name, confirmed.Add(startDeadline)); err != nil {
			return err
		}
	}
	return e.noArrival("runner-2", left.Add(takenOutBound))
}

// takeOut changes the manifest and returns when every daemon had confirmed it.
func (e *Env) takeOut(ctx context.Context, edit zpoperator.Edit) (time.Time, error) {
	o := e.operator()
	version, err := o.Change(ctx, edit)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	c, err := o.Confirm(ctx, version)
	if err != nil {
		return time.Time{}, err
	}
	if len(c.Unconfirmed) > 0 {
		return time.Time{}, fmt.Errorf("version %d is not confirmed by %v", version, c.Unconfirmed)
	}
	return time.Now(), e.fault(nil)
}

// leaving has the platform list a VM as leaving.
func (e *Env) leaving(name string) error {
	return e.controlPath("/control/vms", []map[string]any{{"name": name, "leaving": true}, {"name": "entry-0"}, {"name": "entry-1"}, {"name": "entry-2"}})
}

// noArrival fails if a request reached a runner after the given time.
func (e *Env) noArrival(name string, after time.Time) error {
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	if len(stats[name].Arrivals) == 0 {
		return fmt.Errorf("%s never got work; the proof shows nothing", name)
	}
	for _, a := range stats[name].Arrivals {
		if at := time.UnixMilli(a.AtUnixMS); at.After(after) {
			return fmt.Errorf("%s got work %s after it should have got none", name, at.Sub(after))
		}
	}
	return nil
}

// configuration races operators, freezes a daemon over a change, hides the
// platform from it afterwards, and loses the platform's answers.
func configuration(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 4, Runners: 4, Settings: map[string]string{"lease.duration_ms": "20000"},
	})
	if err != nil {
		return err
	}
	watch, stop := context.WithCancel(ctx)
	reverted := make(chan error, 1)
	go func() { reverted <- e.watchVersions(watch) }()
	if err := e.raceOperators(ctx); err != nil {
		stop()
		return err
	}
	if err := e.freezeOverChange(ctx); err != nil {
		stop()
		return err
	}
	stop()
	return <-reverted
}

// raceOperators lets operators change different things at once, with lost
// answers, and checks that no accepted change is lost.
func (e *Env) raceOperators(ctx context.Context) error {
	if err := e.platform(zpstandin.PlatformMode{LoseEvery: 4}); err != nil {
		return err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for i := range e.Site.Runners {
		wg.Go(func() {
			name := fmt.Sprintf("runner-%d", i)
			_, err := e.operator().Change(ctx, zpoperator.SetEndpointOut(name, true))
			mu.Lock()
			defer mu.Unlock()
			accepted[name] = err == nil
		})
	}
	wg.Wait()
	if err := e.platform(zpstandin.PlatformMode{}); err != nil {
		return err
	}
	stored, err := e.operator().Get(ctx)
	if err != nil {
		return err
	}
	for name, ok := range accepted {
		if endpoint, _ := stored.Manifest.EndpointByName(name); ok && !endpoint.Out {
			return fmt.Errorf("the accepted change of %s was lost", name)
		}
	}
	return e.oldVersionRefused(ctx, stored.Manifest)
}

func (e *Env) oldVersionRefused(ctx context.Context, m *zpmanifest.Manifest) error {
	old := m.Clone()
	old.Version--
	if _, err := e.operator().Apply(ctx, old); !zperror.Is(err, "manifest_version_old") {
		return fmt.Errorf("a manifest made from an old version was answered with %v", err)
	}
	bad := m.Clone()
	bad.Endpoints[0].Slots = 0
	if _, err := e.operator().Apply(ctx, bad); !zperror.Is(err, "manifest_invalid") {
		return fmt.Errorf("an invalid manifest was answered with %v", err)
	}
	back := m.Clone()
	for i := range back.Endpoints {
		back.Endpoints[i].Out = false
	}
	_, err := e.operator().Apply(ctx, back)
	return err
}

// freezeOverChange freezes a daemon while domain b is taken out, then freezes
// all others and hides the platform. The daemon still holds its lease when it
// runs again, but cannot know the configuration, and must take no new work.
func (e *Env) freezeOverChange(ctx context.Context) error {
	// Only a daemon that owns an endpoint could grant new work by itself.
	index, err := e.endpointOwner(ctx)
	if err != nil {
		return err
	}
	frozen := e.Site.Daemons[index]
	if a := e.prompt(ctx, index, "shop-a", "before the freeze", 4); a.status != 200 {
		return fmt.Errorf("before the freeze: %d %s", a.status, a.text)
	}
	if err := e.fault(frozen.Signal(syscall.SIGSTOP)); err != nil {
		return err
	}
	o := e.operator()
	version, err := o.Change(ctx, zpoperator.SetDomainOut("b", true))
	if err != nil {
		return err
	}
	short, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	c, err := o.Confirm(short, version)
	if err != nil {
		return err
	}
	if len(c.Unconfirmed) != 1 {
		return fmt.Errorf("one daemon is frozen, and not confirmed by: %v", c.Unconfirmed)
	}
	taken := time.Now()
	for i, d := range e.Site.Daemons {
		if i == index {
			continue
		}
		if err := e.fault(d.Signal(syscall.SIGSTOP)); err != nil {
			return err
		}
	}
	if err := e.platform(zpstandin.PlatformMode{Down: true}); err != nil {
		return err
	}
	if err := e.fault(frozen.Signal(syscall.SIGCONT)); err != nil {
		return err
	}
	if err := e.noneTaken(ctx, index); err != nil {
		return err
	}
	return e.noLateArrival(taken)
}

// endpointOwner returns the index of a daemon that owns an endpoint. The store
// names owners before the daemons have heard of it, so they are asked for a while.
func (e *Env) endpointOwner(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, ownersWithin)
	defer cancel()
	for {
		owner, err := e.findOwner(ctx)
		if err == nil {
			return owner, nil
		}
		select {
		case <-time.After(ownerPause):
		case <-ctx.Done():
			return 0, err
		}
	}
}

const (
	ownersWithin = 5 * time.Second
	ownerPause   = 100 * time.Millisecond
)

var errNoOwner = errors.New("no daemon owns an endpoint; the proof shows nothing")

func (e *Env) findOwner(ctx context.Context) (int, error) {
	var names []string
	for i := range e.Site.Runners {
		names = append(names, e.Site.Manifest.Endpoints[i].Name)
	}
	o := e.operator()
	statuses, err := o.Status(ctx)
	if err != nil {
		return 0, err
	}
	var refused error
	for _, s := range statuses {
		owned, err := o.Exchange.At(s.Member.Address).Quote(ctx, names)
		if err != nil || len(owned) == 0 {
			refused = errors.Join(refused, err)
			continue
		}
		for i := range e.Site.Daemons {
			if e.Site.Target(i) == "http://"+s.Member.Callers {
				return i, nil
			}
		}
	}
	return 0, errors.Join(errNoOwner, refused)
}

// noneTaken sends prompts to a daemon and fails if it takes one.
func (e *Env) noneTaken(ctx context.Context, daemon int) error {
	var wg sync.WaitGroup
	answers := make([]answer, 20)
	for i := range answers {
		wg.Go(func() { answers[i] = e.prompt(ctx, daemon, "shop-a", fmt.Sprintf("after the freeze %d", i), 4) })
	}
	wg.Wait()
	for _, a := range answers {
		if a.status == 200 {
			return fmt.Errorf("a daemon that cannot know the configuration took new work")
		}
	}
	return nil
}

func (e *Env) noLateArrival(after time.Time) error {
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	for name, s := range stats {
		for _, a := range s.Arrivals {
			endpoint, _ := e.Site.Manifest.EndpointByName(name)
			if endpoint.Domain == "b" && time.UnixMilli(a.AtUnixMS).After(after.Add(startDeadline)) {
				return fmt.Errorf("%s of the domain taken out got work", name)
			}
		}
	}
	return nil
}

// watchVersions asks every daemon again and again and fails if one ever has a
// lower version than before.
func (e *Env) watchVersions(ctx context.Context) error {
	highest := map[string]int64{}
	o := e.operator()
	for ctx.Err() == nil {
		statuses, err := o.Status(ctx)
		if err != nil {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		for _, s := range statuses {
			if s.Err != nil {
				continue
			}
			if s.Status.ManifestVersion < highest[s.Status.Instance] {
				return fmt.Errorf("%s went from version %d to %d", s.Status.Instance, highest[s.Status.Instance], s.Status.ManifestVersion)
			}
			highest[s.Status.Instance] = s.Status.ManifestVersion
		}
		pause(ctx, 50*time.Millisecond)
	}
	return nil
}
