package zpstall_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zplog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpstall"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zpstall")
}

// steppingClock is a clock that advances by step at each reading.
type steppingClock struct {
	mu   sync.Mutex
	now  time.Time
	step time.Duration
}

func (c *steppingClock) advance() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(c.step)
	return c.now
}

var _ = Describe("Detector", func() {
	DescribeTable("observes the delay of a wake-up and logs an event from the threshold on",
		func(step, wantLate time.Duration, wantEvents int) {
			var out bytes.Buffer
			log, err := zplog.New(&out, "info", "json")
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			var observed time.Duration
			d := &zpstall.Detector{Log: log, Clock: (&steppingClock{step: step}).advance, Observe: func(late time.Duration) {
				observed = late
				cancel()
			}}
			d.Run(ctx)
			Expect(observed).To(Equal(wantLate))
			Expect(bytes.Count(out.Bytes(), []byte(`"event":902`))).To(Equal(wantEvents))
		},
		Entry("no delay", 200*time.Millisecond, time.Duration(0), 0),
		Entry("a delay below the threshold", 250*time.Millisecond, 50*time.Millisecond, 0),
		Entry("a pause of several seconds", 3200*time.Millisecond, 3*time.Second, 1),
	)
})
