package zpforecast_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpforecast"
	"github.com/zinniapaddle/zinniapaddle/internal/zpline"
)

var _ = Describe("Shares", func() {
	usual := func() *zpforecast.Shares {
		s := &zpforecast.Shares{}
		for ms := range 1000 {
			s.Record("large", 6, at(ms))
			s.Record("middle", 3, at(ms))
			s.Record("small", 1, at(ms))
		}
		return s
	}

	DescribeTable("tell a workspace that asks for more than usual from a large one",
		func(workspace string, waiting float64, over bool) {
			Expect(usual().IsOver(workspace, waiting, 100, at(1000))).To(Equal(over))
		},
		Entry("a large one as usual", "large", 60.0, false),
		Entry("a large one with somewhat more", "large", 70.0, false),
		Entry("a large one with far more", "large", 85.0, true),
		Entry("a small one as usual", "small", 10.0, false),
		Entry("a small one with up to an equal part", "small", 24.0, false),
		Entry("a small one that bursts", "small", 40.0, true),
		Entry("a new one with little", "new", 20.0, false),
		Entry("a new one with much", "new", 60.0, true),
		Entry("none of what waits", "large", 0.0, false),
	)

	It("find nobody over while there is one workspace, or nothing waits", func() {
		s := &zpforecast.Shares{}
		s.Record("only", 1, at(0))
		Expect(s.IsOver("only", 10, 10, at(0))).To(BeFalse())
		Expect(usual().IsOver("small", 0, 0, at(1000))).To(BeFalse())
	})

	It("keep a bounded number of workspaces", func() {
		s := usual()
		for i := range 10_000 {
			s.Record(fmt.Sprint("w", i), 1, at(1000))
		}
		Expect(s.IsOver("w9999", 50, 100, at(1000))).To(BeTrue())
	})
})

// crowd plays two workspaces at one endpoint that takes 50 ms for a request. Each sends 0.45 of
// what it can do; from the fourth to the eighth second "loud" sends three times as much.
type crowd struct {
	withShares   bool
	random       *rand.Rand
	line         zpline.Queue[string]
	shares       zpforecast.Shares
	sent, onTime map[string]float64 // of the burst
	freeAt       int
}

const burstFromMS, burstUntilMS, crowdEndMS = 4000, 8000, 14_000

func isBurst(at time.Duration) bool {
	return at >= burstFromMS*time.Millisecond && at < burstUntilMS*time.Millisecond
}

// play returns the shares of the requests of the burst that were served on time.
func (c *crowd) play() (quiet, loud float64) {
	c.random, c.sent, c.onTime = rand.New(rand.NewPCG(3, 4)), map[string]float64{}, map[string]float64{}
	for ms := range crowdEndMS {
		c.arrive("quiet", 0.45, ms)
		if isBurst(milliseconds(ms)) {
			c.arrive("loud", 3*0.45, ms)
		} else {
			c.arrive("loud", 0.45, ms)
		}
		c.line.RemoveExpired(at(ms))
		if ms >= c.freeAt && c.line.Len() > 0 {
			c.serve(ms)
		}
	}
	return c.onTime["quiet"] / c.sent["quiet"], c.onTime["loud"] / c.sent["loud"]
}

func (c *crowd) arrive(name string, rate float64, ms int) {
	if c.random.Float64() >= rate/workMS {
		return
	}
	c.shares.Record(name, 1, at(ms))
	c.line.Add(&zpline.Entry[string]{ArrivedAt: at(ms), Objective: milliseconds(objectiveMS), ServiceTime: milliseconds(workMS), Deadline: at(ms + deadlineMS), Value: name})
	if isBurst(milliseconds(ms)) {
		c.sent[name]++
	}
}

func (c *crowd) serve(ms int) {
	waiting := map[string]float64{}
	entries := c.line.Ordered(at(ms))
	for _, e := range entries {
		waiting[e.Value]++
	}
	for _, e := range entries {
		e.IsOver = c.withShares && c.shares.IsOver(e.Value, waiting[e.Value], float64(len(entries)), at(ms))
	}
	e := c.line.Ordered(at(ms))[0]
	c.line.Remove(e)
	c.freeAt = ms + workMS
	if isBurst(e.ArrivedAt.Sub(start)) && e.CanMeetObjective(at(ms)) {
		c.onTime[e.Value]++
	}
}

var _ = Describe("A workspace that bursts", func() {
	It("pays for it itself", func() {
		quietBefore, loudBefore := (&crowd{}).play()
		quiet, loud := (&crowd{withShares: true}).play()
		GinkgoWriter.Println(quietBefore, loudBefore, quiet, loud)
		Expect(quiet).To(BeNumerically(">", quietBefore+0.3))
		Expect(quiet).To(BeNumerically(">", 0.95))
		Expect(loud).To(BeNumerically(">", 0.3), "what is left of the room")
	})
})
