package zpproof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpload"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

// wholeAnswers crashes engines during generation and compares each answer with
// the expected one byte for byte.
func wholeAnswers(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 3, Runners: 4, RunnerFlags: []string{"--restart-ms", "1500", "--cold-ms", "500"},
		Settings: map[string]string{"retry.budget_burst": "100", "reserve.urgent_wait_ms": "8000"},
	})
	if err != nil {
		return err
	}
	crash := func(i int) func() error {
		return func() error { return e.control(e.runnerAddress(i), map[string]bool{"crash": true}) }
	}
	reports, err := e.runUnderLoad(ctx, e.load(promptMix(60), 12, 9*time.Second), crash(0), crash(1), crash(2))
	if err != nil {
		return err
	}
	return checkNoneCut(zpload.Find(reports, "total"))
}

// gracefulStop stops and restarts each daemon in turn under load.
func gracefulStop(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 3, Runners: 4, Services: 2}); err != nil {
		return err
	}
	restart := func(i int) func() error {
		return func() error {
			if err := e.Site.Daemons[i].Stop(zpsite.StartTimeout); err != nil {
				return err
			}
			return e.fault(e.Site.Daemons[i].Start())
		}
	}
	reports, err := e.runUnderLoad(ctx, e.load(promptMix(60), 25, 14*time.Second), restart(0), restart(1), restart(2))
	if err != nil {
		return err
	}
	return checkNoneCut(zpload.Find(reports, "total"))
}

// crashingRequest repeatedly sends a prompt that crashes every engine that runs
// it, through all daemons, while another workspace sends normal load. At most two
// engines may crash.
func crashingRequest(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 3, Runners: 6, RunnerFlags: []string{"--restart-ms", "1000", "--cold-ms", "500"},
		Settings: map[string]string{"retry.budget_burst": "100", "reserve.urgent_wait_ms": "8000"},
	})
	if err != nil {
		return err
	}
	mix := promptMix(20)
	mix.Workspaces = []string{"shop-b"}
	attempts := make([]func() error, 9)
	for i := range attempts {
		attempts[i] = func() error { return e.crashThroughAll(ctx) }
	}
	reports, err := e.runUnderLoad(ctx, e.load(mix, 15, 9*time.Second), attempts...)
	if err != nil {
		return err
	}
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	crashes := 0
	for _, s := range stats {
		crashes += s.Crashes
	}
	if crashes == 0 {
		return errors.New("the crashing prompt crashed no engine, so the proof shows nothing")
	}
	if crashes > 2 {
		return fmt.Errorf("one request crashed engines %d times", crashes)
	}
	return checkNoneCut(zpload.Find(reports, "total"))
}

// crashThroughAll sends the crashing prompt to all daemons concurrently.
func (e *Env) crashThroughAll(ctx context.Context) error {
	var wg sync.WaitGroup
	answers := make([]answer, len(e.Site.Daemons))
	for i := range answers {
		wg.Go(func() { answers[i] = e.prompt(ctx, i, "shop-a", "please "+zpstandin.CrashMarker, 4) })
	}
	wg.Wait()
	for _, a := range answers {
		if a.status == 200 {
			return fmt.Errorf("the crashing prompt got a successful answer")
		}
	}
	return e.fault(nil)
}

// cacheBlocks sends the same prompt from two workspaces and under two weight
// versions, and makes the block store corrupt, lose and refuse blocks.
func cacheBlocks(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{Daemons: 3, Runners: 1, Stores: true, RunnerFlags: []string{"--cache-blocks", "45"}})
	if err != nil {
		return err
	}
	text := strings.Repeat("the whole history of a bike; ", 120)
	if err := e.expectPrompt(ctx, "shop-a", text, "v1", func(cached int) bool { return cached == 0 }); err != nil {
		return fmt.Errorf("first prompt: %w", err)
	}
	if err := e.expectPrompt(ctx, "shop-a", text, "v1", func(cached int) bool { return cached > 0 }); err != nil {
		return fmt.Errorf("repeated prompt: %w", err)
	}
	if err := e.expectPrompt(ctx, "shop-b", text, "v1", func(cached int) bool { return cached == 0 }); err != nil {
		return fmt.Errorf("the same prompt of another workspace: %w", err)
	}
	if err := e.damageStore(ctx); err != nil {
		return err
	}
	return e.changeWeights(ctx, text)
}

func (e *Env) expectPrompt(ctx context.Context, workspace, text, version string, cachedOK func(int) bool) error {
	a := e.prompt(ctx, 0, workspace, text, 8)
	if a.status != 200 || a.text != expectedAnswer(text, version, 8) {
		return fmt.Errorf("answered with %d %s", a.status, a.text)
	}
	if !cachedOK(a.cached) {
		return fmt.Errorf("the engine used %d cached tokens", a.cached)
	}
	// The engine exports its blocks to the store after it has answered.
	pause(ctx, 300*time.Millisecond)
	return nil
}

// damageStore alternates between conversations so that their blocks are evicted
// from the engine's cache and imported again, while the store truncates, loses
// and refuses blocks.
func (e *Env) damageStore(ctx context.Context) error {
	store := e.Site.Manifest.Stores[0].Address
	for i, mode := range []zpstandin.StoreMode{{}, {TearNext: 10}, {Wipe: true}, {Full: true}, {}} {
		if err := e.control(store, mode); err != nil {
			return err
		}
		for _, turn := range []int{0, 1, 2, 0, 1, 2} {
			text := strings.Repeat(fmt.Sprintf("round %d conversation %d; ", i, turn), 200)
			if err := e.expectPrompt(ctx, "shop-c", text, "v1", func(int) bool { return true }); err != nil {
				return fmt.Errorf("with a faulty block store: %w", err)
			}
		}
	}
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	if s := stats["runner-0"]; s.Imported == 0 || s.BadImports == 0 {
		return fmt.Errorf("%d blocks were imported and %d refused; the proof needs at least one of each", s.Imported, s.BadImports)
	}
	return nil
}

// changeWeights changes the weight version and checks that blocks cached under the
// old version are not used.
func (e *Env) changeWeights(ctx context.Context, text string) error {
	if err := e.expectPrompt(ctx, "shop-a", text, "v1", func(int) bool { return true }); err != nil {
		return err
	}
	if err := e.changeWeightVersion(ctx, "v2"); err != nil {
		return err
	}
	if err := e.expectPrompt(ctx, "shop-a", text, "v2", func(cached int) bool { return cached == 0 }); err != nil {
		return fmt.Errorf("after the change of weight version: %w", err)
	}
	return nil
}

func (e *Env) changeWeightVersion(ctx context.Context, version string) error {
	_, err := e.applyConfirmed(ctx, func(m *zpmanifest.Manifest) error {
		m.Models[0].WeightVersion = version
		return nil
	})
	return err
}

// orders changes the weight version while the daemons that own the engines are
// frozen in turn, so that engines receive late orders from former owners.
func orders(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 3, Runners: 4}); err != nil {
		return err
	}
	for i, version := range []string{"v2", "v3"} {
		if err := e.fault(e.Site.Daemons[i].Pause()); err != nil {
			return err
		}
		o := e.operator()
		if _, err := o.Change(ctx, func(m *zpmanifest.Manifest) error {
			m.Models[0].WeightVersion = version
			return nil
		}); err != nil {
			return err
		}
		pause(ctx, 7*time.Second)
		if err := e.fault(e.Site.Daemons[i].Resume()); err != nil {
			return err
		}
		pause(ctx, time.Second)
	}
	// An order with an old epoch, as a former owner of the engine would send it.
	for i := range e.Site.Runners {
		lateOrder := map[string]any{"epoch": 1, "kind": "set_version", "version": "v2"}
		if err := e.postJSON(e.runnerAddress(i)+"/v1/orders", lateOrder); err != nil {
			return err
		}
	}
	pause(ctx, 4*time.Second)
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	for name, s := range stats {
		if s.Version != "v3" {
			return fmt.Errorf("%s ended with version %s", name, s.Version)
		}
	}
	return nil
}

// startInOutage starts a daemon during a platform outage, when it can get the
// configuration only from its peers, and waits until it answers a prompt.
func (e *Env) startInOutage(ctx context.Context, i int) error {
	if err := e.fault(e.Site.Daemons[i].Start()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, zpsite.StartTimeout)
	defer cancel()
	for ctx.Err() == nil {
		a := e.prompt(ctx, i, "shop-a", "through a daemon started in the outage", 4)
		if a.status == 200 {
			return nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("a daemon started during the outage answered no prompt")
}

// platformOutage stops the platform under load, starts a daemon during the
// outage, sends bookings, and restores the platform.
func platformOutage(ctx context.Context, e *Env) error {
	if err := e.start(ctx, zpsite.Config{Daemons: 6, SpareDaemons: 1, Runners: 4, Services: 1, RequireKey: true}); err != nil {
		return err
	}
	var mu sync.Mutex
	ran := 0
	bookDuringOutage := func() error {
		for i := range 10 {
			a := e.booking(ctx, i%5, "shop-a", fmt.Sprintf("in-outage-%d", i))
			if a.status == 200 || a.state != "not_run" {
				return fmt.Errorf("a booking in the outage was answered with %d %s", a.status, a.text)
			}
			mu.Lock()
			ran++
			mu.Unlock()
		}
		return nil
	}
	reports, err := e.runUnderLoad(ctx, e.load(promptMix(10), 25, 24*time.Second),
		func() error { return e.platform(zpstandin.PlatformMode{Down: true}) },
		func() error { return nil },
		func() error { return e.startInOutage(ctx, 5) },
		bookDuringOutage,
		func() error { return nil },
		func() error { return e.platform(zpstandin.PlatformMode{}) },
		func() error { return nil },
	)
	if err != nil {
		return err
	}
	runs, err := e.bookingRuns("shop-a")
	if err != nil {
		return err
	}
	if len(runs) > 0 {
		return fmt.Errorf("bookings refused as not_run were executed: %v", runs)
	}
	total := zpload.Find(reports, "total")
	if err := checkNoneCut(total); err != nil {
		return err
	}
	if total.Completed*100 < total.Sent*95 {
		return fmt.Errorf("only %d of %d prompts were completed: %v", total.Completed, total.Sent, total.Codes)
	}
	return nil
}
