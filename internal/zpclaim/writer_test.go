package zpclaim_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpclaim"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

var (
	now    = time.Unix(1000, 0)
	lastID atomic.Int64
)

func newID() string { return fmt.Sprintf("id%d", lastID.Add(1)) }

func newWriter(api zpobject.API) *zpclaim.Writer {
	return &zpclaim.Writer{
		API: api, Shard: 1, Retention: time.Hour, NewID: newID, Clock: func() time.Time { return now },
	}
}

func newRequest(key, token string) zpclaim.AcquireRequest {
	return zpclaim.AcquireRequest{Key: key, Token: token, Holder: "h", BodyHash: "b"}
}

func expectResult(w *zpclaim.Writer, a zpclaim.AcquireRequest, r zpclaim.Result) zpclaim.Claim {
	GinkgoHelper()
	v, err := w.Acquire(context.Background(), a)
	Expect(err).NotTo(HaveOccurred())
	Expect(v.Result).To(Equal(r))
	return v.Claim
}

func settle(w *zpclaim.Writer, key, token string, s zpclaim.State) {
	GinkgoHelper()
	err := w.Settle(context.Background(), zpclaim.Settlement{Key: key, Token: token, State: s, Status: 200, Answer: []byte("ok")})
	Expect(err).NotTo(HaveOccurred())
}

// failingStore returns a store whose first calls of a method fail with the listed
// faults, one fault per call; later calls succeed.
func failingStore(method string, faults ...zpobject.Fault) *zpobject.Memory {
	m := zpobject.NewMemory()
	var mu sync.Mutex
	m.Fault = func(call, _ string) zpobject.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call != method || len(faults) == 0 {
			return zpobject.FaultNone
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
	return m
}

var _ = Describe("Writer", func() {
	It("grants a key only once", func() {
		w := newWriter(zpobject.NewMemory())
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultGranted)
		c := expectResult(w, newRequest("k", "t2"), zpclaim.ResultExists)
		Expect(c.State).To(Equal(zpclaim.StateOpen))
	})

	It("grants a key only once when another writer has changed the shard since the table was loaded", func() {
		m := zpobject.NewMemory()
		first, second := newWriter(m), newWriter(m)
		expectResult(first, newRequest("a", "t1"), zpclaim.ResultGranted)
		expectResult(second, newRequest("b", "t2"), zpclaim.ResultGranted)
		expectResult(first, newRequest("b", "t3"), zpclaim.ResultExists)
		expectResult(second, newRequest("a", "t4"), zpclaim.ResultExists)
	})

	It("returns the stored answer for a key that is already finished", func() {
		w := newWriter(zpobject.NewMemory())
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t1", zpclaim.StateFinished)
		c := expectResult(newWriter(w.API), newRequest("k", "t2"), zpclaim.ResultExists)
		Expect(c.State).To(Equal(zpclaim.StateFinished))
		Expect(string(c.Answer)).To(Equal("ok"))
	})

	It("returns the state that another writer has stored since the table was loaded", func() {
		m := zpobject.NewMemory()
		first, second := newWriter(m), newWriter(m)
		expectResult(first, newRequest("k", "t1"), zpclaim.ResultGranted)
		settle(second, "k", "t1", zpclaim.StateFinished)
		Expect(expectResult(first, newRequest("k", "t2"), zpclaim.ResultExists).State).To(Equal(zpclaim.StateFinished))
	})

	It("reports a mismatch when a key is used with another body", func() {
		w := newWriter(zpobject.NewMemory())
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultGranted)
		mismatched := newRequest("k", "t2")
		mismatched.BodyHash = "other"
		expectResult(w, mismatched, zpclaim.ResultMismatch)
	})

	It("grants a key again after its claim was released", func() {
		w := newWriter(zpobject.NewMemory())
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t1", zpclaim.StateReleased)
		expectResult(w, newRequest("k", "t2"), zpclaim.ResultGranted)
	})

	It("ignores a settlement whose token does not hold the claim", func() {
		w := newWriter(zpobject.NewMemory())
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t9", zpclaim.StateReleased)
		expectResult(w, newRequest("k", "t2"), zpclaim.ResultExists)
	})

	It("does not grant a key again to the token that settled it as unknown", func() {
		w := newWriter(zpobject.NewMemory())
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultGranted)
		settle(w, "k", "t1", zpclaim.StateUnknown)
		expectResult(w, newRequest("k", "t1"), zpclaim.ResultExists)
	})

	DescribeTable("grants a claim that was stored although the response was lost",
		func(m *zpobject.Memory) {
			expectResult(newWriter(m), newRequest("k", "t1"), zpclaim.ResultGranted)
			expectResult(newWriter(m), newRequest("k", "t2"), zpclaim.ResultExists)
		},
		Entry("one lost response", failingStore("put", zpobject.FaultResponseLost)),
		Entry("three lost responses", failingStore("put", zpobject.FaultResponseLost, zpobject.FaultResponseLost, zpobject.FaultResponseLost)),
	)

	DescribeTable("returns ErrNotConfirmed when the store is unavailable",
		func(m *zpobject.Memory) {
			_, err := newWriter(m).Acquire(context.Background(), newRequest("k", "t1"))
			Expect(err).To(MatchError(ContainSubstring("could not confirm")))
		},
		Entry("for writes", failingStore("put", zpobject.FaultRejected)),
		Entry("for reads", failingStore("list", zpobject.FaultRejected)),
	)

	It("does not store a key on two pages when it is released and claimed anew while a write fails", func() {
		sealed, err := zpclaim.NewTable(1, nil)
		Expect(err).NotTo(HaveOccurred())
		_, page := sealed.Acquire(newRequest("k", "t1"), now)
		page.Sealed = true
		body, err := page.Encode()
		Expect(err).NotTo(HaveOccurred())
		for range 100 { // the order of the writes was random
			m := zpobject.NewMemory()
			_, err := m.Put(context.Background(), zpclaim.PageObjectName(1, 0), body, 0)
			Expect(err).NotTo(HaveOccurred())
			w := newWriter(m)
			// The first write blocks, so that the two calls after it are in one batch.
			var puts atomic.Int64
			release := make(chan struct{})
			m.Fault = func(call, name string) zpobject.Fault {
				if call == "put" && puts.Add(1) == 1 {
					<-release
				} else if call == "put" && name == zpclaim.PageObjectName(1, 0) {
					return zpobject.FaultRejected
				}
				return zpobject.FaultNone
			}
			var wg sync.WaitGroup
			wg.Go(func() { _, _ = w.Acquire(context.Background(), newRequest("other", "t0")) })
			Eventually(puts.Load).Should(BeEquivalentTo(1))
			wg.Go(func() {
				_ = w.Settle(context.Background(), zpclaim.Settlement{Key: "k", Token: "t1", State: zpclaim.StateReleased})
			})
			Eventually(w.Pending).Should(Equal(1))
			wg.Go(func() { _, _ = w.Acquire(context.Background(), newRequest("k", "t2")) })
			Eventually(w.Pending).Should(Equal(2))
			close(release)
			wg.Wait()
			m.Fault = nil
			l, err := m.List(context.Background(), zpclaim.ShardPrefix(1))
			Expect(err).NotTo(HaveOccurred())
			pages := 0
			for _, o := range l.Objects {
				if strings.Contains(string(o.Body), `"k":`) {
					pages++
				}
			}
			Expect(pages).To(BeNumerically("<=", 1))
		}
	})

	It("returns no decision to a caller that has left", func() {
		m := zpobject.NewMemory()
		var puts atomic.Int64
		m.Fault = func(call, _ string) zpobject.Fault {
			if call == "put" {
				puts.Add(1)
			}
			return zpobject.FaultNone
		}
		w := newWriter(m)
		// All of the first callers may have left before the first write begins.
		for i := 0; i < 200 || puts.Load() == 0; i++ {
			Expect(i).To(BeNumerically("<", 1_000_000))
			ctx, cancel := context.WithCancel(context.Background())
			go cancel()
			d, err := w.Acquire(ctx, newRequest(fmt.Sprintf("k%d", i), "t"))
			if err != nil {
				Expect(d).To(BeZero())
			}
		}
		Expect(puts.Load()).To(BeNumerically(">", 0))
	})

	It("stores calls that arrive during a write with a single further write", func() {
		m := zpobject.NewMemory()
		var puts atomic.Int64
		release := make(chan struct{})
		m.Fault = func(call, _ string) zpobject.Fault {
			if call == "put" && puts.Add(1) == 1 {
				<-release
			}
			return zpobject.FaultNone
		}
		w := newWriter(m)
		var wg sync.WaitGroup
		start := func(i int) {
			wg.Go(func() {
				defer GinkgoRecover()
				expectResult(w, newRequest(fmt.Sprintf("k%d", i), newID()), zpclaim.ResultGranted)
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
	fillPages := func(w *zpclaim.Writer, n int) {
		GinkgoHelper()
		for i := range n {
			key := fmt.Sprintf("key-%04d", i)
			expectResult(w, newRequest(key, "t-"+key), zpclaim.ResultGranted)
			Expect(w.Settle(context.Background(), zpclaim.Settlement{
				Key: key, Token: "t-" + key, State: zpclaim.StateFinished, Status: 200, Answer: make([]byte, 2000),
			})).To(Succeed())
		}
	}

	It("are sealed when full, stay below the size limit of an object and are still searched", func() {
		m := zpobject.NewMemory()
		fillPages(newWriter(m), 80)
		l, err := m.List(context.Background(), zpclaim.ShardPrefix(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(l.Objects)).To(BeNumerically(">", 1))
		for _, o := range l.Objects {
			Expect(len(o.Body)).To(BeNumerically("<", zpobject.MaxBodyBytes))
		}
		Expect(expectResult(newWriter(m), newRequest("key-0000", "other"), zpclaim.ResultExists).State).To(Equal(zpclaim.StateFinished))
	})

	It("leave room for the answers of claims that are open", func() {
		m := zpobject.NewMemory()
		w := newWriter(m)
		w.MaxAnswerBytes = 8 << 10
		const claims = 120 // their answers together exceed the size limit of an object
		key := func(i int) string { return fmt.Sprintf("key-%04d", i) }
		var wg sync.WaitGroup
		for i := range claims {
			wg.Go(func() {
				defer GinkgoRecover()
				expectResult(w, newRequest(key(i), "t"), zpclaim.ResultGranted)
			})
		}
		wg.Wait()
		for i := range claims {
			Expect(w.Settle(context.Background(), zpclaim.Settlement{
				Key: key(i), Token: "t", State: zpclaim.StateFinished, Status: 200, Answer: make([]byte, w.MaxAnswerBytes),
			})).To(Succeed(), key(i))
		}
		for i := range claims {
			Expect(expectResult(newWriter(m), newRequest(key(i), "u"), zpclaim.ResultExists).Answer).To(HaveLen(8 << 10))
		}
	})

	It("cannot be written by a writer that loaded the table before they were sealed", func() {
		m := zpobject.NewMemory()
		stale := newWriter(m)
		expectResult(stale, newRequest("first", "t0"), zpclaim.ResultGranted)
		fillPages(newWriter(m), 80)
		expectResult(newWriter(m), newRequest("last", "t1"), zpclaim.ResultGranted)
		expectResult(stale, newRequest("last", "t2"), zpclaim.ResultExists)
	})

	It("are deleted after the retention time, except for the newest", func() {
		m := zpobject.NewMemory()
		fillPages(newWriter(m), 80)
		laterWriter := newWriter(m)
		laterWriter.Clock = func() time.Time { return now.Add(2 * time.Hour) }
		expectResult(laterWriter, newRequest("new", "t"), zpclaim.ResultGranted)
		l, err := m.List(context.Background(), zpclaim.ShardPrefix(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Objects).To(HaveLen(1))
	})
})
