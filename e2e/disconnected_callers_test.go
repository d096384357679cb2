package e2e_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

const (
	disconnectSiteNumber = 61 // second byte of each loopback address
	disconnectPool       = "orders"
	disconnectAPIKey     = "key-of-w"
)

// platformDaemon is a daemon process on the users' platform, with a store and
// an endpoint served by the test.
type platformDaemon struct {
	daemon         *zpsite.Process
	store          *zpoutside.Store
	endpoint       *zpoutside.Endpoint // in failure domain "a", region "n"
	callersAddress string              // address that callers connect to
}

func disconnectIP(i int) string { return fmt.Sprintf("127.%d.0.%d", disconnectSiteNumber, i) }

func serveHTTP(address string, h http.Handler) {
	GinkgoHelper()
	lis, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(lis) }() // returns when the spec closes the server
	DeferCleanup(server.Close)
}

func startPlatformDaemon(work time.Duration) *platformDaemon {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	store := zpoutside.NewStore()
	store.Put("config", "main", zpoutside.Config{Version: 1, Pool: disconnectPool, ColdPerSecond: 6, Key: disconnectAPIKey}.Text())
	serveHTTP(disconnectIP(1)+":7000", store)
	p := &platformDaemon{store: store, callersAddress: fmt.Sprintf("%s:%d", disconnectIP(3), zpoutside.CallersPort)}
	p.endpoint = p.addEndpoint("i-0", "a", disconnectIP(2)+":9000", work)
	node := zpoutside.Node{Name: "front-0", IP: disconnectIP(3), Domain: "a", Region: "n", Regions: map[string]string{"a": "n", "b": "s"}, Store: disconnectIP(1) + ":7000", MemoryMB: 284}
	file := filepath.Join(dir, "front-0.toml")
	Expect(os.WriteFile(file, []byte(node.Settings()), 0o600)).To(Succeed())
	p.daemon = &zpsite.Process{
		Name: "front-0", Path: filepath.Join(binDir, "zinniapaddle"), Args: []string{"serve"}, Dir: dir, Env: []string{"ZINNIAPADDLE_NODE_FILE=" + file},
	}
	Expect(p.daemon.Start()).To(Succeed())
	DeferCleanup(p.daemon.Kill)
	Eventually(func() int {
		res, err := http.Get(fmt.Sprintf("http://%s:%d/", disconnectIP(3), zpoutside.ReadyPort))
		if err != nil {
			return 0
		}
		_ = res.Body.Close()
		return res.StatusCode
	}, "10s").Should(Equal(http.StatusOK))
	return p
}

// addEndpoint starts an endpoint that logs its own runs.
func (p *platformDaemon) addEndpoint(id, domain, address string, work time.Duration) *zpoutside.Endpoint {
	GinkgoHelper()
	e := &zpoutside.Endpoint{Pool: disconnectPool, Domain: domain, Address: address, Slots: 400, Work: work, Events: 20, Log: &zpoutside.Log{}}
	e.Start(id, 0)
	serveHTTP(address, e)
	name, entry := e.Entry()
	p.store.Put("servers", name, entry)
	return e
}

// send writes a complete request, does not read the response, and returns the
// connection.
func (p *platformDaemon) send(method, kind, id, body string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", p.callersAddress)
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "%s /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, kind, zpoutside.Host, id, disconnectAPIKey, len(body), body)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

var _ = Describe("Callers that disconnect", func() {
	DescribeTable("have no request sent to an endpoint if the daemon reads it after the disconnect",
		func(method, kind, body string) {
			const callers = 60
			p := startPlatformDaemon(time.Second)
			Expect(p.daemon.Pause()).To(Succeed())
			for n := range callers {
				Expect(p.send(method, kind, fmt.Sprintf("late-%d", n), body).Close()).To(Succeed())
			}
			Expect(p.daemon.Resume()).To(Succeed())
			Eventually(p.daemon.Log, "5s").Should(ContainSubstring(fmt.Sprintf(`"request":"late-%d"`, callers-1)))
			Consistently(p.endpoint.Log.Runs, "700ms").Should(BeEmpty())
		},
		Entry("bookings", http.MethodPost, "book", strings.Repeat("x", 12_000)),
		Entry("reads", http.MethodGet, "read", ""),
		Entry("streams", http.MethodPost, "stream", strings.Repeat("x", 12_000)),
	)

	It("do not have their bookings run on the product's own interface", func() {
		const callers = 20
		site := startSite(zpsite.Config{
			Number: 62, Daemons: 1, Runners: 1, Services: 1, RequireKey: true,
			Settings: map[string]string{"log.level": "debug", "config.cut_off_policy": "serve_last"},
		})
		address := strings.TrimPrefix(site.Target(0), "http://")
		key := func(n int) string { return fmt.Sprintf("departed-%d", n) }
		Expect(site.Daemons[0].Pause()).To(Succeed())
		for n := range callers {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n{}",
				bookPath, zpsite.Key(workspace), key(n))
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
		}
		Expect(site.Daemons[0].Resume()).To(Succeed())
		Eventually(func() int { return strings.Count(site.Daemons[0].Log(), `"code":"caller_gone"`) }, "5s").Should(Equal(callers))
		for n := range callers {
			status, header, text := sendRequest(site, http.MethodPost, bookPath, zpsite.Key(workspace), "{}", map[string]string{"Idempotency-Key": key(n)})
			Expect(status).To(Equal(http.StatusOK), text)
			Expect(header.Get("Idempotent-Replayed")).To(BeEmpty())
		}
	})
})
