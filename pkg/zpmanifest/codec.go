package zpmanifest

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	wireManifest struct {
		Version     int64           `yaml:"version" json:"version"`
		Partitions  int             `yaml:"partitions" json:"partitions"`
		ClaimShards int             `yaml:"claim_shards" json:"claim_shards"`
		Domains     []wireDomain    `yaml:"failure_domains" json:"failure_domains"`
		Workspaces  []wireWorkspace `yaml:"workspaces" json:"workspaces"`
		Models      []wireModel     `yaml:"models" json:"models"`
		Pools       []wirePool      `yaml:"pools" json:"pools"`
		Endpoints   []wireEndpoint  `yaml:"endpoints" json:"endpoints"`
		Stores      []wireStore     `yaml:"stores,omitempty" json:"stores"`
		Links       []wireLink      `yaml:"links,omitempty" json:"links"`
	}
	wireDomain struct {
		Name   string `yaml:"name" json:"name"`
		Region string `yaml:"region" json:"region"`
		Out    bool   `yaml:"out,omitempty" json:"out"`
	}
	wireWorkspace struct {
		Name      string   `yaml:"name" json:"name"`
		KeyHashes []string `yaml:"api_key_sha256" json:"api_key_sha256"`
		Weight    int      `yaml:"weight,omitempty" json:"weight"`
		CacheKey  string   `yaml:"cache_key" json:"cache_key"`
	}
	wireModel struct {
		Name          string `yaml:"name" json:"name"`
		WeightVersion string `yaml:"weight_version" json:"weight_version"`
		Pool          string `yaml:"pool" json:"pool"`
	}
	wirePool struct {
		Name       string `yaml:"name" json:"name"`
		Kind       string `yaml:"kind" json:"kind"`
		RequireKey bool   `yaml:"require_key,omitempty" json:"require_key"`
		ReadOnly   bool   `yaml:"read_only,omitempty" json:"read_only"`
	}
	wireEndpoint struct {
		Name      string `yaml:"name" json:"name"`
		Address   string `yaml:"address" json:"address"`
		Pool      string `yaml:"pool" json:"pool"`
		Domain    string `yaml:"failure_domain" json:"failure_domain"`
		Slots     int    `yaml:"slots" json:"slots"`
		ColdSlots int    `yaml:"cold_slots" json:"cold_slots"`
		Out       bool   `yaml:"out,omitempty" json:"out"`
		Fencing   bool   `yaml:"fencing,omitempty" json:"fencing"`
	}
	wireStore struct {
		Name    string `yaml:"name" json:"name"`
		Address string `yaml:"address" json:"address"`
		Domain  string `yaml:"failure_domain" json:"failure_domain"`
		Out     bool   `yaml:"out,omitempty" json:"out"`
	}
	wireLink struct {
		Name           string   `yaml:"name" json:"name"`
		Regions        []string `yaml:"regions" json:"regions"`
		BytesPerSecond int64    `yaml:"bytes_per_second" json:"bytes_per_second"`
	}
)

// Parse decodes a manifest from YAML without validating it. Unknown keys are
// rejected; syntax errors include line and column.
func Parse(text []byte) (*Manifest, error) {
	var w wireManifest
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := dec.Decode(&w); err != nil {
		return nil, zperror.New(zperror.KindInvalid, "manifest_syntax",
			fmt.Sprintf("the manifest cannot be read: %s", yaml.FormatError(err, false, false)),
			"correct the line named above and run `zinniapaddle check` again")
	}
	return fromWire(w), nil
}

// Format encodes a manifest as YAML.
func Format(m *Manifest) ([]byte, error) {
	text, err := yaml.Marshal(toWire(m))
	if err != nil {
		return nil, fmt.Errorf("format manifest: %w", err)
	}
	return text, nil
}

func fromWire(w wireManifest) *Manifest {
	m := &Manifest{Version: w.Version, Partitions: w.Partitions, ClaimShards: w.ClaimShards}
	for _, d := range w.Domains {
		m.Domains = append(m.Domains, Domain(d))
	}
	for _, x := range w.Workspaces {
		m.Workspaces = append(m.Workspaces, Workspace(x))
	}
	for _, x := range w.Models {
		m.Models = append(m.Models, Model(x))
	}
	for _, p := range w.Pools {
		m.Pools = append(m.Pools, Pool{
			Name: p.Name, Kind: PoolKind(p.Kind), RequireKey: p.RequireKey, ReadOnly: p.ReadOnly,
		})
	}
	for _, e := range w.Endpoints {
		m.Endpoints = append(m.Endpoints, Endpoint(e))
	}
	for _, s := range w.Stores {
		m.Stores = append(m.Stores, Store(s))
	}
	for _, l := range w.Links {
		link := Link{Name: l.Name, BytesPerSecond: l.BytesPerSecond}
		copy(link.Regions[:], l.Regions)
		m.Links = append(m.Links, link)
	}
	return m
}

func toWire(m *Manifest) wireManifest {
	w := wireManifest{Version: m.Version, Partitions: m.Partitions, ClaimShards: m.ClaimShards}
	for _, d := range m.Domains {
		w.Domains = append(w.Domains, wireDomain(d))
	}
	for _, x := range m.Workspaces {
		w.Workspaces = append(w.Workspaces, wireWorkspace(x))
	}
	for _, x := range m.Models {
		w.Models = append(w.Models, wireModel(x))
	}
	for _, p := range m.Pools {
		w.Pools = append(w.Pools, wirePool{
			Name: p.Name, Kind: string(p.Kind), RequireKey: p.RequireKey, ReadOnly: p.ReadOnly,
		})
	}
	for _, e := range m.Endpoints {
		w.Endpoints = append(w.Endpoints, wireEndpoint(e))
	}
	for _, s := range m.Stores {
		w.Stores = append(w.Stores, wireStore(s))
	}
	for _, l := range m.Links {
		w.Links = append(w.Links, wireLink{
			Name: l.Name, Regions: l.Regions[:], BytesPerSecond: l.BytesPerSecond,
		})
	}
	return w
}
