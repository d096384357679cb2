package zpparts_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpparts"
)

var start = time.Unix(1000, 0)

func key(part string) zpparts.Key { return zpparts.Key{Salt: "v1", Part: part} }

var _ = Describe("Directory", func() {
	It("tracks the tokens of each holder", func() {
		d := zpparts.NewDirectory(10)
		Expect(d.Apply(zpparts.Change{Holder: "e", Key: key("x"), Tokens: 5})).To(BeTrue())
		Expect(d.Apply(zpparts.Change{Holder: "e", Key: key("x"), Tokens: 5})).To(BeFalse())
		Expect(d.Holders(key("x"))).To(Equal(map[string]int{"e": 5}))
		Expect(d.Apply(zpparts.Change{Holder: "e", Key: key("x")})).To(BeTrue())
		Expect(d.Holders(key("x"))).To(BeEmpty())
	})

	It("separates parts with different salts", func() {
		d := zpparts.NewDirectory(10)
		d.Apply(zpparts.Change{Holder: "e", Key: key("x"), Tokens: 5})
		Expect(d.Tokens("e", zpparts.Key{Salt: "v2", Part: "x"})).To(BeZero())
	})

	It("removes all entries of a forgotten holder", func() {
		d := zpparts.NewDirectory(10)
		d.Apply(zpparts.Change{Holder: "e", Key: key("x"), Tokens: 5})
		d.Forget("e")
		Expect(d.Len()).To(BeZero())
		Expect(d.Holders(key("x"))).To(BeEmpty())
	})

	It("expects a part at an engine until it is held or expires", func() {
		d := zpparts.NewDirectory(10)
		c := zpparts.Change{Holder: "e", Key: key("x"), Tokens: 5}
		d.Expect(c, start, start.Add(time.Second))
		Expect(d.IsExpected("e", key("x"), start)).To(BeTrue())
		Expect(d.IsExpected("f", key("x"), start)).To(BeFalse())
		Expect(d.IsExpected("e", key("x"), start.Add(time.Second))).To(BeFalse())
		d.Expect(c, start, start.Add(time.Second))
		d.Apply(c)
		Expect(d.IsExpected("e", key("x"), start)).To(BeFalse())
	})

	It("evicts the least recent entries of a holder above the limit", func() {
		d := zpparts.NewDirectory(16)
		for i := range 40 {
			d.Apply(zpparts.Change{Holder: "e", Key: key(string(rune('A' + i))), Tokens: 1})
		}
		Expect(d.Len()).To(BeNumerically("<=", 16))
		Expect(d.Tokens("e", key(string(rune('A'+39))))).To(Equal(1))
		Expect(d.Tokens("e", key("A"))).To(BeZero())
	})
})

var _ = Describe("Stores", func() {
	var s *zpparts.Stores
	settled := start.Add(3 * time.Second)
	state := zpparts.Store{Name: "k", Epoch: 1, Readable: true, Free: 100}

	BeforeEach(func() {
		s = zpparts.NewStores(2*time.Second, 3*time.Second)
		s.Set(state, start)
	})

	It("makes a store with fresh state readable at once and writable after the settle delay", func() {
		Expect(s.Readable("k@1", start)).To(BeTrue())
		Expect(s.Writable("k", start)).To(BeFalse())
		s.Set(state, settled)
		Expect(s.Writable("k", settled)).To(BeTrue())
		Expect(s.Readable("k@1", settled.Add(2*time.Second))).To(BeTrue())
		Expect(s.Readable("k@1", settled.Add(2*time.Second+1))).To(BeFalse())
		Expect(s.Writable("k", settled.Add(2*time.Second+1))).To(BeFalse())
	})

	It("invalidates the parts of a restarted store and applies the settle delay again", func() {
		s.Set(state, settled)
		restarted := state
		restarted.Epoch = 2
		Expect(s.Set(restarted, settled)).To(Equal("k@1"))
		Expect(s.Readable("k@1", settled)).To(BeFalse())
		Expect(s.Readable("k@2", settled)).To(BeTrue())
		Expect(s.Writable("k", settled.Add(time.Second))).To(BeFalse())
	})

	It("makes an unreachable store neither readable nor writable", func() {
		unreachable := state
		unreachable.Readable = false
		Expect(s.Set(unreachable, settled)).To(Equal("k@1"))
		Expect(s.Readable("k@1", settled)).To(BeFalse())
		Expect(s.Writable("k", settled)).To(BeFalse())
	})

	It("tracks the parts being saved and their space", func() {
		s.BeginSave(zpparts.Change{Holder: "k", Key: key("x"), Tokens: 40}, start)
		Expect(s.IsSaving("k", key("x"), start.Add(time.Second))).To(BeTrue())
		Expect(s.IsSaving("k", key("x"), start.Add(time.Minute))).To(BeFalse())
		Expect(s.Free("k")).To(Equal(60))
	})
})

// fakeSource is a Source with configurable responses.
type fakeSource struct {
	mu    sync.Mutex
	epoch int64
	parts []zpparts.Change
	lost  bool
	down  bool
	freed []zpparts.Key
}

var errDown = errors.New("down")

func (f *fakeSource) Events(ctx context.Context, _ string, since int64, _ time.Duration) (zpparts.Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return zpparts.Batch{}, errDown
	}
	return zpparts.Batch{Epoch: f.epoch, Next: since + 1, Lost: f.lost}, ctx.Err()
}

func (f *fakeSource) List(context.Context, string) (zpparts.Content, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = false
	if f.down {
		return zpparts.Content{}, errDown
	}
	return zpparts.Content{Epoch: f.epoch, Parts: f.parts}, nil
}

func (f *fakeSource) Free(_ context.Context, _ string, _ int64, keys []zpparts.Key) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, keys...)
	return nil
}

func (f *fakeSource) FreeTokens(context.Context, string) (int, error) { return 7, nil }

func (f *fakeSource) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

var _ = Describe("Follower of a store", func() {
	var source *fakeSource
	var mu sync.Mutex
	var state zpparts.Store
	var resets, retired int
	var offset time.Duration

	startFollower := func(isStale bool) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		resets, retired, state, offset = 0, 0, zpparts.Store{}, 0
		f := &zpparts.Follower{
			Holder: "k", IsStore: true, Source: source,
			Apply: func(_ string, changes []zpparts.Change, reset bool) {
				mu.Lock()
				defer mu.Unlock()
				if reset {
					resets++
					return
				}
				retired += len(changes)
			},
			State: func(s zpparts.Store) {
				mu.Lock()
				defer mu.Unlock()
				state = s
			},
			Report:  func(int, int, int) {},
			IsStale: func(zpparts.Key) bool { return isStale },
			Clock: func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				return time.Now().Add(offset)
			},
		}
		go func() {
			f.Run(ctx)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
	}
	locked := func(value func() any) func() any {
		return func() any {
			mu.Lock()
			defer mu.Unlock()
			return value()
		}
	}

	BeforeEach(func() {
		source = &fakeSource{epoch: 1, parts: []zpparts.Change{{Key: key("x"), Tokens: 5}}}
	})

	It("reads the full listing at the start and after a restart of the store", func() {
		startFollower(false)
		Eventually(locked(func() any { return resets }), "2s").Should(Equal(1))
		source.update(func() { source.epoch = 2 })
		Eventually(locked(func() any { return resets }), "2s").Should(Equal(2))
		Eventually(locked(func() any { return state.Epoch }), "2s").Should(BeEquivalentTo(2))
	})

	It("reports a store as not readable when calls fail", func() {
		startFollower(false)
		Eventually(locked(func() any { return state.Readable }), "2s").Should(BeTrue())
		source.update(func() { source.down = true })
		Eventually(locked(func() any { return state.Readable }), "3s").Should(BeFalse())
	})

	It("withdraws stale parts first and frees them after a delay", func() {
		startFollower(true)
		Eventually(locked(func() any { return retired }), "3s").Should(Equal(1))
		source.update(func() { Expect(source.freed).To(BeEmpty()) })
		mu.Lock()
		offset = zpparts.FreeDelay
		mu.Unlock()
		Eventually(func() int {
			source.mu.Lock()
			defer source.mu.Unlock()
			return len(source.freed)
		}, "3s").Should(Equal(1))
	})
})
