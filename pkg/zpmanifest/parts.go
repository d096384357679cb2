package zpmanifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/zeebo/xxh3"

	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Head is the stored form of a manifest: its numbers, and the names of the
	// immutable parts that make up the rest. A change of one endpoint writes one
	// part and the head, whatever the size of the manifest.
	Head struct {
		Version     int64
		Partitions  int
		ClaimShards int
		Parts       []string // names, sorted
	}

	// Part is one immutable piece of a manifest, named by its content.
	Part struct {
		Name string
		Body []byte
	}

	wireHead struct {
		Version     int64    `json:"version"`
		Partitions  int      `json:"partitions"`
		ClaimShards int      `json:"claim_shards"`
		Parts       []string `json:"parts"`
	}
)

const (
	// endpointBuckets and workspaceBuckets are how many parts the endpoints and
	// workspaces are spread over, by the hash of their names.
	endpointBuckets  = 256
	workspaceBuckets = 32

	partNameBytes = 8
)

// Split writes a manifest as a head and parts.
func Split(m *Manifest) (Head, []Part, error) {
	base := m.Clone()
	base.Version, base.Partitions, base.ClaimShards = 0, 0, 0
	base.Workspaces, base.Endpoints = nil, nil
	pieces := []*Manifest{base}
	for _, list := range bucketed(m.Workspaces, workspaceBuckets, func(w Workspace) string { return w.Name }) {
		pieces = append(pieces, &Manifest{Workspaces: list})
	}
	for _, list := range bucketed(m.Endpoints, endpointBuckets, func(e Endpoint) string { return e.Name }) {
		pieces = append(pieces, &Manifest{Endpoints: list})
	}
	head := Head{Version: m.Version, Partitions: m.Partitions, ClaimShards: m.ClaimShards}
	parts := make([]Part, 0, len(pieces))
	for _, piece := range pieces {
		body, err := json.Marshal(toWire(piece))
		if err != nil {
			return Head{}, nil, fmt.Errorf("encode manifest part: %w", err)
		}
		sum := sha256.Sum256(body)
		part := Part{Name: hex.EncodeToString(sum[:partNameBytes]), Body: body}
		parts = append(parts, part)
		head.Parts = append(head.Parts, part.Name)
	}
	sort.Strings(head.Parts)
	return head, parts, nil
}

// Join builds a manifest from its head and the parsed parts that it names. The
// entries are sorted by name.
func Join(h Head, parts map[string]*Manifest) (*Manifest, error) {
	m := &Manifest{Version: h.Version, Partitions: h.Partitions, ClaimShards: h.ClaimShards}
	for _, name := range h.Parts {
		p := parts[name]
		if p == nil {
			return nil, zperror.New(zperror.KindUnavailable, "manifest_part_missing",
				fmt.Sprintf("part %s of manifest version %d is missing", name, h.Version),
				"apply the manifest again")
		}
		m.Domains = append(m.Domains, p.Domains...)
		m.Workspaces = append(m.Workspaces, p.Workspaces...)
		m.Models = append(m.Models, p.Models...)
		m.Pools = append(m.Pools, p.Pools...)
		m.Endpoints = append(m.Endpoints, p.Endpoints...)
		m.Stores = append(m.Stores, p.Stores...)
		m.Links = append(m.Links, p.Links...)
	}
	sort.Slice(m.Workspaces, func(i, j int) bool { return m.Workspaces[i].Name < m.Workspaces[j].Name })
	sort.Slice(m.Endpoints, func(i, j int) bool { return m.Endpoints[i].Name < m.Endpoints[j].Name })
	return m, nil
}

// ParsePart reads a part.
func ParsePart(body []byte) (*Manifest, error) {
	var w wireManifest
	if err := decodeStrictly(body, &w); err != nil {
		return nil, fmt.Errorf("read manifest part: %w", err)
	}
	return fromWire(w), nil
}

// EncodeHead writes a head.
func EncodeHead(h Head) ([]byte, error) { return json.Marshal(wireHead(h)) }

// DecodeHead reads a head.
func DecodeHead(body []byte) (Head, error) {
	var w wireHead
	if err := decodeStrictly(body, &w); err != nil {
		return Head{}, fmt.Errorf("read manifest head: %w", err)
	}
	return Head(w), nil
}

// decodeStrictly refuses members that it does not know: a daemon that is older
// than the manifest keeps its last good one rather than misread the new one.
func decodeStrictly(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// bucketed spreads entries over buckets by the hash of their names, so that a
// new entry changes one bucket, and returns the buckets that are not empty.
func bucketed[T any](list []T, buckets int, name func(T) string) [][]T {
	spread := make([][]T, buckets)
	for _, v := range list {
		i := xxh3.HashString(name(v)) % uint64(buckets)
		spread[i] = append(spread[i], v)
	}
	var out [][]T
	for _, b := range spread {
		if len(b) > 0 {
			sort.Slice(b, func(i, j int) bool { return name(b[i]) < name(b[j]) })
			out = append(out, b)
		}
	}
	return out
}
