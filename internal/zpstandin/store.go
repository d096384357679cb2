package zpstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
)

type (
	// Store is a stand-in for a KV cache store. Its generation changes whenever it
	// loses its contents.
	Store struct {
		Region   string
		DiskWait time.Duration // additional latency of a read from disk

		mu         sync.Mutex
		generation int64
		memory     *lru.Cache[string, *block]
		disk       *lru.Cache[string, *block]
		mode       StoreMode
		stats      StoreStats
	}

	// StoreMode selects the faults that the store injects.
	StoreMode struct {
		Full     bool `json:"full"`      // reject writes with status 507
		TearNext int  `json:"tear_next"` // keep only the first half of the next n blocks written, unsealed
		Wipe     bool `json:"wipe"`      // delete all blocks once
	}

	// StoreStats holds the counters of the store.
	StoreStats struct {
		Writes int64 `json:"writes"`
		Reads  int64 `json:"reads"`
		Misses int64 `json:"misses"`
	}

	block struct {
		data     []byte
		checksum string
		sealed   bool // received completely, with the right checksum
	}
)

// NewStore returns an empty store with the given capacities.
func NewStore(region string, memoryBlocks, diskBlocks int) (*Store, error) {
	s := &Store{Region: region, DiskWait: 2 * time.Millisecond, generation: time.Now().UnixNano()}
	disk, err := lru.New[string, *block](diskBlocks)
	if err != nil {
		return nil, err
	}
	s.disk = disk
	// Blocks evicted from memory move to disk.
	s.memory, err = lru.NewWithEvict(memoryBlocks, func(name string, b *block) { s.disk.Add(name, b) })
	return s, err
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{name}", s.put)
	mux.HandleFunc("GET /v1/blocks/{name}", s.get)
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /control/stats", s.serveStats)
	return mux
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Full {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	b := &block{data: data, checksum: r.Header.Get(headerChecksum)}
	b.sealed = err == nil && checksum(data) == b.checksum
	if s.mode.TearNext > 0 {
		s.mode.TearNext--
		b.data, b.sealed = data[:len(data)/2], false
	}
	s.memory.Add(r.PathValue("name"), b)
	s.stats.Writes++
	w.Header().Set(headerGeneration, strconv.FormatInt(s.generation, 10))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s.mu.Lock()
	s.stats.Reads++
	b, ok := s.memory.Get(name)
	onDisk := false
	if !ok {
		b, onDisk = s.disk.Get(name)
	}
	if !ok && !onDisk {
		s.stats.Misses++
	}
	generation := s.generation
	s.mu.Unlock()
	if b == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if onDisk {
		time.Sleep(s.DiskWait)
	}
	h := w.Header()
	h.Set(headerName, name)
	h.Set(headerGeneration, strconv.FormatInt(generation, 10))
	h.Set(headerChecksum, b.checksum)
	h.Set(headerSealed, strconv.FormatBool(b.sealed))
	h.Set(headerRegion, s.Region)
	_, _ = w.Write(b.data)
}

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	var m StoreMode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetMode(m)
}

// SetMode replaces the fault mode. Wipe takes effect once, at the call.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	if m.Wipe {
		s.generation++
		s.memory.Purge()
		s.disk.Purge()
	}
}

// Stats returns a copy of the counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) {
	text, err := json.Marshal(s.Stats())
	writeBytes(w, text, err)
}
