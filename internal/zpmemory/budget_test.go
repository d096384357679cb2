package zpmemory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmemory"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

const (
	megabyte = 1 << 20
	kilobyte = 1 << 10
)

// crowd is a budget of 16 MB, 100 connections, and what it refused and evicted.
type crowd struct {
	*zpmemory.Budget
	now     time.Time
	refused []zpmemory.Reason
	evicted []string // names of holders
}

func newCrowd() *crowd {
	c := &crowd{now: time.Unix(1000, 0)}
	c.Budget = &zpmemory.Budget{
		Bytes: 16 * megabyte, Connections: 100,
		OnRefuse: func(r zpmemory.Refusal) { c.refused = append(c.refused, r.Reason) },
	}
	return c
}

// open adds a holder of a workspace in a phase; "" is not identified.
func (c *crowd) open(name, workspace string, p zpmemory.Phase) *zpmemory.Holder {
	GinkgoHelper()
	h, err := c.Open(func(zpmemory.Phase) { c.evicted = append(c.evicted, name) }, c.now)
	Expect(err).NotTo(HaveOccurred())
	h.Identify(workspace)
	h.Enter(p, c.now)
	return h
}

// fill opens holders of a workspace with the given bytes until one is refused.
func (c *crowd) fill(workspace string, p zpmemory.Phase, bytes int64) (holders []*zpmemory.Holder) {
	GinkgoHelper()
	for {
		h := c.open("filler of "+workspace, workspace, p)
		if err := h.Reserve(bytes, c.now); err != nil {
			expectNotRun(err)
			h.Close()
			return holders
		}
		holders = append(holders, h)
	}
}

func (c *crowd) pass(d time.Duration) { c.now = c.now.Add(d) }

// expectNotRun checks that an error tells a caller that its request has not run and when to
// send it again.
func expectNotRun(err error) {
	GinkgoHelper()
	e := zperror.Of(err)
	Expect(e.Code).To(Equal("memory_exhausted"))
	Expect(e.Kind.HTTPStatus()).To(Equal(503))
	Expect(e.RunState).To(Equal(zperror.RunStateNotRun))
	Expect(e.RetryAfter).To(BeNumerically(">", 0))
}

var _ = Describe("Budget", func() {
	It("never exceeds its bytes", func() {
		c := newCrowd()
		for _, workspace := range []string{"a", "b", "c", ""} {
			c.fill(workspace, zpmemory.PhaseRunning, megabyte)
		}
		used, _ := c.Used()
		Expect(used).To(BeNumerically("<=", 16*megabyte))
		Expect(used).To(BeNumerically(">", 12*megabyte))
	})

	It("gives back all bytes of closed holders", func() {
		c := newCrowd()
		holders := append(c.fill("a", zpmemory.PhaseBody, megabyte), c.open("idle", "", zpmemory.PhaseIdle))
		for _, h := range holders {
			h.Close()
			h.Close()
			h.Release(1)
			h.Reset(c.now)
		}
		used, open := c.Used()
		Expect(used).To(BeZero())
		Expect(open).To(BeZero())
	})

	It("gives back all but the connection's bytes at the end of a request", func() {
		c := newCrowd()
		h := c.open("one", "a", zpmemory.PhaseRunning)
		Expect(h.Reserve(megabyte, c.now)).To(Succeed())
		h.Reset(c.now)
		used, _ := c.Used()
		Expect(used).To(BeEquivalentTo(zpmemory.ConnectionBytes))
	})

	It("keeps room for small requests while large ones use the rest", func() {
		c := newCrowd()
		c.fill("a", zpmemory.PhaseRunning, megabyte)
		c.fill("b", zpmemory.PhaseRunning, megabyte)
		small := c.open("small", "a", zpmemory.PhaseBody)
		Expect(small.Reserve(20*kilobyte, c.now)).To(Succeed())
	})

	It("lets one workspace use most of an otherwise unused budget", func() {
		c := newCrowd()
		Expect(len(c.fill("a", zpmemory.PhaseRunning, megabyte))).To(BeNumerically(">=", 11))
	})

	It("keeps a busy budget from being used by one workspace alone", func() {
		c := newCrowd()
		c.fill("a", zpmemory.PhaseRunning, megabyte)
		Expect(c.open("other", "b", zpmemory.PhaseBody).Reserve(megabyte, c.now)).To(Succeed())
	})

	It("keeps callers without a known key from using what workspaces need", func() {
		c := newCrowd()
		c.fill("", zpmemory.PhaseRunning, megabyte)
		Expect(c.open("known", "a", zpmemory.PhaseBody).Reserve(megabyte, c.now)).To(Succeed())
	})

	It("refuses connections beyond its limit", func() {
		c := newCrowd()
		for range 100 {
			c.open("busy", "a", zpmemory.PhaseRunning)
		}
		_, err := c.Open(func(zpmemory.Phase) {}, c.now)
		expectNotRun(err)
		Expect(c.refused).To(ConsistOf(zpmemory.ReasonConnections))
		Expect(c.evicted).To(BeEmpty())
	})

	It("ends the connection that has been idle for longest for a new one", func() {
		c := newCrowd()
		c.open("oldest", "", zpmemory.PhaseIdle)
		c.pass(time.Millisecond)
		for range 99 {
			c.open("idle", "", zpmemory.PhaseIdle)
		}
		c.open("new", "", zpmemory.PhaseHead)
		Expect(c.evicted).To(ConsistOf("oldest"))
		_, open := c.Used()
		Expect(open).To(Equal(100))
	})
})

var _ = Describe("Eviction", func() {
	DescribeTable("while memory is short",
		func(workspace string, p zpmemory.Phase, bytesPerSecond int, evicted bool) {
			c := newCrowd()
			slow := c.open("slow", workspace, p)
			Expect(slow.Reserve(megabyte, c.now)).To(Succeed())
			for range 100 {
				c.pass(100 * time.Millisecond)
				slow.Advance(bytesPerSecond/10, c.now)
			}
			c.fill("b", zpmemory.PhaseRunning, megabyte)
			Expect(c.evicted).To(Equal(map[bool][]string{true: {"slow"}}[evicted]))
			Expect(slow.IsEvicted()).To(Equal(evicted))
		},
		Entry("ends a head that stopped", "", zpmemory.PhaseHead, 0, true),
		Entry("ends a body that stopped", "a", zpmemory.PhaseBody, 0, true),
		Entry("ends a body of a byte now and then", "a", zpmemory.PhaseBody, 10, true),
		Entry("ends a response that is not read", "a", zpmemory.PhaseWriting, 0, true),
		Entry("spares a slow sound sender", "a", zpmemory.PhaseBody, 8*kilobyte, false),
		Entry("spares a slow reader", "a", zpmemory.PhaseWriting, 8*kilobyte, false),
		Entry("spares a request that runs", "a", zpmemory.PhaseRunning, 0, false),
	)

	It("ends a body that stopped just short of its end", func() {
		c := newCrowd()
		h := c.open("short", "a", zpmemory.PhaseBody)
		Expect(h.Reserve(4*megabyte, c.now)).To(Succeed())
		h.Advance(4*megabyte-1, c.now)
		c.pass(2 * time.Second)
		c.fill("b", zpmemory.PhaseRunning, megabyte)
		Expect(c.evicted).To(ConsistOf("short"))
	})

	It("ends those without progress for longest first, and no more than needed", func() {
		c := newCrowd()
		for _, name := range []string{"first", "second", "third"} {
			Expect(c.open(name, "a", zpmemory.PhaseBody).Reserve(megabyte, c.now)).To(Succeed())
			c.pass(time.Second)
		}
		c.pass(time.Second)
		c.fill("b", zpmemory.PhaseRunning, megabyte)
		Expect(c.evicted).To(ConsistOf("first"))
	})

	It("ends callers that do not read, and no others, for the memory of responses", func() {
		c := newCrowd()
		for name, p := range map[string]zpmemory.Phase{"writer": zpmemory.PhaseWriting, "body": zpmemory.PhaseBody, "idle": zpmemory.PhaseIdle, "run": zpmemory.PhaseRunning} {
			c.open(name, "a", p)
		}
		Expect(c.EvictWriters(c.now)).To(BeFalse())
		Expect(c.evicted).To(BeEmpty())
		c.pass(2 * time.Second)
		reader := c.open("reader", "a", zpmemory.PhaseWriting)
		for range 10 {
			c.pass(200 * time.Millisecond)
			reader.Advance(64*kilobyte, c.now)
		}
		Expect(c.EvictWriters(c.now)).To(BeTrue())
		Expect(c.evicted).To(ConsistOf("writer"))
	})

	It("ends a response that is not read if its start was not measured", func() {
		c := newCrowd()
		c.open("writer", "a", zpmemory.PhaseRunning).Enter(zpmemory.PhaseWriting, time.Time{})
		c.EvictWriters(c.now)
		Expect(c.evicted).To(BeEmpty())
		c.pass(time.Second)
		c.EvictWriters(c.now)
		Expect(c.evicted).To(ConsistOf("writer"))
	})

	// A request sent together with the one before it counted as idle while it ran.
	It("spares a request that arrived with the one before", func() {
		c := newCrowd()
		h := c.open("second", "", zpmemory.PhaseRunning)
		h.Reset(c.now)
		Expect(h.ReserveRequest(map[string][]string{"a": {"1", "2"}, "b": {"3"}}, c.now)).To(Succeed())
		used, _ := c.Used()
		Expect(used).To(BeEquivalentTo(zpmemory.ConnectionBytes + zpmemory.RequestBytes + 3*zpmemory.LineBytes))
		c.pass(time.Minute)
		for range 99 {
			c.open("busy", "", zpmemory.PhaseRunning)
		}
		_, err := c.Open(func(zpmemory.Phase) {}, c.now)
		expectNotRun(err)
		Expect(c.evicted).To(BeEmpty())
	})

	It("leaves all alone while there is room", func() {
		c := newCrowd()
		Expect(c.open("stopped", "a", zpmemory.PhaseBody).Reserve(megabyte, c.now)).To(Succeed())
		c.pass(time.Hour)
		Expect(c.open("other", "b", zpmemory.PhaseBody).Reserve(megabyte, c.now)).To(Succeed())
		Expect(c.evicted).To(BeEmpty())
	})
})

var _ = Describe("PlanFor", func() {
	DescribeTable("leaves the runtime and the program room",
		func(vm int64) {
			p := zpmemory.PlanFor(vm)
			Expect(p.Requests + p.Responses + p.Control).To(BeNumerically("<", p.GoLimit*7/10))
			Expect(p.GoLimit).To(BeNumerically("<", vm*7/10))
			// The largest body of the users' configurations fits with room for others.
			Expect(p.Requests / 2).To(BeNumerically(">", 4*megabyte))
		},
		Entry("smallest", int64(112*megabyte)), Entry("largest", int64(536*megabyte)),
	)

	It("bounds requests on a VM of unknown size", func() {
		p := zpmemory.PlanFor(0)
		Expect(p.GoLimit).To(BeZero())
		Expect(p.Requests).To(BeNumerically(">", 0))
	})
})
