package zpsite

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/zinniapaddle/zinniapaddle/internal/zpassign"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

func newManifest(c Config) *zpmanifest.Manifest {
	m := &zpmanifest.Manifest{
		Version: 1, Partitions: partitions, ClaimShards: claimShards, Domains: append([]zpmanifest.Domain(nil), domains...),
		Models: []zpmanifest.Model{{Name: "assistant", WeightVersion: WeightVersion, Pool: ModelPool}},
		Pools: []zpmanifest.Pool{
			{Name: ModelPool, Kind: zpmanifest.PoolKindModel},
			{Name: ServicePool, Kind: zpmanifest.PoolKindService, RequireKey: c.RequireKey},
		},
		Links: []zpmanifest.Link{{Name: "north-south", Regions: [2]string{"north", "south"}, BytesPerSecond: linkBytesPerSecond}},
	}
	for _, w := range c.Workspaces {
		m.Workspaces = append(m.Workspaces, zpmanifest.Workspace{
			Name: w, KeyHashes: []string{zpmanifest.HashKey(Key(w))}, Weight: 1, CacheKey: "cache-key-of-" + w,
		})
	}
	for i := range c.Runners {
		d := i % len(domains)
		// Every second runner has fencing, so that a site has runners of both kinds.
		m.Endpoints = append(m.Endpoints, zpmanifest.Endpoint{
			Name: fmt.Sprintf("runner-%d", i), Pool: ModelPool, Domain: domains[d].Name, Fencing: i%2 == 0,
			Address: fmt.Sprintf("http://127.%d.%d.%d:9000", c.Number, d+1, 100+i), Slots: c.Slots, ColdSlots: c.ColdSlots,
		})
	}
	for i := range c.Services {
		d := i % len(domains)
		m.Endpoints = append(m.Endpoints, zpmanifest.Endpoint{
			Name: fmt.Sprintf("service-%d", i), Pool: ServicePool, Domain: domains[d].Name,
			Address: fmt.Sprintf("http://127.%d.%d.%d:9000", c.Number, d+1, 200+i), Slots: 16, ColdSlots: 4,
		})
	}
	if c.Stores {
		// One store in each region, in the failure domains a and c.
		for i, d := range []int{0, 2} {
			m.Stores = append(m.Stores, zpmanifest.Store{
				Name: fmt.Sprintf("store-%d", i), Domain: domains[d].Name,
				Address: fmt.Sprintf("http://127.%d.%d.%d:9000", c.Number, d+1, 240+i),
			})
		}
	}
	return m
}

func (s *Site) platformAddress() string { return fmt.Sprintf("127.%d.0.1:7000", s.Config.Number) }

// linkAddress returns the address of the stand-in for the link between regions.
func (s *Site) linkAddress() string { return fmt.Sprintf("127.%d.0.2:7000", s.Config.Number) }

func (s *Site) daemonIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.Config.Number, i%len(domains)+1, 10+i)
}

// addDaemon writes the settings file of daemon i and adds its process.
func (s *Site) addDaemon(i int) error {
	d := domains[i%len(domains)]
	ip := s.daemonIP(i)
	values := map[string]string{
		"name": fmt.Sprintf("entry-%d", i), "region": d.Region, "failure_domain": d.Name,
		"callers.listen": ip + ":8080", "peers.listen": ip + ":8081", "admin.listen": ip + ":8082",
		"peers.insecure": "true", "platform.address": s.PlatformURL(), "platform.region": "north",
		"peers.seeds": s.seedAddresses(), "drain.notice_ms": "500", "routing.prefill_tokens_per_second": "8000",
	}
	for k, v := range s.Config.Settings {
		values[k] = v
	}
	if err := os.WriteFile(s.SettingsFile(i), []byte(encodeYAML(values)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	path := filepath.Join(s.Config.BinDir, "zinniapaddle")
	s.Daemons = append(s.Daemons, s.newProcess(fmt.Sprintf("daemon-%d", i), path, "serve", "--settings", s.SettingsFile(i)))
	return nil
}

// seedAddresses returns the peer addresses of the first daemon of each failure
// domain, separated by commas.
func (s *Site) seedAddresses() string {
	var out []string
	for i := range min(s.Config.Daemons, len(domains)) {
		out = append(out, s.daemonIP(i)+":8081")
	}
	return strings.Join(out, ",")
}

// encodeYAML encodes values as YAML. A key is either NAME or SECTION.NAME.
func encodeYAML(values map[string]string) string {
	keys := make([]string, 0, len(values))
	for k := range values {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		return strings.Count(keys[i], ".") < strings.Count(keys[j], ".") ||
			(strings.Count(keys[i], ".") == strings.Count(keys[j], ".") && keys[i] < keys[j])
	})
	var b strings.Builder
	section := ""
	for _, k := range keys {
		group, name, nested := strings.Cut(k, ".")
		switch {
		case !nested:
			fmt.Fprintf(&b, "%s: %s\n", k, values[k])
		case group != section:
			section = group
			fmt.Fprintf(&b, "%s:\n  %s: %s\n", group, name, values[k])
		default:
			fmt.Fprintf(&b, "  %s: %s\n", name, values[k])
		}
	}
	return b.String()
}

// checkPartitionOwners returns an error unless every partition has an owner in
// state serving.
func (s *Site) checkPartitionOwners(ctx context.Context) error {
	members, err := s.API.List(ctx, zpassign.MemberPrefix)
	if err != nil {
		return err
	}
	serving := map[string]bool{}
	for _, o := range members.Objects {
		m, err := zpassign.DecodeMember(o.Body)
		if err != nil {
			return err
		}
		serving[m.Instance] = m.State == zpassign.MemberServing
	}
	groups, err := s.API.List(ctx, zpassign.GroupPrefix)
	if err != nil {
		return err
	}
	owned := 0
	for _, o := range groups.Objects {
		g, err := zpassign.DecodeGroup(o.Body)
		if err != nil {
			return err
		}
		for _, owner := range g.Owners {
			if serving[owner.Instance] {
				owned++
			}
		}
	}
	if owned < s.Manifest.Partitions {
		return fmt.Errorf("only %d of %d partitions have a serving owner", owned, s.Manifest.Partitions)
	}
	return nil
}
