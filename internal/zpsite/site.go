package zpsite

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpoperator"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Config describes a site. Its failure domains are a and b in region north and
	// c in region south; processes are distributed over them in turn.
	Config struct {
		Number       int // 1 to 250; the second byte of all addresses
		Dir          string
		BinDir       string
		Daemons      int
		SpareDaemons int // number of daemons at the end of the list that Start leaves stopped
		Runners      int
		Services     int
		Stores       bool
		Workspaces   []string
		Settings     map[string]string // extra settings of each daemon, by dotted key
		RunnerFlags  []string
		ServiceFlags []string
		Slots        int
		ColdSlots    int  // limit of concurrent requests of a runner during a cold start
		RequireKey   bool // the service pool rejects non-idempotent requests without an Idempotency-Key
	}

	// Site is a set of processes that form a complete deployment.
	Site struct {
		Config   Config
		Platform *Process
		Link     *Process // stand-in for the link between regions
		Daemons  []*Process
		Runners  []*Process
		Services []*Process
		Stores   []*Process
		Manifest *zpmanifest.Manifest
		API      *zpobject.Client
	}
)

// Pools of the site, weight version of its model, and timeout of Site.Start.
const (
	ModelPool     = "assistant"
	ServicePool   = "bookings"
	WeightVersion = "v1"
	StartTimeout  = 20 * time.Second

	partitions         = 64
	claimShards        = 8              // of the claims, which make requests run at most once
	linkBytesPerSecond = 30_000_000 / 8 // 30 Mbit/s
)

var domains = []zpmanifest.Domain{
	{Name: "a", Region: "north"}, {Name: "b", Region: "north"}, {Name: "c", Region: "south"},
}

// Key returns the API key of a workspace of the site.
func Key(workspace string) string { return "key-of-" + workspace }

// Keys returns the API keys of all workspaces.
func (s *Site) Keys() map[string]string {
	keys := map[string]string{}
	for _, w := range s.Config.Workspaces {
		keys[w] = Key(w)
	}
	return keys
}

// New writes the settings files of a site. It starts no process.
func New(c Config) (*Site, error) {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("create site directory: %w", err)
	}
	s := &Site{Config: c, Manifest: newManifest(c)}
	standin := filepath.Join(c.BinDir, "zpstandin")
	s.Platform = s.newProcess("platform", standin, "platform", "--listen", s.platformAddress())
	s.Link = s.newProcess("link", standin, "link", "--listen", s.linkAddress())
	for _, e := range s.Manifest.Endpoints {
		listen := strings.TrimPrefix(e.Address, "http://")
		region := s.Manifest.Region(e.Domain)
		if e.Pool == ModelPool {
			args := append([]string{
				"runner", "--listen", listen, "--name", e.Name, "--slots", fmt.Sprint(e.Slots),
				"--cold-bearable", fmt.Sprint(e.ColdSlots), "--region", region, "--link", "http://" + s.linkAddress(),
			}, c.RunnerFlags...)
			s.Runners = append(s.Runners, s.newProcess(e.Name, standin, args...))
			continue
		}
		args := append([]string{"service", "--listen", listen, "--name", e.Name}, c.ServiceFlags...)
		s.Services = append(s.Services, s.newProcess(e.Name, standin, args...))
	}
	for _, st := range s.Manifest.Stores {
		s.Stores = append(s.Stores, s.newProcess(st.Name, standin, "store", "--listen",
			strings.TrimPrefix(st.Address, "http://"), "--region", s.Manifest.Region(st.Domain)))
	}
	for i := range c.Daemons {
		if err := s.addDaemon(i); err != nil {
			return nil, err
		}
	}
	s.API = &zpobject.Client{BaseURL: "http://" + s.platformAddress(), HTTP: &http.Client{}, Timeout: 2 * time.Second}
	return s, nil
}

// Start starts all processes except spare daemons, stores the manifest, and calls
// WaitReady. It fails after StartTimeout.
func (s *Site) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	standIns := append([]*Process{s.Platform, s.Link}, s.Runners...)
	standIns = append(append(standIns, s.Services...), s.Stores...)
	for _, p := range standIns {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := s.storeManifest(ctx); err != nil {
		return err
	}
	for _, d := range s.Daemons[:len(s.Daemons)-s.Config.SpareDaemons] {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return s.WaitReady(ctx)
}

// WaitReady waits until every running daemon is ready and every partition has a
// serving owner.
func (s *Site) WaitReady(ctx context.Context) error {
	for {
		err := s.checkReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the site to become ready: %w", err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Stop kills all running processes, daemons first.
func (s *Site) Stop() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	standIns := append([]*Process{s.Platform, s.Link}, s.Runners...)
	standIns = append(append(standIns, s.Services...), s.Stores...)
	for _, p := range standIns {
		p.Kill()
	}
}

// Targets returns the client-facing URLs of all daemons.
func (s *Site) Targets() []string {
	out := make([]string, 0, len(s.Daemons))
	for i := range s.Daemons {
		out = append(out, s.Target(i))
	}
	return out
}

// Target returns the client-facing URL of a daemon.
func (s *Site) Target(i int) string { return "http://" + s.daemonIP(i) + ":8080" }

// AdminURL returns the admin URL of a daemon.
func (s *Site) AdminURL(i int) string { return "http://" + s.daemonIP(i) + ":8082" }

// SettingsFile returns the path of the settings file of a daemon.
func (s *Site) SettingsFile(i int) string {
	return filepath.Join(s.Config.Dir, fmt.Sprintf("daemon-%d.yaml", i))
}

// LinkURL returns the URL of the stand-in for the link between regions.
func (s *Site) LinkURL() string { return "http://" + s.linkAddress() }

// PlatformURL returns the URL of the platform stand-in.
func (s *Site) PlatformURL() string { return "http://" + s.platformAddress() }

func (s *Site) newProcess(name, path string, args ...string) *Process {
	return &Process{Name: name, Path: path, Args: args, Dir: s.Config.Dir}
}

// storeManifest stores the manifest in the platform. It retries, as the platform
// stand-in may still be starting.
func (s *Site) storeManifest(ctx context.Context) error {
	o := &zpoperator.Operator{API: s.API}
	initial := s.Manifest.Clone()
	initial.Version = 0
	for {
		_, err := o.Apply(ctx, initial)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("store manifest: %w", err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *Site) checkReady(ctx context.Context) error {
	for i, d := range s.Daemons {
		if d.cmd == nil {
			continue
		}
		if err := checkStatus(ctx, s.Target(i)+"/readyz"); err != nil {
			return fmt.Errorf("daemon %d: %w", i, err)
		}
	}
	return s.checkPartitionOwners(ctx)
}

func checkStatus(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		err = fmt.Errorf("response status %d, want 200", res.StatusCode)
	}
	return errors.Join(err, res.Body.Close())
}
