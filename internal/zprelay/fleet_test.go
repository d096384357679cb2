package zprelay_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// fleet is a fleet of daemons that read the store as the gateway daemons do.
	fleet struct {
		daemons []zpassign.Member
		nodes   map[string]*fleetNode // by address

		mu  sync.Mutex
		now time.Time
	}

	fleetNode struct {
		member   zpassign.Member
		store    *refusingStore
		guarded  *zprelay.GuardedStore
		cache    *zprelay.CachingStore
		follower *zprelay.Follower
		dead     bool
	}

	// refusingStore is the store as one daemon sees it.
	refusingStore struct {
		zpobject.API
		mu       sync.Mutex
		refuses  bool
		calls    int
		answered func() // called before each answer; may be nil
	}
)

const (
	fleetDomains = 6
	listInterval = 500 * time.Millisecond
)

func (s *refusingStore) List(context.Context, string) (zpobject.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.refuses {
		return zpobject.Listing{}, zpobject.ErrUnavailable
	}
	if s.answered != nil {
		s.answered()
	}
	return listing(10, object("config/main", 10)), nil
}

func (s *refusingStore) probe(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses {
		return zpobject.ErrUnavailable
	}
	return nil
}

func (s *refusingStore) setRefuses(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

// newFleet returns n daemons in failure domains of two regions. The first of each domain
// has the most cores, so it is the watcher.
func newFleet(n int) *fleet {
	f := &fleet{nodes: map[string]*fleetNode{}, now: time.Unix(1000, 0)}
	clock := func() time.Time {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.now
	}
	for i := range n {
		domain := i % fleetDomains
		m := zpassign.Member{
			Name: fmt.Sprintf("d%d", i), PeerAddress: fmt.Sprintf("d%d:1", i), Domain: fmt.Sprint(domain), Region: fmt.Sprint(domain % 2), Cores: 1,
		}
		if i < fleetDomains {
			m.Cores = 2
		}
		f.daemons = append(f.daemons, m)
		x := &fleetNode{member: m, store: &refusingStore{}}
		x.guarded = &zprelay.GuardedStore{
			API: x.store, Breaker: &zprelay.Breaker{Random: func() float64 { return 0.5 }}, Probe: x.store.probe, Log: zplog.Discard(), Clock: clock,
		}
		x.cache = &zprelay.CachingStore{API: x.guarded, HeartbeatPrefix: prefix, Clock: clock}
		x.follower = &zprelay.Follower{
			API: x.cache, Self: m, HeartbeatPrefix: prefix, Daemons: func() []zpassign.Member { return f.daemons }, Call: f.call,
			IsAnswering: x.guarded.IsAnswering, AnswersSince: x.guarded.AnswersSince, Log: zplog.Discard(), Clock: clock,
		}
		f.nodes[m.PeerAddress] = x
	}
	DeferCleanup(func() { // ends the probes
		for _, x := range f.nodes {
			x.store.setRefuses(false)
		}
	})
	return f
}

func (f *fleet) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(listInterval)
}

func (f *fleet) call(ctx context.Context, address, p string, since int64, _ time.Duration) (zprelay.Update, error) {
	if f.nodes[address].dead {
		return zprelay.Update{}, errors.New("timeout")
	}
	return f.nodes[address].cache.Follow(ctx, p, since, 0)
}

// listAll has every daemon that lives list the objects several times, and returns how often
// that failed.
func (f *fleet) listAll(rounds int) (failed int) {
	for range rounds {
		f.advance()
		for _, d := range f.daemons {
			x := f.nodes[d.PeerAddress]
			if x.dead {
				continue
			}
			if _, err := x.follower.List(context.Background(), prefix); err != nil {
				failed++
			}
		}
	}
	return failed
}

// calls returns the calls to the store since the last time, of the daemons selected.
func (f *fleet) calls(selects func(i int) bool) int {
	total := 0
	for i, d := range f.daemons {
		s := f.nodes[d.PeerAddress].store
		if selects(i) {
			total += s.calls
		}
		s.calls = 0
	}
	return total
}

var _ = Describe("A fleet of daemons", func() {
	const rounds = 6
	all := func(int) bool { return true }
	isWatcher := func(i int) bool { return i < fleetDomains }
	isTurnedAway := func(i int) bool { return i%3 == 0 } // two of the six watchers

	for _, size := range []int{95, 300} {
		Describe(fmt.Sprintf("of %d", size), func() {
			var f *fleet
			BeforeEach(func() {
				f = newFleet(size)
				Expect(f.listAll(1)).To(BeZero())
				f.calls(all)
			})

			It("reads the store on one daemon per failure domain", func() {
				Expect(f.listAll(rounds)).To(BeZero())
				Expect(f.calls(all)).To(Equal(rounds * fleetDomains))
			})

			It("reads it no more often while a third is turned away, and all have its content", func() {
				for i, d := range f.daemons {
					f.nodes[d.PeerAddress].store.setRefuses(isTurnedAway(i))
				}
				const watchersTurnedAway = 2 // they notice by one failed read each
				Expect(f.listAll(1)).To(Equal(watchersTurnedAway))
				Expect(f.calls(isTurnedAway)).To(Equal(watchersTurnedAway))
				Expect(f.listAll(rounds)).To(BeZero())
				Expect(f.calls(isTurnedAway)).To(BeZero())
				Expect(f.listAll(rounds)).To(BeZero())
				Expect(f.calls(all)).To(BeNumerically("<=", rounds*fleetDomains))
			})

			It("follows watchers of other domains when one dies", func() {
				f.nodes[f.daemons[0].PeerAddress].dead = true
				Expect(f.listAll(rounds)).To(BeZero())
				Expect(f.calls(func(i int) bool { return !isWatcher(i) })).To(BeZero())
			})

			It("calls a store that is down once per daemon at most", func() {
				for _, d := range f.daemons {
					f.nodes[d.PeerAddress].store.setRefuses(true)
				}
				f.listAll(rounds)
				Expect(f.calls(all)).To(BeNumerically("<=", size))
			})

			It("takes a slow store for one that answers", func() {
				f.nodes[f.daemons[0].PeerAddress].store.answered = f.advance
				Expect(f.listAll(rounds)).To(BeZero())
				Expect(f.calls(func(i int) bool { return !isWatcher(i) })).To(BeZero())
			})
		})
	}
})
