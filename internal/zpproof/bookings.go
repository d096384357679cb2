package zpproof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

// bookingHistory records the answers that callers got, by idempotency key.
type bookingHistory struct {
	mu      sync.Mutex
	answers map[string][]answer
}

const (
	bookingCount    = 240
	bookingInterval = 25 * time.Millisecond
	bookingAttempts = 3
)

// atMostOnce sends bookings while daemons are killed and paused, the platform and
// the services lose responses, and callers retry through other daemons.
func atMostOnce(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{Daemons: 3, Services: 3, RequireKey: true, ServiceFlags: []string{"--work-ms", "40"}})
	if err != nil {
		return err
	}
	h := &bookingHistory{answers: map[string][]answer{}}
	var wg sync.WaitGroup
	faults := make(chan error, 1)
	go func() { faults <- bookingFaults(ctx, e) }()
	for i := range bookingCount {
		key := fmt.Sprintf("key-%d", i)
		first := e.random.IntN(3)
		for _, daemon := range []int{first, (first + 1) % 3} {
			wg.Go(func() { h.book(ctx, e, daemon, key) })
		}
		pause(ctx, bookingInterval)
	}
	wg.Wait()
	if err := <-faults; err != nil {
		return err
	}
	return h.check(e)
}

// book sends a booking and retries it through other daemons until it succeeds or
// the attempts are used up.
func (h *bookingHistory) book(ctx context.Context, e *Env, daemon int, key string) {
	for try := range bookingAttempts {
		a := e.booking(ctx, (daemon+try)%3, "shop-a", key)
		h.mu.Lock()
		h.answers[key] = append(h.answers[key], a)
		h.mu.Unlock()
		if a.status == 200 {
			return
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// bookingFaults injects faults in a fixed order.
func bookingFaults(ctx context.Context, e *Env) error {
	d := e.Site.Daemons
	service := func(i int) string { return e.Site.Manifest.Endpoints[i].Address }
	steps := []func() error{
		func() error { return e.platform(zpstandin.PlatformMode{LoseEvery: 3}) },
		func() error { return e.control(service(0), zpstandin.ServiceMode{LoseNext: 5}) },
		func() error { return e.fault(d[1].Pause()) },
		func() error { return e.control(service(1), zpstandin.ServiceMode{LateMS: 300}) },
		func() error { d[2].Kill(); return e.fault(nil) },
		func() error { return e.fault(d[1].Resume()) },
		func() error { return e.platform(zpstandin.PlatformMode{Down: true}) },
		func() error { return e.platform(zpstandin.PlatformMode{LoseEvery: 2}) },
		func() error { return e.fault(d[2].Start()) },
		func() error { return e.fault(d[0].Pause()) },
		func() error { return e.fault(d[0].Resume()) },
		func() error { return e.platform(zpstandin.PlatformMode{}) },
	}
	for _, step := range steps {
		pause(ctx, 450*time.Millisecond)
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// check compares the answers that callers got with the executions that the
// services counted.
func (h *bookingHistory) check(e *Env) error {
	runs, err := e.bookingRuns("shop-a")
	if err != nil {
		return err
	}
	confirmedCount := 0
	for key, answers := range h.answers {
		n := runs[key]
		if n > 1 {
			return fmt.Errorf("%s ran %d times", key, n)
		}
		confirmed, uncertain := outcome(answers)
		if confirmed && n != 1 {
			return fmt.Errorf("%s was confirmed and ran %d times", key, n)
		}
		if !confirmed && !uncertain && n != 0 {
			return fmt.Errorf("%s was refused as not_run and ran %d times", key, n)
		}
		if confirmed {
			confirmedCount++
		}
	}
	if confirmedCount < bookingCount/4 {
		return fmt.Errorf("only %d of %d bookings were confirmed; the proof needs at least a quarter", confirmedCount, bookingCount)
	}
	return nil
}

// outcome reports whether any answer confirmed the booking, and whether any
// answer left it open whether the booking ran.
func outcome(answers []answer) (confirmed, uncertain bool) {
	for _, a := range answers {
		switch {
		case a.status == 200:
			confirmed = true
		case a.lost || a.state != "not_run":
			uncertain = true
		}
	}
	return confirmed, uncertain
}

// notRun overloads and crashes engines with retries turned off, and checks that
// no request refused as not_run reached an engine.
func notRun(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{
		Daemons: 3, Runners: 3, Slots: 4, ColdSlots: 1, RunnerFlags: []string{"--restart-ms", "300", "--cold-ms", "500"},
		Settings: map[string]string{"retry.max_attempts": "1", "reserve.urgent_wait_ms": "600", "endpoint.first_token_overdue_ms": "400"},
	})
	if err != nil {
		return err
	}
	h := &refusalHistory{}
	var wg sync.WaitGroup
	for i := range 400 {
		daemon := e.random.IntN(3)
		wg.Go(func() { h.add(e.prompt(ctx, daemon, "shop-a", fmt.Sprintf("request %d", i), 20)) })
		pause(ctx, 8*time.Millisecond)
		if err := notRunFault(e, i); err != nil {
			return err
		}
	}
	wg.Wait()
	// Requests sent to a frozen engine arrive only when it resumes.
	pause(ctx, time.Second)
	if h.failures == len(h.refused) && e.Mutant == "" {
		return fmt.Errorf("all %d failures were refusals as not_run; the proof needs a run that failed", h.failures)
	}
	return checkNotArrived(e, h.refused)
}

// notRunFault freezes an engine once and crashes one once in every 80 requests.
func notRunFault(e *Env, i int) error {
	switch i % 80 {
	case 40:
		return e.control(e.runnerAddress(e.random.IntN(3)), map[string]int{"freeze_ms": 900})
	case 79:
		return e.control(e.runnerAddress(e.random.IntN(3)), map[string]bool{"crash": true})
	default:
		return nil
	}
}

// refusalHistory counts failed requests and records those refused as not_run.
type refusalHistory struct {
	mu       sync.Mutex
	failures int
	refused  []string // request IDs
}

func (h *refusalHistory) add(a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.status != 200 {
		h.failures++
	}
	if a.state == "not_run" {
		h.refused = append(h.refused, a.id)
	}
}

// checkNotArrived returns an error if a refused request reached an engine.
func checkNotArrived(e *Env, refused []string) error {
	if len(refused) == 0 {
		return fmt.Errorf("no request was refused as not_run; the proof needs refusals")
	}
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	seen := map[string]string{}
	for name, s := range stats {
		for _, a := range s.Arrivals {
			if len(a.RequestID) >= requestIDLength {
				seen[a.RequestID[:requestIDLength]] = name
			}
		}
	}
	for _, id := range refused {
		if name, ok := seen[id]; ok {
			return fmt.Errorf("request %s was refused as not_run but reached %s", id, name)
		}
	}
	return nil
}

// requestIDLength is the length of a request ID, which is the prefix of the ID of
// a reservation.
const requestIDLength = 24
