package zpmirror_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmirror"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var _ = Describe("Mirror", func() {
	var store *zpobject.Memory
	var down, watchFails atomic.Bool
	var lists, changes, outages, recoveries atomic.Int64
	var mirror *zpmirror.Mirror

	BeforeEach(func() {
		store = zpobject.NewMemory()
		down.Store(false)
		watchFails.Store(false)
		for _, n := range []*atomic.Int64{&lists, &changes, &outages, &recoveries} {
			n.Store(0)
		}
		store.Fault = func(call, _ string) zpobject.Fault {
			if down.Load() || watchFails.Load() && call == "watch" {
				return zpobject.FaultRejected
			}
			return zpobject.FaultNone
		}
		mirror = &zpmirror.Mirror{
			API: store, Prefix: "kind/", WatchWait: 50 * time.Millisecond,
			OnList: func([]zpobject.Object) { lists.Add(1) }, OnChange: func(zpobject.Object) { changes.Add(1) },
			OnUnavailable: func(error) { outages.Add(1) }, OnAvailable: func() { recoveries.Add(1) },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			mirror.Run(ctx)
			close(done)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		Eventually(lists.Load).Should(BeEquivalentTo(1))
	})

	put := func(name string) {
		GinkgoHelper()
		_, err := store.Put(context.Background(), name, []byte("1"), 0)
		Expect(err).NotTo(HaveOccurred())
	}

	It("reports only changes under its prefix", func() {
		put("kind/a")
		put("other/a")
		Eventually(changes.Load).Should(BeEquivalentTo(1))
		Consistently(changes.Load, "100ms").Should(BeEquivalentTo(1))
	})

	It("reports an outage and its end once and lists the objects again", func() {
		down.Store(true)
		Eventually(outages.Load).Should(BeEquivalentTo(1))
		Consistently(outages.Load, "200ms").Should(BeEquivalentTo(1))
		down.Store(false)
		Eventually(recoveries.Load, "2s").Should(BeEquivalentTo(1))
		Eventually(lists.Load).Should(BeEquivalentTo(2))
	})

	It("pauses between lists while watches fail at once", func() {
		watchFails.Store(true)
		mirror.Restart()
		Eventually(lists.Load).Should(BeNumerically(">=", 2))
		before := lists.Load()
		Consistently(func() int64 { return lists.Load() - before }, "300ms").Should(BeNumerically("<=", 6))
		Expect(outages.Load()).To(BeZero())
		watchFails.Store(false)
		puts := 0
		Eventually(func() int64 {
			puts++
			put(fmt.Sprintf("kind/%d", puts))
			return changes.Load()
		}, "2s", "100ms").Should(BeNumerically(">", 0))
	})

	It("lists the objects again when restarted, without reporting an outage", func() {
		mirror.Restart()
		Eventually(lists.Load).Should(BeEquivalentTo(2))
		Expect(outages.Load()).To(BeZero())
	})
})
