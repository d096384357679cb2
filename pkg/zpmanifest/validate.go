package zpmanifest

import (
	"fmt"
	"net/url"
	"regexp"
	"strings"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Fault is a validation error of a manifest.
	Fault struct {
		Path   string // such as endpoints[2].slots
		Text   string
		Remedy string
	}

	faultList struct {
		faults []Fault
	}
)

const (
	maxPartitions   = 4096
	maxClaimShards  = 4096
	sha256HexLength = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Validate returns all faults of the manifest. A manifest without faults may be
// accepted.
func (m *Manifest) Validate() []Fault {
	m = m.Clone()
	m.BuildIndex()
	f := &faultList{}
	f.validateSizes(m)
	f.validateDomains(m)
	f.validateWorkspaces(m)
	f.validateModels(m)
	f.validatePools(m)
	f.validateEndpoints(m)
	f.validateStores(m)
	f.validateLinks(m)
	return f.faults
}

// ValidationError combines faults into one error. It returns nil if there are none.
func ValidationError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return zperror.New(zperror.KindInvalid, "manifest_invalid",
		fmt.Sprintf("the manifest has %d fault(s): %s", len(faults), strings.Join(lines, "; ")),
		"correct each fault and run `zinniapaddle check` again")
}

// String returns the fault with its path and remedy.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s (remedy: %s)", f.Path, f.Text, f.Remedy)
}

func (f *faultList) add(path, text, remedy string) {
	f.faults = append(f.faults, Fault{Path: path, Text: text, Remedy: remedy})
}

func (f *faultList) validateName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		f.add(path+".name", fmt.Sprintf("%q is not a valid name", name),
			"use 1 to 63 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit")
	}
	if seen[name] {
		f.add(path+".name", fmt.Sprintf("%q is used twice", name), "give each entry a name of its own")
	}
	seen[name] = true
}

func (f *faultList) validateAddress(path, address string) {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		f.add(path+".address", fmt.Sprintf("%q is not a base URL", address), "write http://IP:PORT")
	}
}

func (f *faultList) validateSizes(m *Manifest) {
	if m.Partitions < 1 || m.Partitions > maxPartitions {
		f.add("partitions", fmt.Sprintf("%d is out of range", m.Partitions), "set 1 to 4096; 64 suits a small site")
	}
	if m.ClaimShards < 1 || m.ClaimShards > maxClaimShards {
		f.add("claim_shards", fmt.Sprintf("%d is out of range", m.ClaimShards), "set 1 to 4096; 16 suits a small site")
	}
}

func (f *faultList) validateDomains(m *Manifest) {
	seen := map[string]bool{}
	for i, d := range m.Domains {
		path := fmt.Sprintf("failure_domains[%d]", i)
		f.validateName(path, d.Name, seen)
		if d.Region == "" {
			f.add(path+".region", "no region", "name the region")
		}
	}
}

func (f *faultList) validateWorkspaces(m *Manifest) {
	seen := map[string]bool{}
	keyHashOwners := map[string]string{}
	cacheKeyOwners := map[string]string{}
	for i, w := range m.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		f.validateName(path, w.Name, seen)
		for _, h := range w.KeyHashes {
			if len(h) != sha256HexLength {
				f.add(path+".api_key_sha256", "not a hex SHA-256", "run `zinniapaddle hash-key`")
			}
			if other, ok := keyHashOwners[h]; ok {
				f.add(path+".api_key_sha256", fmt.Sprintf("key is shared with workspace %q", other), "give each workspace its own keys")
			}
			keyHashOwners[h] = w.Name
		}
		if w.CacheKey == "" {
			f.add(path+".cache_key", "no cache key", "set a random secret, one per workspace")
		}
		if other, ok := cacheKeyOwners[w.CacheKey]; ok && w.CacheKey != "" {
			f.add(path+".cache_key", fmt.Sprintf("cache key is shared with workspace %q", other), "set a random secret, one per workspace")
		}
		cacheKeyOwners[w.CacheKey] = w.Name
		if w.Weight < 0 {
			f.add(path+".weight", "is negative", "use 0 or more")
		}
	}
}

func (f *faultList) validateModels(m *Manifest) {
	seen := map[string]bool{}
	usedPools := map[string]bool{}
	for i, x := range m.Models {
		path := fmt.Sprintf("models[%d]", i)
		f.validateName(path, x.Name, seen)
		if usedPools[x.Pool] {
			f.add(path+".pool", fmt.Sprintf("pool %q serves another model already", x.Pool), "give each model a pool of its own")
		}
		usedPools[x.Pool] = true
		if x.WeightVersion == "" {
			f.add(path+".weight_version", "no weight version", "name the version that new requests use")
		}
		if p, ok := m.PoolByName(x.Pool); !ok || p.Kind != PoolKindModel {
			f.add(path+".pool", fmt.Sprintf("%q is not a model pool", x.Pool), "declare it under pools with kind: model")
		}
	}
}

func (f *faultList) validatePools(m *Manifest) {
	seen := map[string]bool{}
	for i, p := range m.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		f.validateName(path, p.Name, seen)
		if p.Kind != PoolKindModel && p.Kind != PoolKindService {
			f.add(path+".kind", fmt.Sprintf("%q is not a kind of pool", p.Kind), "write model or service")
		}
	}
}

func (f *faultList) validateEndpoints(m *Manifest) {
	seen := map[string]bool{}
	addressOwners := map[string]string{}
	for i, e := range m.Endpoints {
		path := fmt.Sprintf("endpoints[%d]", i)
		f.validateName(path, e.Name, seen)
		f.validateAddress(path, e.Address)
		if other, ok := addressOwners[e.Address]; ok {
			f.add(path+".address", fmt.Sprintf("shared with endpoint %q", other), "declare each endpoint once")
		}
		addressOwners[e.Address] = e.Name
		if _, ok := m.PoolByName(e.Pool); !ok {
			f.add(path+".pool", fmt.Sprintf("unknown pool %q", e.Pool), "declare it under pools")
		}
		f.validateDomainName(path, m, e.Domain)
		if e.Slots < 1 {
			f.add(path+".slots", "must be 1 or more", "set how many requests it runs at once when warm")
		}
		if e.ColdSlots < 1 || e.ColdSlots > e.Slots {
			f.add(path+".cold_slots", "must be 1 to slots", "set how many requests it bears in a cold start")
		}
	}
}

func (f *faultList) validateStores(m *Manifest) {
	seen := map[string]bool{}
	for i, s := range m.Stores {
		path := fmt.Sprintf("stores[%d]", i)
		f.validateName(path, s.Name, seen)
		f.validateAddress(path, s.Address)
		f.validateDomainName(path, m, s.Domain)
	}
}

func (f *faultList) validateLinks(m *Manifest) {
	seen := map[string]bool{}
	for i, l := range m.Links {
		path := fmt.Sprintf("links[%d]", i)
		f.validateName(path, l.Name, seen)
		if l.Regions[0] == "" || l.Regions[1] == "" || l.Regions[0] == l.Regions[1] {
			f.add(path+".regions", "must be two different regions", "name both ends")
		}
		if l.BytesPerSecond < 1 {
			f.add(path+".bytes_per_second", "must be 1 or more", "set the rate each way")
		}
	}
}

func (f *faultList) validateDomainName(path string, m *Manifest, name string) {
	if _, ok := m.DomainByName(name); !ok {
		f.add(path+".failure_domain", fmt.Sprintf("unknown failure domain %q", name), "declare it under failure_domains")
	}
}
