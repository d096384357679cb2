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
	It("runs no request in a region that a change excluded during the pause", func() {
		const callers = 60
		p := startPlatformDaemon(time.Millisecond)
		allowed := p.addEndpoint("i-1", "b", disconnectIP(4)+":9000", time.Millisecond)
		configure := func(version int, region string) {
			p.store.Put("config", "main", zpoutside.Config{
				Version: version, Pool: disconnectPool, ColdPerSecond: 6, Key: disconnectAPIKey, Regions: []string{region},
			}.Text())
		}
		configure(2, "n")
		Eventually(p.daemon.Log, "5s").Should(ContainSubstring(`"version":2`))
		Eventually(p.daemon.Log, "5s").Should(ContainSubstring(`"endpoint":"i-1-1"`))

		Expect(p.daemon.Pause()).To(Succeed())
		Consistently(p.daemon.Log, "2500ms").ShouldNot(ContainSubstring(`"version":3`)) // the pending watch ends meanwhile
		configure(3, "s")
		Consistently(p.daemon.Log, zpoutside.ApplyMS*time.Millisecond).ShouldNot(ContainSubstring(`"version":3`))
		for n := range callers {
			conn := p.send(http.MethodGet, "read", fmt.Sprintf("home-%d", n), "")
			DeferCleanup(conn.Close)
		}
		Expect(p.daemon.Resume()).To(Succeed())
		Eventually(allowed.Log.Runs, "5s").ShouldNot(BeEmpty())
		Consistently(p.endpoint.Log.Runs, "500ms").Should(BeEmpty())
		Expect(allowed.Log.Runs()).To(HaveLen(callers))
	})
})
