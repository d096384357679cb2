package zpproof

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

const (
	// takeOutBound is the promised time after which an endpoint that was taken
	// out receives no new work.
	takeOutBound = 5 * time.Second
	// startDeadline is how long after the change a reservation granted before it
	// may still start.
	startDeadline  = time.Second
	confirmTimeout = 5 * time.Second
)

// outOfService takes a failure domain out, marks the VM of an endpoint as leaving
// on the platform, and checks when requests arrived at the engines.
func outOfService(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 3, Runners: 6}); err != nil {
		return err
	}
	var confirmed, markedLeaving time.Time
	reports, err := e.runUnderLoad(ctx, e.load(promptMix(10), 40, 14*time.Second),
		func() error {
			at, err := e.applyConfirmed(ctx, zpoperator.SetDomainOut("b", true))
			confirmed = at
			return err
		},
		func() error {
			markedLeaving = time.Now()
			return e.markLeaving("runner-2")
		},
		func() error { return e.platform(zpstandin.PlatformMode{Down: true}) },
		func() error { return e.platform(zpstandin.PlatformMode{}) },
		func() error { return nil }, func() error { return nil }, func() error { return nil },
	)
	if err != nil {
		return err
	}
	if err := checkNoneCut(zpload.Find(reports, "total")); err != nil {
		return err
	}
	// After confirmation, only reservations granted before the change may start.
	for _, name := range []string{"runner-1", "runner-4"} {
		if err := e.checkNoArrival(name, confirmed.Add(startDeadline)); err != nil {
			return err
		}
	}
	return e.checkNoArrival("runner-2", markedLeaving.Add(takeOutBound))
}

// applyConfirmed changes the manifest, waits until every daemon has confirmed the
// new version, and returns the time of the confirmation.
func (e *Env) applyConfirmed(ctx context.Context, edit zpoperator.Edit) (time.Time, error) {
	o := e.operator()
	version, err := o.Change(ctx, edit)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
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

// markLeaving makes the platform list a VM as leaving.
func (e *Env) markLeaving(name string) error {
	return e.controlPath("/control/vms", []map[string]any{{"name": name, "leaving": true}, {"name": "entry-0"}, {"name": "entry-1"}, {"name": "entry-2"}})
}

// checkNoArrival returns an error if a request reached a runner after the given
// time, or if none ever did.
func (e *Env) checkNoArrival(name string, after time.Time) error {
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	if len(stats[name].Arrivals) == 0 {
		return fmt.Errorf("%s never received a request; the proof needs load on it", name)
	}
	for _, a := range stats[name].Arrivals {
		if at := time.UnixMilli(a.AtUnixMS); at.After(after) {
			return fmt.Errorf("%s received a request %s after the limit", name, at.Sub(after))
		}
	}
	return nil
}

// configuration lets operators make concurrent changes while the platform loses
// responses, freezes a daemon during a change, and resumes it while the platform
// is unreachable. No daemon may go back to a lower version.
func configuration(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 4, Runners: 4, Settings: map[string]string{"lease.duration_ms": "20000"},
	})
	if err != nil {
		return err
	}
	watch, stop := context.WithCancel(ctx)
	watchResult := make(chan error, 1)
	go func() { watchResult <- e.watchVersions(watch) }()
	if err := e.raceOperators(ctx); err != nil {
		stop()
		return err
	}
	if err := e.freezeDuringChange(ctx); err != nil {
		stop()
		return err
	}
	stop()
	return <-watchResult
}

// raceOperators lets operators change different endpoints concurrently while the
// platform loses responses, and checks that no accepted change is lost.
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
	if n := countTrue(accepted); n < minAcceptedChanges {
		return fmt.Errorf("only %d of %d concurrent changes were accepted, so the proof shows nothing", n, len(accepted))
	}
	for name, ok := range accepted {
		if endpoint, _ := stored.Manifest.EndpointByName(name); ok && !endpoint.Out {
			return fmt.Errorf("the accepted change of %s was lost", name)
		}
	}
	return e.checkBadManifestsRefused(ctx, stored.Manifest)
}

// checkBadManifestsRefused checks that a manifest with an old version and an
// invalid one are refused. It then brings all endpoints back.
func (e *Env) checkBadManifestsRefused(ctx context.Context, m *zpmanifest.Manifest) error {
	old := m.Clone()
	old.Version--
	if _, err := e.operator().Apply(ctx, old); !zperror.Is(err, "manifest_version_old") {
		return fmt.Errorf("a manifest based on an old version got %v", err)
	}
	bad := m.Clone()
	bad.Endpoints[0].Slots = 0
	if _, err := e.operator().Apply(ctx, bad); !zperror.Is(err, "manifest_invalid") {
		return fmt.Errorf("an invalid manifest got %v", err)
	}
	allIn := m.Clone()
	for i := range allIn.Endpoints {
		allIn.Endpoints[i].Out = false
	}
	_, err := e.operator().Apply(ctx, allIn)
	return err
}

// freezeDuringChange freezes a daemon while domain b is taken out, then freezes
// all other daemons, stops the platform and resumes the first daemon. That daemon
// still holds its lease but cannot know the current configuration, so it must
// accept no new work.
func (e *Env) freezeDuringChange(ctx context.Context) error {
	// Only a daemon that owns an endpoint could grant new work by itself, so
	// any other daemon would pass whether or not the mechanism works.
	index, instance, err := e.endpointOwner(ctx)
	if err != nil {
		return err
	}
	frozen := e.Site.Daemons[index]
	if err := e.promptDomain(ctx, "b"); err != nil {
		return err
	}
	if err := e.fault(frozen.Pause()); err != nil {
		return err
	}
	o := e.operator()
	version, err := o.Change(ctx, zpoperator.SetDomainOut("b", true))
	if err != nil {
		return err
	}
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c, err := o.Confirm(confirmCtx, version)
	if err != nil {
		return err
	}
	if !slices.Equal(c.Unconfirmed, []string{instance}) {
		return fmt.Errorf("%s is frozen, and not confirmed by: %v", instance, c.Unconfirmed)
	}
	confirmed := time.Now()
	for i, d := range e.Site.Daemons {
		if i == index {
			continue
		}
		if err := e.fault(d.Pause()); err != nil {
			return err
		}
	}
	if err := e.platform(zpstandin.PlatformMode{Down: true}); err != nil {
		return err
	}
	if err := e.fault(frozen.Resume()); err != nil {
		return err
	}
	if err := e.checkNoneServed(ctx, index); err != nil {
		return err
	}
	return e.checkNoLateArrival(confirmed)
}

// promptDomain sends prompts until an engine of the domain has received one. Routing draws
// the engines and prefers warm ones, so no fixed number of prompts reaches each of them.
func (e *Env) promptDomain(ctx context.Context, domain string) error {
	for i := range maxPromptsBeforeFreeze {
		if a := e.prompt(ctx, i%len(e.Site.Daemons), "shop-a", fmt.Sprintf("before the freeze %d", i), 4); a.status != 200 {
			return fmt.Errorf("before the freeze: %d %s", a.status, a.text)
		}
		if i+1 < minPromptsBeforeFreeze {
			continue
		}
		arrivals, err := e.domainArrivals(domain)
		if err != nil {
			return err
		}
		if len(arrivals) > 0 {
			return nil
		}
	}
	return fmt.Errorf("none of %d prompts before the freeze reached domain %s", maxPromptsBeforeFreeze, domain)
}

// domainArrivals returns the requests that the engines of a domain received, by engine.
func (e *Env) domainArrivals(domain string) (map[string][]zpstandin.Arrival, error) {
	stats, err := e.runnerStats()
	if err != nil {
		return nil, err
	}
	arrivals := map[string][]zpstandin.Arrival{}
	for name, s := range stats {
		if endpoint, _ := e.Site.Manifest.EndpointByName(name); endpoint.Domain == domain && len(s.Arrivals) > 0 {
			arrivals[name] = s.Arrivals
		}
	}
	return arrivals, nil
}

// endpointOwner returns the index and instance of a daemon that owns an endpoint. It
// retries, because the store names the owners before the daemons learn of it.
func (e *Env) endpointOwner(ctx context.Context) (index int, instance string, err error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for {
		index, instance, err = e.findOwner(ctx)
		if err == nil {
			return index, instance, nil
		}
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return 0, "", err
		}
	}
}

const (
	// minAcceptedChanges is the number of concurrent changes that must be accepted for the
	// race to show anything.
	minAcceptedChanges     = 2
	minPromptsBeforeFreeze = 20
	maxPromptsBeforeFreeze = 400

	ownerTimeout      = 5 * time.Second
	ownerPollInterval = 100 * time.Millisecond
)

var errNoOwner = errors.New("no daemon owns an endpoint; the proof needs an owner")

func (e *Env) findOwner(ctx context.Context) (index int, instance string, err error) {
	var names []string
	for i := range e.Site.Runners {
		names = append(names, e.Site.Manifest.Endpoints[i].Name)
	}
	o := e.operator()
	statuses, err := o.Status(ctx)
	if err != nil {
		return 0, "", err
	}
	var queryErr error
	for _, s := range statuses {
		owned, err := o.Exchange.ForAddress(s.Member.PeerAddress).Quote(ctx, names)
		if err != nil || len(owned) == 0 {
			queryErr = errors.Join(queryErr, err)
			continue
		}
		for i := range e.Site.Daemons {
			if e.Site.Target(i) == "http://"+s.Member.CallerAddress {
				return i, s.Member.Instance, nil
			}
		}
	}
	return 0, "", errors.Join(errNoOwner, queryErr)
}

// checkNoneServed sends prompts to a daemon and returns an error if it answers one
// successfully.
func (e *Env) checkNoneServed(ctx context.Context, daemon int) error {
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

// checkNoLateArrival checks that domain b received no request after it was taken out, and
// that it received some before.
func (e *Env) checkNoLateArrival(after time.Time) error {
	arrivals, err := e.domainArrivals("b")
	if err != nil {
		return err
	}
	if len(arrivals) == 0 {
		return errors.New("domain b received no request at all, so the proof shows nothing")
	}
	for name, list := range arrivals {
		for _, a := range list {
			if time.UnixMilli(a.AtUnixMS).After(after.Add(startDeadline)) {
				return fmt.Errorf("%s received a request after its domain was taken out", name)
			}
		}
	}
	return nil
}

func countTrue(m map[string]bool) int {
	n := 0
	for _, ok := range m {
		if ok {
			n++
		}
	}
	return n
}

// watchVersions polls every daemon until ctx ends and returns an error if the
// manifest version of one decreases.
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
