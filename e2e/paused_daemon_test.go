package e2e_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

var _ = Describe("A daemon that was paused", func() {
	const callers = 60

	DescribeTable("sends nothing to an endpoint that was taken out of service during the pause",
		func(pause time.Duration, takeOut func(p *platformDaemon)) {
			p := startPlatformDaemon(time.Millisecond)
			other := p.addEndpoint("i-1", "b", disconnectIP(4)+":9000", time.Millisecond)
			p.store.Put("config", "main", zpoutside.Config{Version: 2, Pool: disconnectPool, ColdPerSecond: 6, Key: disconnectAPIKey, Regions: []string{"n", "s"}}.Text())
			Eventually(p.daemon.Log, "5s").Should(ContainSubstring(`"version":2`))
			Eventually(p.daemon.Log, "5s").Should(ContainSubstring(`"endpoint":"i-1-1"`))

			Expect(p.daemon.Pause()).To(Succeed())
			time.Sleep(pause)
			takeOut(p)
			time.Sleep(pause)
			for n := range callers {
				conn := p.send(http.MethodGet, "read", fmt.Sprintf("out-%d", n), "")
				DeferCleanup(conn.Close)
			}
			Expect(p.daemon.Resume()).To(Succeed())
			Eventually(other.Log.Runs, "5s").ShouldNot(BeEmpty())
			Consistently(p.endpoint.Log.Runs, "500ms").Should(BeEmpty())
		},
		Entry("evacuated, after a short pause", 700*time.Millisecond, evacuateFirst),
		Entry("evacuated, after a long one", 2500*time.Millisecond, evacuateFirst),
		Entry("removed, after a short pause", 700*time.Millisecond, removeFirst),
		Entry("removed, after a long one", 2500*time.Millisecond, removeFirst),
	)
})

func evacuateFirst(p *platformDaemon) { p.store.Put("evacuations", "a", "{}") }

func removeFirst(p *platformDaemon) {
	name, _ := p.endpoint.Entry()
	p.store.Remove("servers", name)
}
