package zpqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpqueue"
)

// simulateFlood runs the load of the isolation proof against one queue in
// simulated time: 8 slots, 130 ms per request, one workspace that sends 150
// requests per second (the interval is rounded down to 6 ms) and one that sends
// 4. Requests expire after 3 s. It returns the number of expired requests by
// workspace.
func simulateFlood() map[string]int {
	const (
		slots, serviceMS                 = 8, 130
		floodIntervalMS, quietIntervalMS = 1000 / 150, 250
		maxWait, durationMS              = 3 * time.Second, 8000
	)
	q := &zpqueue.Queue[int]{}
	expired := map[string]int{}
	var endTimes []int // of the running requests, in ms
	for ms := range durationMS {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for flow, intervalMS := range map[string]int{"flood": floodIntervalMS, "quiet": quietIntervalMS} {
			if ms%intervalMS == 0 {
				q.Push(&zpqueue.Item[int]{
					ID: fmt.Sprintf("%s/%d", flow, ms), Flow: flow, Weight: 1, Cost: 100, Expiry: now.Add(maxWait),
				})
			}
		}
		for _, it := range q.Expire(now) {
			expired[it.Flow]++
		}
		running := endTimes[:0]
		for _, end := range endTimes {
			if end > ms {
				running = append(running, end)
			}
		}
		endTimes = running
		for len(endTimes) < slots {
			if _, ok := q.Pop(func(*zpqueue.Item[int]) bool { return true }); !ok {
				break
			}
			endTimes = append(endTimes, ms+serviceMS)
		}
	}
	return expired
}

var _ = Describe("A flood of requests from one workspace", func() {
	It("does not let requests of another workspace expire", func() {
		expired := simulateFlood()
		Expect(expired["flood"]).To(BeNumerically(">", 0), "the flood must exceed the capacity of the slots")
		Expect(expired["quiet"]).To(BeZero())
	})
})
