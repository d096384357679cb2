package e2e_test

import (
	"fmt"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
)

// Limits of the daemon with the project's own interface.
const (
	ownMemoryMB       = 112
	ownGoLimitMB      = 67
	ownRequestBytes   = 33 << 20
	ownMaxConnections = 150
	ownMaxFDs         = 500
)

// startOwnCrowdSite starts a daemon with the project's own interface.
func startOwnCrowdSite(number int) *crowdSite {
	GinkgoHelper()
	GinkgoT().Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", ownGoLimitMB))
	site := startSite(zpsite.Config{Number: number, Daemons: 1, Runners: 1, Services: 1, RequireKey: true, Settings: ownCrowdSettings()})
	c := &crowdSite{number: number, daemon: site.Daemons[0], address: strings.TrimPrefix(site.Target(0), "http://")}
	DeferCleanup(c.leave)
	c.peak = watchPeak(c.daemon.PID(), c.address)
	DeferCleanup(c.peak.end)
	return c
}

// expectOwnAlive checks that the daemon lives within its limits and answers an ordinary
// prompt, which a caller may repeat, as on the platform's interface.
func expectOwnAlive(c *crowdSite) {
	GinkgoHelper()
	Eventually(func() string { return c.ask(ownHead("ordinary"), ordinaryPrompt) }, "60s", "300ms").Should(Equal("200 OK"))
	c.peak.end()
	GinkgoWriter.Println("peak of memory:", c.peak.memory, "descriptors:", c.peak.descriptors)
	AddReportEntry("peak", fmt.Sprintf("%d bytes of %d, %d descriptors of %d, %d samples", c.peak.memory, ownMemoryMB<<20, c.peak.descriptors, ownMaxFDs, c.peak.samples))
	Expect(c.peak.memory).To(BeNumerically("<", ownMemoryMB<<20), "memory in bytes")
	Expect(c.peak.descriptors).To(BeNumerically("<", ownMaxFDs), "descriptors")
}

// ownHead returns the beginning of a prompt's head.
func ownHead(caller string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Caller: %s\r\n", completionPath, zpsite.Key(workspace), caller)
}

const ordinaryPrompt = `{"model":"assistant","prompt":"an ordinary prompt","max_tokens":2}`

var _ = Describe("A crowd of callers inside the limits of the project's own interface", Serial, func() {
	It("that sends heads of many lines", func() {
		c := startOwnCrowdSite(122)
		c.join(headCrowd, func(i int, conn net.Conn) {
			head := ownHead(fmt.Sprint(i))
			if write(conn, head+headerLines(len(head), func(n int) string { return shortName(n) + ":\r\n" })+"\r") {
				finish(i, conn, "\n")
			}
		})
		expectOwnAlive(c)
	})

	It("that sends large bodies", func() {
		c := startOwnCrowdSite(123)
		c.join(bodyCrowd, func(i int, conn net.Conn) {
			if write(conn, ownHead(fmt.Sprint(i))+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)) && write(conn, strings.Repeat("x", crowdBodyBytes-1)) {
				finish(i, conn, "x")
			}
		})
		expectOwnAlive(c)
	})

	It("that sends bodies in chunks of one byte", func() {
		c := startOwnCrowdSite(124)
		c.join(smallChunkCrowd, func(i int, conn net.Conn) {
			ok := write(conn, ownHead(fmt.Sprint(i))+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := 0; ok && sent < smallChunks; sent += 10_000 {
				ok = write(conn, strings.Repeat("1\r\nx\r\n", 10_000))
			}
			if ok && write(conn, "0\r\n\r") {
				finish(i, conn, "\n")
			}
		})
		expectOwnAlive(c)
	})
})

func ownCrowdSettings() map[string]string {
	return map[string]string{"callers.memory_bytes": fmt.Sprint(ownRequestBytes), "callers.max_connections": fmt.Sprint(ownMaxConnections)}
}
