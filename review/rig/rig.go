// Package rig starts a small deployment on loopback addresses for the scripts of
// the second review: the platform's store, runners of the script, and daemons as
// separate processes with the command of the deploy file.
package rig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

// Ports are the same on all machines of a deployment; each machine has its own address.
const (
	FrontPort  = 8749
	ReadyPort  = 8741
	PeersPort  = 7580
	StorePort  = 8744
	RunnerPort = 8080
)

type (
	// Site is a running deployment. Set the exported fields before Open.
	Site struct {
		Dir      string // temporary folder
		Binary   string
		MemoryMB int
		Store    *zpoutside.Store
		// Placement is the zone of each daemon; nil: one zone after the other.
		Placement []string
		// Regions is the region of each zone; nil: all zones are in region "r".
		Regions map[string]string
		// CanCut makes the daemons reach the store and each other through links that
		// CutZone cuts.
		CanCut bool

		network network
		base    string // first two bytes of all addresses
		daemons []*Daemon
		servers []*http.Server
		start   time.Time

		mu     sync.Mutex
		record *os.File
	}

	// Daemon is one daemon of the site.
	Daemon struct {
		*zpsite.Process
		Name string
		IP   string
		Zone string

		store string // address at which the daemon finds the store
	}
)

// Zones of a site.
var Zones = []string{"z-a", "z-b", "z-c"}

// Open creates the temporary folder and the record, and starts the store.
func (s *Site) Open(record string) error {
	var err error
	if s.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if s.record, err = os.Create(record); err != nil {
		return err
	}
	s.start = time.Now()
	s.base = fmt.Sprintf("127.%d", 16+rand.IntN(200))
	if s.MemoryMB == 0 {
		s.MemoryMB = 134
	}
	s.Store = zpoutside.NewStore()
	return s.Serve(s.StoreAddress(), s.Store)
}

// StoreAddress returns the address of the store.
func (s *Site) StoreAddress() string { return fmt.Sprintf("%s.0.2:%d", s.base, StorePort) }

// RunnerAddress returns the address of the n-th runner.
func (s *Site) RunnerAddress(n int) string {
	return fmt.Sprintf("%s.64.%d:%d", s.base, 10+n, RunnerPort)
}

// Serve serves HTTP at an address until Close.
func (s *Site) Serve(address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(lis) }() // returns when Close closes the server
	return nil
}

// StartDaemons starts daemons, one zone after the other, and waits until they are ready.
func (s *Site) StartDaemons(n int) ([]*Daemon, error) {
	for i := range n {
		d := &Daemon{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("%s.1.%d", s.base, 10+i), Zone: Zones[i%len(Zones)], store: s.StoreAddress()}
		if s.Placement != nil {
			d.Zone = s.Placement[i]
		}
		if s.CanCut {
			if err := s.link(d, i, n); err != nil {
				return nil, err
			}
		}
		file := filepath.Join(s.Dir, d.Name+".toml")
		if err := os.WriteFile(file, []byte(s.settings(d, true)), 0o600); err != nil {
			return nil, err
		}
		d.Process = &zpsite.Process{
			Name: d.Name, Path: s.Binary, Args: []string{"serve"}, Dir: s.Dir, Env: []string{"ZINNIAPADDLE_NODE_FILE=" + file},
		}
		if err := d.Start(); err != nil {
			return nil, err
		}
		s.daemons = append(s.daemons, d)
	}
	for _, d := range s.daemons {
		if err := d.AwaitReady(15 * time.Second); err != nil {
			return nil, err
		}
		// A daemon that is started again finds that the site has started before.
		if err := os.WriteFile(filepath.Join(s.Dir, d.Name+".toml"), []byte(s.settings(d, false)), 0o600); err != nil {
			return nil, err
		}
	}
	return s.daemons, nil
}

// AwaitReady waits until the daemon says that it is ready.
func (d *Daemon) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", d.Name, limit)
}

// IsReady asks the daemon whether it is ready.
func (d *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/zinniapaddle/readiness", d.IP, ReadyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Front returns the address for clients.
func (d *Daemon) Front() string { return fmt.Sprintf("%s:%d", d.IP, FrontPort) }

// Note writes a line to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.start).Seconds()}, args...)...)
}

// Close kills the daemons, stops the servers and removes the temporary folder.
func (s *Site) Close() {
	for _, d := range s.daemons {
		d.Kill()
	}
	s.network.close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Dir)
	}
	_ = s.record.Close()
}

// CopyLogs appends the logs of the daemons to a writer.
func (s *Site) CopyLogs(w io.Writer) {
	for _, d := range s.daemons {
		_, _ = fmt.Fprintf(w, "== %s\n%s", d.Name, d.Log())
	}
}

func (s *Site) regionOf(zone string) string {
	if region, ok := s.Regions[zone]; ok {
		return region
	}
	return "r"
}

// settings returns the settings file of a daemon, with the figures of a small deployment.
func (s *Site) settings(d *Daemon, isFirstStart bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nrole = \"entry\"\nmachine-class = \"front\"\nserves = [\"front\"]\nip = %q\nzone = %q\nregion = %q\n", d.Name, d.IP, d.Zone, s.regionOf(d.Zone))
	fmt.Fprintf(&b, "internal-ports = [%d,%d]\nfirst-start = %t\nheartbeat-ms = 1200\n[zones]\n", PeersPort, PeersPort+15, isFirstStart)
	for _, z := range Zones {
		fmt.Fprintf(&b, "%s = %q\n", z, s.regionOf(z))
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nready = \"%s:%d\"\n", d.Front(), d.IP, ReadyPort)
	fmt.Fprintf(&b, "[limits]\ncpu-share = 0.4\ncores = 1\nmemory-mb = %d\nmax-fds = 4100\nlink-mbps = 1000.0\n", s.MemoryMB)
	b.WriteString("[contract-bounds]\nstable-window-ms = 4000\ndrain-ms = 2500\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2500\n")
	b.WriteString("budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 56\nlease-ms = 3000\nthaw-ms = 300\nversion-ms = 10000\nversion-all-ms = 14000\nfencing-required = true\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"objects\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\n", d.store)
	return b.String()
}
