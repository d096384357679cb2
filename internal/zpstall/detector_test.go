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

// clock advances by a step at each reading.
type clock struct {
	mu   sync.Mutex
	now  time.Time
	step time.Duration
}

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(c.step)
	return c.now
}

var _ = Describe("Detector", func() {
	DescribeTable("tells of wake-ups that come late",
		func(step, late time.Duration, lines int) {
			var out bytes.Buffer
			log, err := zplog.New(&out, "info", "json")
			Expect(err).NotTo(HaveOccurred())
			ctx, stop := context.WithCancel(context.Background())
			var seen time.Duration
			d := &zpstall.Detector{Log: log, Clock: (&clock{step: step}).read, Observe: func(late time.Duration) {
				seen = late
				stop()
			}}
			d.Run(ctx)
			Expect(seen).To(Equal(late))
			Expect(bytes.Count(out.Bytes(), []byte(`"event":902`))).To(Equal(lines))
		},
		Entry("on time", 200*time.Millisecond, time.Duration(0), 0),
		Entry("a little late", 250*time.Millisecond, 50*time.Millisecond, 0),
		Entry("after a pause", 3200*time.Millisecond, 3*time.Second, 1),
	)
})
