package zpsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpmutant"
	"github.com/zinniapaddle/zinniapaddle/internal/zpsite"
	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

type (
	// Config describes a run.
	Config struct {
		Seed      uint64
		Length    time.Duration
		BinDir    string
		Dir       string // for settings and logs
		Number    int    // second byte of all addresses
		Daemons   int
		Endpoints int
		Callers   int           // for each daemon
		Mutant    zpmutant.Name // "" for none
	}

	// site is the daemons of a run with all that is round them.
	site struct {
		Config
		store     *zpoutside.Store
		log       *zpoutside.Log
		endpoints []*zpoutside.Endpoint
		servers   []*http.Server
		daemons   []*zpsite.Process
		toStore   []*Link // by daemon
		toPeer    []*Link // to each daemon from the others
		toService []*Link // by endpoint
		version   int
	}
)

const (
	pool          = "orders"
	key           = "key-of-w"
	coldPerSecond = 6.0
	coldFor       = 1500 * time.Millisecond
	slots         = 3 // few, so that cold endpoints are needed, too
	work          = 30 * time.Millisecond
	events        = 12 // of a stream
	memoryMB      = 284
	readyLimit    = 15 * time.Second
)

var domains = []string{"a", "b", "c"}

func newSite(c Config) (*site, error) {
	s := &site{Config: c, store: zpoutside.NewStore(), log: &zpoutside.Log{}, version: 1}
	s.store.Show = s.translate
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

// ip returns an address of the site: group 0 is the store, 1 the daemons, 2 to 4
// links, 5 the endpoints.
func (s *site) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.Number, group, i) }

func (s *site) config() string {
	return zpoutside.Config{Version: s.version, Pool: pool, ColdPerSecond: coldPerSecond, Key: key}.Text()
}

func (s *site) serve(address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(lis) }() // ends with the run
	return nil
}

func (s *site) link(listen, target string) (*Link, error) {
	l := &Link{Listen: listen, Target: target}
	return l, l.Open()
}

func (s *site) addEndpoint(i int) error {
	target := s.ip(5, 10+i) + ":9000"
	e := &zpoutside.Endpoint{
		Pool: pool, Domain: domains[i%len(domains)], Address: s.ip(4, 10+i) + ":9000", Slots: slots, Work: work, Events: events, Log: s.log,
	}
	l, err := s.link(e.Address, target)
	if err != nil {
		return err
	}
	s.endpoints, s.toService = append(s.endpoints, e), append(s.toService, l)
	e.Start(fmt.Sprintf("i-%d", i), 0)
	s.register(e)
	return s.serve(target, e)
}

func (s *site) register(e *zpoutside.Endpoint) {
	name, text := e.Entry()
	s.store.Put("servers", name, text)
}

func (s *site) addDaemon(i int) error {
	toStore, err := s.link(s.ip(2, 10+i)+":7000", s.ip(0, 1)+":7000")
	if err != nil {
		return err
	}
	peers := fmt.Sprintf(":%d", zpoutside.PeersPort)
	toPeer, err := s.link(s.ip(3, 10+i)+peers, s.daemonIP(i)+peers)
	if err != nil {
		return err
	}
	s.toStore, s.toPeer = append(s.toStore, toStore), append(s.toPeer, toPeer)
	node := zpoutside.Node{
		Name: fmt.Sprintf("front-%d", i), IP: s.daemonIP(i), Domain: domains[i%len(domains)], Region: "n",
		Regions: map[string]string{"a": "n", "b": "n", "c": "n"}, Store: toStore.Listen, MemoryMB: memoryMB,
	}
	file := filepath.Join(s.Dir, node.Name+".toml")
	if err := os.WriteFile(file, []byte(node.Settings()), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	p := &zpsite.Process{
		Name: node.Name, Path: filepath.Join(s.BinDir, "zinniapaddle"), Args: []string{"serve"}, Dir: s.Dir,
		Env: []string{"ZINNIAPADDLE_NODE_FILE=" + file},
	}
	if s.Mutant != "" {
		p.Path = filepath.Join(s.BinDir, "mutant", "zinniapaddle")
		p.Env = append(p.Env, "ZP_MUTANT="+string(s.Mutant))
	}
	s.daemons = append(s.daemons, p)
	return nil
}

func (s *site) daemonIP(i int) string { return s.ip(1, 10+i) }

// translate has daemons reach each other through links: in what readers get of
// a daemon's record, its address is that of the link to it.
func (s *site) translate(kind, _ string, spec json.RawMessage) json.RawMessage {
	if kind != "members" {
		return spec
	}
	text := string(spec)
	for i := range s.Daemons {
		text = strings.ReplaceAll(text, s.daemonIP(i)+fmt.Sprintf(":%d", zpoutside.PeersPort), s.toPeer[i].Listen)
	}
	return json.RawMessage(text)
}

// awaitReady waits until each daemon says that it is ready.
func (s *site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i := range s.Daemons {
		for !s.isReady(ctx, i) {
			if ctx.Err() != nil {
				return fmt.Errorf("daemon %d is not ready within %s", i, readyLimit)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (s *site) isReady(ctx context.Context, i int) bool {
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

// stop ends all that the run has started.
func (s *site) stop() {
	for _, d := range s.daemons {
		d.Kill()
	}
	for _, list := range [][]*Link{s.toStore, s.toPeer, s.toService} {
		for _, l := range list {
			l.Close()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
