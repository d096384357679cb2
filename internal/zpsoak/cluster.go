package zpsoak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// Config configures a run.
	Config struct {
		Seed   uint64
		Length time.Duration
		BinDir string
		// FromBinDir is the directory of the build that daemons begin with. They are upgraded to
		// the one in BinDir one after the other. Empty: no upgrade.
		FromBinDir string
		// Calm leaves out all faults but the upgrade.
		Calm      bool
		Dir       string // for settings files and logs
		Number    int    // second byte of all addresses, 127.Number.x.y
		Daemons   int
		Endpoints int
		Callers   int           // clients per daemon
		Mutant    zpmutant.Name // empty for none
		// SoftwareVersions is the number of versions of the endpoints; zero: all of versions.
		SoftwareVersions int
	}

	// cluster holds the daemons of a run, the simulated platform and the links.
	cluster struct {
		Config
		store      *zpoutside.Store
		log        *zpoutside.Log
		endpoints  []*zpoutside.Endpoint
		servers    []*http.Server
		daemons    []*zpsite.Process
		nodes      []zpoutside.Node      // by daemon, at the first start
		toStore    []*Link               // by daemon
		toPeer     []links               // by daemon, from the others
		rewrites   []func([]byte) []byte // by daemon, replaces addresses by those that it uses
		toEndpoint []links               // by endpoint
		ends       connectionEnds        // from daemons to endpoints
		version    int
	}
)

const (
	pool             = "orders"
	apiKey           = "key-of-w"
	coldPerSecond    = 6.0
	coldDuration     = 1500 * time.Millisecond
	slotsPerEndpoint = 3 // few, so that cold endpoints are used as well
	serviceTime      = 30 * time.Millisecond
	eventsPerStream  = 12
	memoryMB         = 284
	readyLimit       = 15 * time.Second
)

var (
	domains  = []string{"a", "b", "c"}
	versions = []string{"v1", "v2"} // software versions of the endpoints of a failure domain, in turn
)

func newCluster(c Config) (*cluster, error) {
	s := &cluster{Config: c, store: zpoutside.NewStore(), log: &zpoutside.Log{}, version: 1}
	s.store.SetEra(1)
	s.store.Put("config", "main", s.config())
	if err := s.serve(s.ip(0, 1)+":7000", s.store); err != nil {
		return s, err
	}
	for i := range c.Endpoints {
		if err := s.addEndpoint(i); err != nil {
			return s, err
		}
	}
	for i := range c.Daemons {
		s.rewrites = append(s.rewrites, s.rewriteAddresses(s.viewOf(i)))
	}
	for i := range c.Daemons {
		if err := s.addDaemon(i); err != nil {
			return s, err
		}
	}
	for _, d := range s.daemons {
		if err := d.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// ip returns an address of the cluster. Group 0 is the store, 1 the daemons, 2 the
// links to the store, 4 the endpoints in their entries, 5 the
// endpoints, 6 the store as each daemon sees it. Those from firstEndpointGroup are the
// links of each daemon to the endpoints, those from firstPeerGroup its links to the daemons.
func (s *cluster) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.Number, group, i) }

func (s *cluster) config() string {
	return zpoutside.Config{Version: s.version, Pool: pool, ColdPerSecond: coldPerSecond, Key: apiKey}.Text()
}

func (s *cluster) serve(address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(lis) }() // returns when stop closes the server
	return nil
}

func (s *cluster) link(listen, target string) (*Link, error) {
	l := &Link{Listen: listen, Target: target}
	return l, l.Open()
}

func (s *cluster) addEndpoint(i int) error {
	target := s.ip(5, 10+i) + ":9000"
	e := &zpoutside.Endpoint{
		Pool: pool, Domain: domains[i%len(domains)], Address: s.ip(4, 10+i) + ":9000", Slots: slotsPerEndpoint, Work: serviceTime, Events: eventsPerStream, Log: s.log,
		Version: s.firstVersion(i),
	}
	var list links
	for d := range s.Daemons {
		l := &Link{Listen: s.endpointAddress(d, i), Target: target, OnClientEnd: func(source string) { s.ends.record(source, connectionEnd{d, time.Now()}) }}
		if err := l.Open(); err != nil {
			return err
		}
		list = append(list, l)
	}
	s.endpoints, s.toEndpoint = append(s.endpoints, e), append(s.toEndpoint, list)
	e.Start(fmt.Sprintf("i-%d", i), 0)
	s.register(e)
	return s.serve(target, e)
}

func (s *cluster) register(e *zpoutside.Endpoint) {
	name, text := e.Entry()
	s.store.Put("servers", name, text)
}

func (s *cluster) addDaemon(i int) error {
	if err := s.serve(s.ip(6, 10+i)+":7000", &storeView{store: s.store, replacer: s.viewOf(i)}); err != nil {
		return err
	}
	toStore, err := s.link(s.ip(2, 10+i)+":7000", s.ip(6, 10+i)+":7000")
	if err != nil {
		return err
	}
	s.toStore = append(s.toStore, toStore)
	if err := s.linkPeers(i); err != nil {
		return err
	}
	node := zpoutside.Node{
		Name: fmt.Sprintf("front-%d", i), IP: s.daemonIP(i), Domain: domains[i%len(domains)], Region: "n",
		Regions: map[string]string{"a": "n", "b": "n", "c": "n"}, Store: toStore.Listen, MemoryMB: memoryMB, FirstStart: isDrawnRun(s.Seed),
	}
	file := s.settingsFile(node)
	if err := s.writeSettings(node); err != nil {
		return err
	}
	s.nodes = append(s.nodes, node)
	p := &zpsite.Process{
		Name: node.Name, Path: s.binary(cmp.Or(s.FromBinDir, s.BinDir)), Args: []string{"serve"}, Dir: s.Dir,
		Env: []string{"ZINNIAPADDLE_NODE_FILE=" + file},
	}
	if s.Mutant != "" {
		p.Env = append(p.Env, "ZP_MUTANT="+string(s.Mutant))
	}
	s.daemons = append(s.daemons, p)
	return nil
}

func (s *cluster) settingsFile(n zpoutside.Node) string { return filepath.Join(s.Dir, n.Name+".toml") }

func (s *cluster) writeSettings(n zpoutside.Node) error {
	if err := os.WriteFile(s.settingsFile(n), []byte(n.Settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// endFirstStart makes daemons start as in a fleet that has run before.
func (s *cluster) endFirstStart() error {
	for _, n := range s.nodes {
		n.FirstStart = false
		if err := s.writeSettings(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *cluster) daemonIP(i int) string { return s.ip(1, 10+i) }

// awaitReady waits until each daemon reports that it is ready.
func (s *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i := range s.Daemons {
		for !s.isReady(ctx, i) {
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %d is not ready after %s", i, readyLimit)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (s *cluster) isReady(ctx context.Context, i int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/", s.daemonIP(i), zpoutside.ReadyPort), nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stop kills the daemons and closes all links and servers.
func (s *cluster) stop() {
	for _, d := range s.daemons {
		d.Kill()
	}
	for _, list := range slices.Concat(s.toEndpoint, s.toPeer, []links{s.toStore}) {
		for _, l := range list {
			l.Close()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
