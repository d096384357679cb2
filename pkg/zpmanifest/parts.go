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
	// Head is the root object of a stored manifest: its scalar values and the
	// names of the immutable parts that contain the rest. A change of one
	// endpoint writes one part and the head, whatever the size of the manifest.
	Head struct {
		Version     int64
		Partitions  int
		ClaimShards int
		Parts       []string // names, sorted
	}

	// Part is an immutable part of a manifest, named by the hash of its content.
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
	// Endpoints and workspaces are distributed over these numbers of parts by the
	// hash of their names.
	endpointBuckets  = 256
	workspaceBuckets = 32

	partNameHashBytes = 8
)

// Split encodes a manifest as a head and parts.
func Split(m *Manifest) (Head, []Part, error) {
	base := m.Clone()
	base.Version, base.Partitions, base.ClaimShards = 0, 0, 0
	base.Workspaces, base.Endpoints = nil, nil
	partManifests := []*Manifest{base}
	for _, list := range groupByHash(m.Workspaces, workspaceBuckets, func(w Workspace) string { return w.Name }) {
		partManifests = append(partManifests, &Manifest{Workspaces: list})
	}
	for _, list := range groupByHash(m.Endpoints, endpointBuckets, func(e Endpoint) string { return e.Name }) {
		partManifests = append(partManifests, &Manifest{Endpoints: list})
	}
	head := Head{Version: m.Version, Partitions: m.Partitions, ClaimShards: m.ClaimShards}
	parts := make([]Part, 0, len(partManifests))
	for _, piece := range partManifests {
		body, err := json.Marshal(toWire(piece))
		if err != nil {
			return Head{}, nil, fmt.Errorf("encode manifest part: %w", err)
		}
		sum := sha256.Sum256(body)
		part := Part{Name: hex.EncodeToString(sum[:partNameHashBytes]), Body: body}
		parts = append(parts, part)
		head.Parts = append(head.Parts, part.Name)
	}
	sort.Strings(head.Parts)
	return head, parts, nil
}

// Join assembles a manifest from its head and the parsed parts that the head
// names. Workspaces and endpoints are sorted by name.
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

// ParsePart decodes the body of a part.
func ParsePart(body []byte) (*Manifest, error) {
	var w wireManifest
	if err := decodeStrict(body, &w); err != nil {
		return nil, fmt.Errorf("read manifest part: %w", err)
	}
	return fromWire(w), nil
}

// EncodeHead encodes a head as JSON.
func EncodeHead(h Head) ([]byte, error) { return json.Marshal(wireHead(h)) }

// DecodeHead decodes a head from JSON.
func DecodeHead(body []byte) (Head, error) {
	var w wireHead
	if err := decodeStrict(body, &w); err != nil {
		return Head{}, fmt.Errorf("read manifest head: %w", err)
	}
	return Head(w), nil
}

// decodeStrict rejects unknown JSON members, so that a daemon that is older than
// the manifest format keeps its last good manifest instead of misreading the new
// one.
func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// groupByHash distributes entries over buckets by the hash of their names, so that
// a new entry changes only one bucket. It returns the buckets that are not empty.
func groupByHash[T any](list []T, buckets int, name func(T) string) [][]T {
	bucketLists := make([][]T, buckets)
	for _, v := range list {
		i := xxh3.HashString(name(v)) % uint64(buckets)
		bucketLists[i] = append(bucketLists[i], v)
	}
	var out [][]T
	for _, b := range bucketLists {
		if len(b) > 0 {
			sort.Slice(b, func(i, j int) bool { return name(b[i]) < name(b[j]) })
			out = append(out, b)
		}
	}
	return out
}
