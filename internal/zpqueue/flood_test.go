package zpqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpqueue"
)

// playFlood plays the load of the isolation proof against one queue, without
// real time: eight places of 130 ms, one workspace that sends 150 requests a
// second and one that sends four, all of which give up after three seconds. It
// returns how many requests of each workspace gave up.
func playFlood() map[string]int {
	const (
		places, service    = 8, 130
		floodMS, quietMS   = 1000 / 150, 250
		patience, duration = 3 * time.Second, 8000
	)
	q := &zpqueue.Queue[int]{}
	lost := map[string]int{}
	var busy []int // when each running request ends, in ms
	for ms := range duration {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for flow, every := range map[string]int{"flood": floodMS, "quiet": quietMS} {
			if ms%every == 0 {
				q.Push(&zpqueue.Item[int]{
					ID: fmt.Sprintf("%s/%d", flow, ms), Flow: flow, Weight: 1, Cost: 100, Expiry: now.Add(patience),
				})
			}
		}
		for _, it := range q.Expire(now) {
			lost[it.Flow]++
		}
		running := busy[:0]
		for _, end := range busy {
			if end > ms {
				running = append(running, end)
			}
		}
		busy = running
		for len(busy) < places {
			if _, ok := q.Pop(func(*zpqueue.Item[int]) bool { return true }); !ok {
				break
			}
			busy = append(busy, ms+service)
		}
	}
	return lost
}

var _ = Describe("A flood of one workspace", func() {
	It("costs another workspace no request", func() {
		lost := playFlood()
		Expect(lost["flood"]).To(BeNumerically(">", 0), "the flood must be more than the places bear")
		Expect(lost["quiet"]).To(BeZero())
	})
})
