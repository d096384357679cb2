package zpproof

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstandin"
)

// bookingHistory is what callers saw of each key.
type bookingHistory struct {
	mu      sync.Mutex
	answers map[string][]answer
}

const (
	bookings       = 240
	bookingEvery   = 25 * time.Millisecond
	bookingRepeats = 3
)

// atMostOnce books under kills, pauses, lost answers of the platform and of the
// services, and callers that repeat through other daemons.
func atMostOnce(ctx context.Context, e *Env) error {
	err := e.start(ctx, zpsite.Config{Daemons: 3, Services: 3, RequireKey: true, ServiceFlags: []string{"--work-ms", "40"}})
	if err != nil {
		return err
	}
	h := &bookingHistory{answers: map[string][]answer{}}
	var wg sync.WaitGroup
	faults := make(chan error, 1)
	go func() { faults <- bookingFaults(ctx, e) }()
	for i := range bookings {
		key := fmt.Sprintf("key-%d", i)
		first := e.random.IntN(3)
		for _, daemon := range []int{first, (first + 1) % 3} {
			wg.Go(func() { h.book(ctx, e, daemon, key) })
		}
		pause(ctx, bookingEvery)
	}
	wg.Wait()
	if err := <-faults; err != nil {
		return err
	}
	return h.judge(e)
}

// book sends a booking and repeats it through other daemons while its outcome
// is not certain.
func (h *bookingHistory) book(ctx context.Context, e *Env, daemon int, key string) {
	for try := range bookingRepeats {
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
		func() error { return e.fault(d[1].Signal(syscall.SIGSTOP)) },
		func() error { return e.control(service(1), zpstandin.ServiceMode{LateMS: 300}) },
		func() error { d[2].Kill(); return e.fault(nil) },
		func() error { return e.fault(d[1].Signal(syscall.SIGCONT)) },
		func() error { return e.platform(zpstandin.PlatformMode{Down: true}) },
		func() error { return e.platform(zpstandin.PlatformMode{LoseEvery: 2}) },
		func() error { return e.fault(d[2].Start()) },
		func() error { return e.fault(d[0].Signal(syscall.SIGSTOP)) },
		func() error { return e.fault(d[0].Signal(syscall.SIGCONT)) },
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

// judge compares what callers were told with what the services counted.
func (h *bookingHistory) judge(e *Env) error {
	runs, err := e.serviceRuns("shop-a")
	if err != nil {
		return err
	}
	done := 0
	for key, answers := range h.answers {
		n := runs[key]
		if n > 1 {
			return fmt.Errorf("%s ran %d times", key, n)
		}
		told, uncertain := told(answers)
		if told && n != 1 {
			return fmt.Errorf("%s was confirmed and ran %d times", key, n)
		}
		if !told && !uncertain && n != 0 {
			return fmt.Errorf("%s was refused as not run and ran %d times", key, n)
		}
		if told {
			done++
		}
	}
	if done < bookings/4 {
		return fmt.Errorf("only %d of %d bookings were confirmed; the proof shows too little", done, bookings)
	}
	return nil
}

// told reports whether a caller was told that its booking ran, and whether any
// answer left that open.
func told(answers []answer) (ran, uncertain bool) {
	for _, a := range answers {
		switch {
		case a.status == 200:
			ran = true
		case a.lost || a.state != "not_run":
			uncertain = true
		}
	}
	return ran, uncertain
}

// notRun overloads and crashes engines without retries, and checks that no
// request refused as not run reached an engine.
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
	// What a frozen engine was sent arrives when it thaws.
	pause(ctx, time.Second)
	if h.failures == len(h.refused) && e.Mutant == "" {
		return fmt.Errorf("all %d failures were refusals; no run broke, so the proof shows nothing", h.failures)
	}
	return arrived(e, h.refused)
}

// notRunFault freezes or crashes an engine every so many requests.
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

// refusalHistory is what callers were refused.
type refusalHistory struct {
	mu       sync.Mutex
	failures int
	refused  []string // request ids said not to have run
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

// arrived fails if a refused request reached an engine.
func arrived(e *Env, refused []string) error {
	if len(refused) == 0 {
		return fmt.Errorf("nothing was refused, so the proof shows nothing")
	}
	stats, err := e.runnerStats()
	if err != nil {
		return err
	}
	seen := map[string]string{}
	for name, s := range stats {
		for _, a := range s.Arrivals {
			if len(a.RequestID) >= idLength {
				seen[a.RequestID[:idLength]] = name
			}
		}
	}
	for _, id := range refused {
		if name, ok := seen[id]; ok {
			return fmt.Errorf("request %s was refused as not run and reached %s", id, name)
		}
	}
	return nil
}

// idLength is the length of a request id; a reservation's id begins with it.
const idLength = 24
