package zpclaim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var (
	now = time.Unix(1000, 0)
	ids atomic.Int64
)

func newID() string { return fmt.Sprintf("id%d", ids.Add(1)) }

func writer(api zpobject.API) *zpclaim.Writer {
	return &zpclaim.Writer{
		API: api, Shard: 1, Retention: time.Hour, NewID: newID, Clock: func() time.Time { return now },
	}
}

func ask(key, token string) zpclaim.Ask {
	return zpclaim.Ask{Key: key, Token: token, Holder: "h", BodyHash: "b"}
}

func expectResult(w *zpclaim.Writer, a zpclaim.Ask, r zpclaim.Result) zpclaim.Claim {
	GinkgoHelper()
	v, err := w.Ask(context.Background(), a)
	Expect(err).NotTo(HaveOccurred())
	Expect(v.Result).To(Equal(r))
	return v.Claim
}

func settle(w *zpclaim.Writer, key, token string, s zpclaim.State) {
	GinkgoHelper()
	err := w.Settle(context.Background(), zpclaim.Settlement{Key: key, Token: token, State: s, Status: 200, Answer: []byte("ok")})
	Expect(err).NotTo(HaveOccurred())
}

// failing returns a store that fails each call of the given kind in turn with
// the listed faults, and then works.
func failing(call string, faults ...zpobject.Fault) *zpobject.Memory {
	m := zpobject.NewMemory()
	var mu sync.Mutex
	m.Fault = func(c, _ string) zpobject.Fault {
		mu.Lock()
		defer mu.Unlock()
		if c != call || len(faults) == 0 {
			return zpobject.FaultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	return m
}

var _ = Describe("Writer", func() {
	It("grants a key once", func() {
		w := writer(zpobject.NewMemory())
		expectResult(w, ask("k", "t1"), zpclaim.ResultGranted)
		c := expectResult(w, ask("k", "t2"), zpclaim.ResultExists)
		Expect(c.State).To(Equal(zpclaim.StateOpen))
	})

	It("grants a key once to writers that do not know of each other", func() {
		m := zpobject.NewMemory()
		first, second := writer(m), writer(m)
		expectResult(first, ask("a", "t1"), zpclaim.ResultGranted)
		expectResult(second, ask("b", "t2"), zpclaim.ResultGranted)
		expectResult(first, ask("b", "t3"), zpclaim.ResultExists)
		expectResult(second, ask("a", "t4"), zpclaim.ResultExists)
	})

	It("answers a repeat from the record", func() {
		w := writer(zpobject.NewMemory())
		expectResult(w, ask("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t1", zpclaim.StateFinished)
		c := expectResult(writer(w.API), ask("k", "t2"), zpclaim.ResultExists)
		Expect(c.State).To(Equal(zpclaim.StateFinished))
		Expect(string(c.Answer)).To(Equal("ok"))
	})

	It("tells a repeat what another writer has recorded since", func() {
		m := zpobject.NewMemory()
		first, second := writer(m), writer(m)
		expectResult(first, ask("k", "t1"), zpclaim.ResultGranted)
		settle(second, "k", "t1", zpclaim.StateFinished)
		Expect(expectResult(first, ask("k", "t2"), zpclaim.ResultExists).State).To(Equal(zpclaim.StateFinished))
	})

	It("refuses a key that is used with another body", func() {
		w := writer(zpobject.NewMemory())
		expectResult(w, ask("k", "t1"), zpclaim.ResultGranted)
		other := ask("k", "t2")
		other.BodyHash = "other"
		expectResult(w, other, zpclaim.ResultMismatch)
	})

	It("frees a key whose attempt has not run", func() {
		w := writer(zpobject.NewMemory())
		expectResult(w, ask("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t1", zpclaim.StateReleased)
		expectResult(w, ask("k", "t2"), zpclaim.ResultGranted)
	})

	It("does not let a late attempt settle another's claim", func() {
		w := writer(zpobject.NewMemory())
		expectResult(w, ask("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t9", zpclaim.StateReleased)
		expectResult(w, ask("k", "t2"), zpclaim.ResultExists)
	})

	It("never grants a settled token again", func() {
		w := writer(zpobject.NewMemory())
		expectResult(w, ask("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t1", zpclaim.StateUnknown)
		expectResult(w, ask("k", "t1"), zpclaim.ResultExists)
	})

	DescribeTable("reads back its own token after a fault",
		func(m *zpobject.Memory) {
			expectResult(writer(m), ask("k", "t1"), zpclaim.ResultGranted)
			expectResult(writer(m), ask("k", "t2"), zpclaim.ResultExists)
		},
		Entry("one answer lost", failing("put", zpobject.FaultLost)),
		Entry("three answers lost", failing("put", zpobject.FaultLost, zpobject.FaultLost, zpobject.FaultLost)),
	)

	DescribeTable("refuses when it cannot confirm",
		func(m *zpobject.Memory) {
			_, err := writer(m).Ask(context.Background(), ask("k", "t1"))
			Expect(err).To(MatchError(ContainSubstring("could not confirm")))
		},
		Entry("writes are down", failing("put", zpobject.FaultDown)),
		Entry("reads are down", failing("list", zpobject.FaultDown)),
	)

	It("shares one write among calls that come together", func() {
		m := zpobject.NewMemory()
		var puts atomic.Int64
		release := make(chan struct{})
		m.Fault = func(call, _ string) zpobject.Fault {
			if call == "put" && puts.Add(1) == 1 {
				<-release
			}
			return zpobject.FaultNone
		}
		w := writer(m)
		var wg sync.WaitGroup
		start := func(i int) {
			wg.Go(func() {
				defer GinkgoRecover()
				expectResult(w, ask(fmt.Sprintf("k%d", i), newID()), zpclaim.ResultGranted)
			})
		}
		start(0)
		Eventually(puts.Load).Should(BeEquivalentTo(1))
		for i := range 49 {
			start(i + 1)
		}
		Eventually(w.Pending).Should(Equal(49))
		close(release)
		wg.Wait()
		Expect(puts.Load()).To(BeEquivalentTo(2))
	})
})

var _ = Describe("Pages", func() {
	fill := func(w *zpclaim.Writer, n int) {
		GinkgoHelper()
		for i := range n {
			key := fmt.Sprintf("key-%04d", i)
			expectResult(w, ask(key, "t-"+key), zpclaim.ResultGranted)
			Expect(w.Settle(context.Background(), zpclaim.Settlement{
				Key: key, Token: "t-" + key, State: zpclaim.StateFinished, Status: 200, Answer: make([]byte, 2000),
			})).To(Succeed())
		}
	}

	It("are sealed when full, and still found", func() {
		m := zpobject.NewMemory()
		fill(writer(m), 80)
		l, err := m.List(context.Background(), zpclaim.ShardPrefix(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(l.Objects)).To(BeNumerically(">", 1))
		for _, o := range l.Objects {
			Expect(len(o.Body)).To(BeNumerically("<", zpobject.MaxBodyBytes))
		}
		Expect(expectResult(writer(m), ask("key-0000", "other"), zpclaim.ResultExists).State).To(Equal(zpclaim.StateFinished))
	})

	It("cannot be written by a writer that has not seen them sealed", func() {
		m := zpobject.NewMemory()
		stale := writer(m)
		expectResult(stale, ask("first", "t0"), zpclaim.ResultGranted)
		fill(writer(m), 80)
		expectResult(writer(m), ask("last", "t1"), zpclaim.ResultGranted)
		expectResult(stale, ask("last", "t2"), zpclaim.ResultExists)
	})

	It("are deleted past their retention, but for the newest", func() {
		m := zpobject.NewMemory()
		fill(writer(m), 80)
		later := writer(m)
		later.Clock = func() time.Time { return now.Add(2 * time.Hour) }
		expectResult(later, ask("new", "t"), zpclaim.ResultGranted)
		l, err := m.List(context.Background(), zpclaim.ShardPrefix(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Objects).To(HaveLen(1))
	})
})
