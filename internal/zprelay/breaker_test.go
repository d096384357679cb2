package zprelay_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var _ = Describe("Breaker", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var breaker *zprelay.Breaker

	BeforeEach(func() { breaker = &zprelay.Breaker{Random: func() float64 { return 0.5 }} })

	probeDelay := func(now time.Time) time.Duration {
		GinkgoHelper()
		next, ok := breaker.NextProbe()
		Expect(ok).To(BeTrue())
		return next.Sub(now)
	}
	expectAllowed := func(isAllowed bool) {
		GinkgoHelper()
		Expect(breaker.Allow()).To(Equal(isAllowed))
		Expect(breaker.IsTripped()).To(Equal(!isAllowed))
	}

	It("allows calls until one fails, and again once a probe is answered", func() {
		expectAllowed(true)
		Expect(breaker.RecordFailure(at(0), at(10))).To(BeTrue())
		expectAllowed(false)
		reset, trippedFor, rejections := breaker.RecordProbe(true, at(110))
		Expect(reset).To(BeTrue())
		Expect(trippedFor).To(Equal(100 * time.Millisecond))
		Expect(rejections).To(Equal(1))
		expectAllowed(true)
	})

	It("probes at delays that double up to a limit", func() {
		breaker.RecordFailure(at(0), at(0))
		now := at(0)
		var delays []int
		for range 8 {
			delay := probeDelay(now)
			delays = append(delays, int(delay.Milliseconds()))
			now = now.Add(delay)
			breaker.RecordProbe(false, now)
		}
		Expect(delays).To(Equal([]int{20, 40, 80, 160, 320, 640, 1000, 1000}))
	})

	It("keeps its delay while probes are answered and calls fail, until a call succeeds", func() {
		now := at(0)
		var delays []int
		for range 4 {
			breaker.RecordFailure(now, now)
			delay := probeDelay(now)
			delays = append(delays, int(delay.Milliseconds()))
			now = now.Add(delay)
			breaker.RecordProbe(true, now)
		}
		Expect(delays).To(Equal([]int{20, 40, 80, 160}))
		breaker.RecordSuccess(now, now)
		breaker.RecordFailure(now, now)
		Expect(probeDelay(now)).To(Equal(20 * time.Millisecond))
	})

	It("is not tripped again by calls that began before its reset", func() {
		breaker.RecordFailure(at(0), at(100))
		breaker.RecordProbe(true, at(200))
		Expect(breaker.RecordFailure(at(50), at(3000))).To(BeFalse())
		expectAllowed(true)
	})

	It("is reset by a call only if the call began after the trip", func() {
		breaker.RecordFailure(at(0), at(100))
		reset, _, _ := breaker.RecordSuccess(at(50), at(150))
		Expect(reset).To(BeFalse())
		reset, _, _ = breaker.RecordSuccess(at(120), at(150))
		Expect(reset).To(BeTrue())
	})

	DescribeTable("spreads the probes of a fleet that loses the store", func(daemons int) {
		const outage = 8000
		random := rand.New(rand.NewPCG(1, 2))
		perSlot := map[int]int{} // probes per 100 ms
		total := 0
		for range daemons {
			breaker = &zprelay.Breaker{Random: random.Float64}
			breaker.RecordFailure(at(0), at(0))
			for next, _ := breaker.NextProbe(); next.Before(at(outage)); next, _ = breaker.NextProbe() {
				total++
				perSlot[int(next.Sub(start)/(100*time.Millisecond))]++
				breaker.RecordProbe(false, next)
			}
			// What changes after the outage must be read in time.
			next, _ := breaker.NextProbe()
			Expect(next).To(BeTemporally("<=", at(outage+1500)))
		}
		Expect(total).To(BeNumerically("<=", 16*daemons))
		for slot, n := range perSlot {
			if slot >= 20 {
				Expect(n).To(BeNumerically("<", max(daemons/4, 30)), "slot %d", slot)
			}
		}
	}, Entry("95 daemons", 95), Entry("300 daemons", 300))
})

var _ = Describe("GuardedStore", func() {
	var store *fakeStore
	var probes atomic.Int32
	var probeError atomic.Pointer[error]
	var guarded *zprelay.GuardedStore

	BeforeEach(func() {
		store = &fakeStore{content: listing(10, object("config/main", 10))}
		probes.Store(0)
		failure := errors.New("down")
		probeError.Store(&failure)
		guarded = &zprelay.GuardedStore{
			API: store, Breaker: &zprelay.Breaker{Random: func() float64 { return 0 }}, Log: zplog.Discard(), Clock: time.Now,
			Probe: func(context.Context) error {
				probes.Add(1)
				return *probeError.Load()
			},
		}
	})

	list := func() error {
		_, err := guarded.List(context.Background(), prefix)
		return err
	}
	answerProbes := func(err error) { probeError.Store(&err) }

	It("makes one call of all that are due while the store is down, and goes on when it is back", func() {
		store.down = true
		for range 100 {
			Expect(list()).NotTo(Succeed())
		}
		Expect(store.calls).To(Equal(1))
		Eventually(probes.Load).Should(BeNumerically(">=", 2))
		store.down = false
		answerProbes(nil)
		Eventually(list, "3s").Should(Succeed())
	})

	// Guards against a daemon that takes calls which timed out while it was paused for an outage of the store.
	It("makes the next call although one has failed across a pause of the process", func() {
		resumedAt := time.Now().Add(time.Hour)
		guarded.WasPaused = func(since time.Time) bool { return resumedAt.After(since) }
		store.down = true
		Expect(list()).NotTo(Succeed())
		Expect(guarded.IsAnswering()).To(BeTrue())
		store.down = false
		Expect(list()).To(Succeed())
		resumedAt, store.down = time.Time{}, true
		Expect(list()).NotTo(Succeed())
		Expect(guarded.IsAnswering()).To(BeFalse())
	})

	It("counts an object that does not exist as an answer of the store", func() {
		store.down = true
		Expect(list()).NotTo(Succeed())
		store.down = false
		answerProbes(zpobject.ErrNotFound)
		Eventually(list, "3s").Should(Succeed())
	})

	It("goes on after a watch whose caller has ended it", func() {
		store.down = true
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := guarded.Watch(ctx, prefix, 10, time.Second)
		Expect(err).To(HaveOccurred())
		Expect(guarded.IsAnswering()).To(BeTrue())
	})
})
