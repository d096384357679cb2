package e2e_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// crowdSite is a daemon process on the users' platform with one endpoint, and the
	// connections of a crowd of callers.
	crowdSite struct {
		number  int // second byte of each loopback address
		daemon  *zpsite.Process
		address string // of callers
		peak    *peak
		mu      sync.Mutex
		conns   []net.Conn
	}

	// peak samples what a process uses until stop is closed.
	peak struct {
		pid         int
		address     string // local address of the sockets whose unread bytes count
		stop        chan struct{}
		done        sync.WaitGroup
		memory      int64 // bytes, resident and received but unread
		descriptors int
		samples     int
	}
)

// Limits in the settings and the configuration of the crowd's site.
const (
	crowdMemoryMB    = 112
	crowdMaxFDs      = 500
	crowdHeaderBytes = 16 << 10
	crowdBodyBytes   = 4 << 20
	crowdKey         = "key-of-w"
	crowdPool        = "orders"

	crowdSamplePause = 10 * time.Millisecond
	crowdTimeout     = 20 * time.Second // of all that one caller sends, and of a response
)

const crowdConfig = `{"version":1,"routes":[
	{"name":"book","host":%[1]q,"path-prefix":"/book/","route-type":"non_idempotent","timeout-ms":8000,"goal-ms":400,"service":%[2]q,"max-attempts":1},
	{"name":"stream","host":%[1]q,"path-prefix":"/stream/","route-type":"streaming","resumable":true,"timeout-ms":8000,"goal-ms":400,"service":%[2]q,"max-attempts":2}],
	"services":[{"name":%[2]q,"cold-per-s":1000}],
	"limits":{"max-header-bytes":%[3]d,"max-body-bytes":%[4]d,"header-timeout-ms":3000,"idle-timeout-ms":15000},
	"tenants":[{"name":"w","api-keys":[%[5]q]}]}`

func (c *crowdSite) ip(i int) string { return fmt.Sprintf("127.%d.0.%d", c.number, i) }

// startCrowdSite starts a daemon with the limits of the smallest VM and fewer descriptors.
func startCrowdSite(number int) *crowdSite {
	GinkgoHelper()
	c := &crowdSite{number: number}
	dir := GinkgoT().TempDir()
	store := zpoutside.NewStore()
	store.Put("config", "main", fmt.Sprintf(crowdConfig, zpoutside.Host, crowdPool, crowdHeaderBytes, crowdBodyBytes, crowdKey))
	serveHTTP(c.ip(1)+":7000", store)
	e := &zpoutside.Endpoint{Pool: crowdPool, Domain: "a", Address: c.ip(2) + ":9000", Slots: 400, Work: time.Second, Events: 3, Log: &zpoutside.Log{}}
	e.Start("i-0", 0)
	serveHTTP(e.Address, e)
	name, entry := e.Entry()
	store.Put("servers", name, entry)
	node := zpoutside.Node{Name: "front-0", IP: c.ip(3), Domain: "a", Region: "n", Regions: map[string]string{"a": "n"}, Store: c.ip(1) + ":7000", MemoryMB: crowdMemoryMB}
	settings := strings.Replace(node.Settings(), "[limits]\n", fmt.Sprintf("[limits]\nmax-fds = %d\n", crowdMaxFDs), 1)
	file := filepath.Join(dir, "front-0.toml")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	c.daemon = &zpsite.Process{
		Name: "front-0", Path: filepath.Join(binDir, "zinniapaddle"), Args: []string{"serve"}, Dir: dir, Env: []string{"ZINNIAPADDLE_NODE_FILE=" + file},
	}
	Expect(c.daemon.Start()).To(Succeed())
	DeferCleanup(c.daemon.Kill)
	c.address = fmt.Sprintf("%s:%d", c.ip(3), zpoutside.CallersPort)
	Eventually(c.isReady, "10s").Should(BeTrue())
	DeferCleanup(c.leave)
	c.peak = watchPeak(c.daemon.PID(), c.address)
	DeferCleanup(c.peak.end)
	return c
}

func (c *crowdSite) isReady() bool {
	res, err := http.Get(fmt.Sprintf("http://%s:%d/", c.ip(3), zpoutside.ReadyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// leave closes the connections of the crowd.
func (c *crowdSite) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// join lets n callers send at once, each on a connection of its own that stays open. It
// returns when each has sent its bytes or was refused.
func (c *crowdSite) join(n int, send func(i int, conn net.Conn)) {
	var callers sync.WaitGroup
	for i := range n {
		callers.Go(func() {
			conn, err := net.Dial("tcp", c.address)
			if err != nil {
				return // refused
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if err := conn.SetWriteDeadline(time.Now().Add(crowdTimeout)); err != nil {
				return // closed by the daemon
			}
			send(i, conn)
		})
	}
	callers.Wait()
}

// write sends text and reports whether the daemon accepted it.
func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// head returns the beginning of a request's head.
func (c *crowdSite) head(path, id, key string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\n", path, zpoutside.Host, id, key)
}

// expectAlive checks that the daemon lives within its limits and answers one ordinary
// request, which a caller may repeat as often as it is told that it has not run.
func (c *crowdSite) expectAlive() {
	GinkgoHelper()
	n := 0
	Eventually(func() string {
		n++
		return c.order(fmt.Sprintf("ordinary-%d", n))
	}, "60s", "300ms").Should(Equal("200 OK"))
	c.peak.end()
	_, err := os.Stat(fmt.Sprintf("/proc/%d/exe", c.daemon.PID()))
	Expect(err).NotTo(HaveOccurred(), "the daemon has ended")
	AddReportEntry("peak", fmt.Sprintf("%d bytes of %d, %d descriptors of %d, %d samples", c.peak.memory, crowdMemoryMB<<20, c.peak.descriptors, crowdMaxFDs, c.peak.samples))
	GinkgoWriter.Println("peak of memory:", c.peak.memory, "descriptors:", c.peak.descriptors)
	Expect(c.peak.samples).To(BeNumerically(">", 0))
	Expect(c.peak.memory).To(BeNumerically("<", crowdMemoryMB<<20), "memory in bytes")
	Expect(c.peak.descriptors).To(BeNumerically("<", crowdMaxFDs), "descriptors")
}

// order sends an ordinary request on a new connection and returns the status of its
// response, or the error.
func (c *crowdSite) order(id string) string {
	return c.ask(c.head("/book/1", id, crowdKey), "an ordinary order")
}

// ask sends a request with the given beginning of a head and a body on a new connection, and
// returns the status of its response, or the error.
func (c *crowdSite) ask(head, body string) string {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	if !write(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)) {
		return "not sent"
	}
	return readStatus(conn)
}

// readStatus returns the status of the response on a connection, or the error.
func readStatus(conn net.Conn) string {
	if err := conn.SetReadDeadline(time.Now().Add(crowdTimeout)); err != nil {
		return err.Error()
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	_ = res.Body.Close()
	return res.Status
}

func watchPeak(pid int, address string) *peak {
	p := &peak{pid: pid, address: address, stop: make(chan struct{})}
	p.done.Go(func() {
		ticker := time.NewTicker(crowdSamplePause)
		defer ticker.Stop()
		for {
			p.sample()
			select {
			case <-p.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return p
}

// end stops sampling. It may be called again.
func (p *peak) end() {
	select {
	case <-p.stop:
	default:
		close(p.stop)
	}
	p.done.Wait()
}

func (p *peak) sample() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return // the process has ended
	}
	p.samples++
	p.memory = max(p.memory, kilobytesOf(string(status), "VmRSS:")+p.unreadBytes(), kilobytesOf(string(status), "VmHWM:"))
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
		p.descriptors = max(p.descriptors, len(files))
	}
}

// kilobytesOf returns a field of /proc/PID/status in bytes.
func kilobytesOf(status, field string) int64 {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, field); ok {
			n, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err == nil {
				return n << 10
			}
		}
	}
	return 0
}

// unreadBytes returns the bytes that have arrived at the callers' port and were not read.
func (p *peak) unreadBytes() int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	host, port, err := net.SplitHostPort(p.address)
	if err != nil {
		return 0
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n)
	const established = "01"
	var sum int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] != established {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		if bytes, err := strconv.ParseInt(unread, 16, 64); err == nil {
			sum += bytes
		}
	}
	return sum
}
