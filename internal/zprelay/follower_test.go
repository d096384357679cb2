package zprelay_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zprelay"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

const prefix = "config/"

// fakeStore counts the calls to the object store and records the waits of watches.
type fakeStore struct {
	zpobject.API
	mu      sync.Mutex
	calls   int
	waits   []time.Duration
	down    bool
	content zpobject.Listing
	waiting func() // called once, during the next watch; may be nil
}

func (s *fakeStore) List(context.Context, string) (zpobject.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return zpobject.Listing{}, errors.New("down")
	}
	return s.content, nil
}

func (s *fakeStore) Watch(_ context.Context, _ string, from int64, wait time.Duration) (zpobject.Listing, error) {
	if waiting := s.waiting; waiting != nil {
		s.waiting = nil
		waiting()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.waits = append(s.waits, wait)
	if s.down {
		return zpobject.Listing{}, errors.New("down")
	}
	if s.content.Revision > from {
		return s.content, nil
	}
	return zpobject.Listing{Revision: from}, nil
}

// domain returns n daemons of one failure domain in descending order of cores. The
// first two are its watchers.
func domain(n int) []zpassign.Member {
	var out []zpassign.Member
	for i := range n {
		name := string(rune('a' + i))
		out = append(out, zpassign.Member{Name: name, PeerAddress: name + ":1", Domain: "d", Cores: 1 / float64(i+1)})
	}
	return out
}

var _ = Describe("Follower", func() {
	var store *fakeStore
	var watchers map[string]*zprelay.CachingStore
	var daemons []zpassign.Member
	var now time.Time
	var frozen map[string]bool
	var turnedAway bool
	var timeout time.Duration // of a call to a frozen daemon
	var answersSince time.Time

	follower := func(self zpassign.Member) *zprelay.Follower {
		return &zprelay.Follower{
			API: store, Self: self, HeartbeatPrefix: prefix, Daemons: func() []zpassign.Member { return daemons },
			IsAnswering: func() bool { return !turnedAway }, AnswersSince: func() time.Time { return answersSince }, Log: zplog.Discard(), Clock: func() time.Time { return now },
			Call: func(ctx context.Context, address, p string, since int64, wait time.Duration) (zprelay.Update, error) {
				if frozen[address] {
					now = now.Add(timeout)
					return zprelay.Update{}, context.DeadlineExceeded
				}
				return watchers[address].Follow(ctx, p, since, min(wait, time.Millisecond))
			},
		}
	}

	BeforeEach(func() {
		now, frozen, turnedAway, answersSince, timeout = time.Unix(1000, 0), map[string]bool{}, false, time.Time{}, 0
		store = &fakeStore{content: listing(10, object("config/main", 10))}
		daemons = domain(6)
		watchers = map[string]*zprelay.CachingStore{}
		for _, d := range daemons[:2] {
			r := &zprelay.CachingStore{API: store, HeartbeatPrefix: prefix, Clock: func() time.Time { return now }}
			_, err := r.List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
			watchers[d.PeerAddress] = r
		}
		store.calls = 0
	})

	It("reads the store on two daemons of a domain and follows them on the others", func() {
		for i, d := range daemons {
			store.calls = 0
			l, err := follower(d).List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Objects).To(HaveLen(1))
			Expect(store.calls).To(Equal(map[bool]int{true: 1, false: 0}[i < 2]))
		}
	})

	It("reads the store directly in a small domain", func() {
		daemons = domain(4)
		_, err := follower(daemons[3]).List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.calls).To(Equal(1))
	})

	It("follows the other watcher if one is frozen, and reads the store if both are", func() {
		f := follower(daemons[4])
		frozen[daemons[0].PeerAddress] = true
		_, err := f.Watch(context.Background(), prefix, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.calls).To(BeZero())
		frozen[daemons[1].PeerAddress] = true
		_, err = f.Watch(context.Background(), prefix, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.calls).To(Equal(1))
	})

	Describe("in a fleet of small failure domains", func() {
		BeforeEach(func() {
			daemons = domain(18)
			for i := range daemons {
				daemons[i].Domain, daemons[i].Region = string(rune('u'+i%6)), string(rune('r'+i%2))
			}
		})

		It("has two watchers per region", func() {
			for i, d := range daemons {
				Expect(follower(d).IsWatcher()).To(Equal(i < 4), d.Name)
			}
		})

		It("reads the store directly if the fleet is small, too", func() {
			daemons = daemons[:15]
			for _, d := range daemons {
				Expect(follower(d).IsWatcher()).To(BeTrue(), d.Name)
				Expect(follower(d).CanFollow()).To(BeFalse(), d.Name)
			}
		})
	})

	Describe("beside another failure domain", func() {
		BeforeEach(func() {
			for _, d := range domain(6) {
				d.Name, d.PeerAddress, d.Domain = "other-"+d.Name, "other-"+d.PeerAddress, "e"
				daemons = append(daemons, d)
				watchers[d.PeerAddress] = watchers["a:1"]
			}
		})

		It("has one watcher per domain", func() {
			for i, d := range daemons {
				Expect(follower(d).IsWatcher()).To(Equal(i%6 == 0), d.Name)
			}
		})

		It("follows the watcher there when its own fails", func() {
			frozen[daemons[0].PeerAddress] = true
			_, err := follower(daemons[4]).List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
			Expect(store.calls).To(BeZero())
		})

		It("follows while the store turns a watcher away, and watches again afterwards", func() {
			f := follower(daemons[0])
			turnedAway = true
			_, err := f.Watch(context.Background(), prefix, 10, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(store.calls).To(BeZero())
			turnedAway = false
			_, err = f.List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
			Expect(store.calls).To(Equal(1))
		})
	})

	It("reads the store if all watchers time out, though the first is not avoided any more by then", func() {
		for _, d := range daemons[:2] {
			frozen[d.PeerAddress] = true
		}
		timeout = 4 * time.Second
		startedAt := now
		_, err := follower(daemons[4]).Watch(context.Background(), prefix, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.calls).To(Equal(1))
		Expect(now).To(BeTemporally("<=", startedAt.Add(4*timeout)))
	})

	It("leaves the store to the watchers for a while after an outage", func() {
		f := follower(daemons[4])
		now = now.Add(2 * time.Second) // the watchers have no fresh response
		answersSince = now
		_, err := f.List(context.Background(), prefix)
		Expect(err).To(HaveOccurred())
		Expect(store.calls).To(BeZero())
		now = now.Add(time.Second)
		_, err = f.List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.calls).To(Equal(1))
	})

	It("avoids a watcher that answers but knows too little for a shorter time than one that fails", func() {
		f := follower(daemons[4])
		list := func() {
			GinkgoHelper()
			_, err := f.List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
		}
		list()
		now = now.Add(2 * time.Second)
		list()
		Expect(store.calls).To(Equal(1))
		for _, w := range watchers {
			_, err := w.List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
		}
		store.calls = 0
		now = now.Add(500 * time.Millisecond)
		list()
		Expect(store.calls).To(BeZero())
	})

	DescribeTable("waits for a watcher", func(self int, prepare func(), follows bool) {
		prepare()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		f := follower(daemons[self])
		f.AwaitWatcher(ctx)
		Expect(ctx.Err() == nil).To(Equal(follows))
	},
		Entry("no longer than until it can be followed", 4, func() {}, true),
		Entry("not as a watcher", 0, func() { frozen["a:1"], frozen["b:1"] = true, true }, true),
		Entry("not in a small fleet", 3, func() { daemons = domain(4) }, true),
		Entry("until the time is over if none can be followed", 4, func() { frozen["a:1"], frozen["b:1"] = true, true }, false),
	)

	It("avoids a watcher only briefly before it has read anything itself, as the watcher may be starting too", func() {
		f := follower(daemons[4])
		for _, w := range daemons[:2] {
			frozen[w.PeerAddress] = true
		}
		Expect(f.IsWatcher()).To(BeFalse())
		store.down = true
		for range 2 {
			_, err := f.List(context.Background(), prefix)
			Expect(err).To(HaveOccurred())
		}
		Expect(f.IsWatcher()).To(BeTrue())
		now = now.Add(500 * time.Millisecond)
		Expect(f.IsWatcher()).To(BeFalse())
		Expect(f.CanFollow()).To(BeTrue())
		store.down = false
		for range 2 {
			_, err := f.List(context.Background(), prefix)
			Expect(err).NotTo(HaveOccurred())
		}
		// From now on a failure counts for longer.
		now = now.Add(500 * time.Millisecond)
		_, err := f.List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(500 * time.Millisecond)
		Expect(f.IsWatcher()).To(BeTrue())
	})

	It("does not follow a watcher that has lost contact with the store", func() {
		now = now.Add(2 * time.Second)
		_, err := follower(daemons[4]).List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.calls).To(Equal(1))
	})

	It("never returns an older list than before", func() {
		f := follower(daemons[4])
		store.content = listing(20, object("config/main", 20))
		daemons = domain(4)
		l, err := f.List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Revision).To(BeEquivalentTo(20))
		daemons = domain(6)
		l, err = f.List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Revision).To(BeEquivalentTo(20))
	})

	// Guards against changes that are taken for known while they are still on their way to the caller.
	It("does not count changes as applied that a watch has only read", func() {
		daemons = domain(1)
		f := follower(daemons[0])
		store.content = zpobject.Listing{Revision: 5, Objects: []zpobject.Object{{Name: "config/main", Revision: 5}}}
		Expect(f.AppliedRevision(prefix)).To(BeZero())
		for _, applied := range []int64{3, 5} {
			l, err := f.Watch(context.Background(), prefix, applied, time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(l.Revision).To(BeEquivalentTo(5))
			Expect(f.AppliedRevision(prefix)).To(Equal(applied))
		}
	})

	It("ends a watch that the watcher cannot continue from its revision", func() {
		_, err := follower(daemons[4]).Watch(context.Background(), prefix, 9, 0)
		Expect(err).To(HaveOccurred())
		Expect(store.calls).To(BeZero())
	})
})

var _ = Describe("CachingStore", func() {
	const otherPrefix = "servers/"
	var now time.Time
	var store *fakeStore
	var cache *zprelay.CachingStore

	list := func(p string) {
		GinkgoHelper()
		_, err := cache.List(context.Background(), p)
		Expect(err).NotTo(HaveOccurred())
	}
	follow := func(p string) (zprelay.Update, error) { return cache.Follow(context.Background(), p, 0, 0) }

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		store = &fakeStore{content: listing(10, object("config/main", 10))}
		cache = &zprelay.CachingStore{API: store, HeartbeatPrefix: prefix, Clock: func() time.Time { return now }}
		list(prefix)
		list(otherPrefix)
		now = now.Add(time.Minute) // in which it followed another daemon, up to revision 20
		store.content = listing(20, object("config/main", 20))
	})

	It("does not give out the list of before it followed another daemon", func() {
		_, err := cache.Watch(context.Background(), prefix, 20, time.Second)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range []string{prefix, otherPrefix} {
			_, err = follow(p)
			Expect(err).To(MatchError(zprelay.ErrNotFollowed), p)
		}
	})

	It("ends a watch so that the objects are listed again for the daemons that follow it now", func() {
		_, err := follow(prefix)
		Expect(err).To(MatchError(zprelay.ErrNotFollowed))
		_, err = cache.Watch(context.Background(), prefix, 20, time.Second)
		Expect(err).To(HaveOccurred())
		list(prefix)
		_, err = cache.Watch(context.Background(), prefix, 20, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(follow(prefix)).To(HaveField("Revision", BeEquivalentTo(20)))
	})

	It("is followed during a long watch", func() {
		list(prefix)
		list(otherPrefix)
		store.waiting = func() {
			for range 20 {
				now = now.Add(time.Second)
				_, err := cache.Watch(context.Background(), prefix, 20, time.Second)
				Expect(err).NotTo(HaveOccurred())
				Expect(follow(otherPrefix)).To(HaveField("Revision", BeEquivalentTo(20)))
			}
		}
		_, err := cache.Watch(context.Background(), otherPrefix, 20, time.Minute)
		Expect(err).NotTo(HaveOccurred())
	})

	It("ends the call of a follower when the store has not responded for too long", func() {
		offset := time.Duration(0)
		cache.Clock = func() time.Time { return time.Now().Add(offset) }
		list(prefix)
		list(otherPrefix)
		offset = 1400 * time.Millisecond
		startedAt := time.Now()
		_, err := cache.Follow(context.Background(), prefix, 20, 5*time.Second)
		Expect(err).To(MatchError(zprelay.ErrNotFollowed))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second))
	})

	// Guards against a daemon that was paused and takes the list of one that was paused with it for the current one.
	It("is not followed after a pause until a call to the store that began later has returned", func() {
		var pausedAt time.Time
		cache.WasPaused = func(since time.Time) bool { return pausedAt.After(since) }
		list(prefix)
		list(otherPrefix)
		Expect(follow(otherPrefix)).To(HaveField("Revision", BeEquivalentTo(20)))
		store.waiting = func() {
			now = now.Add(1200 * time.Millisecond)
			pausedAt = now
		}
		_, err := cache.Watch(context.Background(), prefix, 20, time.Second)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range []string{prefix, otherPrefix} {
			_, err = follow(p)
			Expect(err).To(MatchError(zprelay.ErrNotFollowed), p)
		}
		now = now.Add(time.Millisecond)
		_, err = cache.Watch(context.Background(), prefix, 20, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(follow(otherPrefix)).To(HaveField("Revision", BeEquivalentTo(20)))
	})

	It("shortens its watches while others follow", func() {
		now := time.Unix(1000, 0)
		store := &fakeStore{content: listing(10)}
		r := &zprelay.CachingStore{API: store, HeartbeatPrefix: prefix, Clock: func() time.Time { return now }}
		_, err := r.List(context.Background(), prefix)
		Expect(err).NotTo(HaveOccurred())
		watch := func() time.Duration {
			_, err := r.Watch(context.Background(), prefix, 10, 2*time.Second)
			Expect(err).NotTo(HaveOccurred())
			return store.waits[len(store.waits)-1]
		}
		Expect(watch()).To(Equal(2 * time.Second))
		_, _ = r.Follow(context.Background(), prefix, 0, 0) // only the call matters, not its result
		Expect(watch()).To(BeNumerically("<", time.Second))
		now = now.Add(time.Minute)
		Expect(watch()).To(Equal(2 * time.Second))
	})
})
