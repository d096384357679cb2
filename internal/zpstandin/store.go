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
	// Store stands in for a KV cache store. Its generation changes when it
	// loses its contents.
	Store struct {
		Region   string
		DiskWait time.Duration // extra time of a read from disk

		mu         sync.Mutex
		generation int64
		memory     *lru.Cache[string, *block]
		disk       *lru.Cache[string, *block]
		mode       StoreMode
		stats      StoreStats
	}

	// StoreMode is how the store fails now.
	StoreMode struct {
		Full     bool `json:"full"`      // refuse writes
		TearNext int  `json:"tear_next"` // keep the next n blocks half written
		Wipe     bool `json:"wipe"`      // lose everything now
	}

	// StoreStats is what the store has counted.
	StoreStats struct {
		Writes int64 `json:"writes"`
		Reads  int64 `json:"reads"`
		Misses int64 `json:"misses"`
	}

	block struct {
		data     []byte
		checksum string
		sealed   bool
	}
)

// NewStore returns an empty store with room for so many blocks.
func NewStore(region string, memoryBlocks, diskBlocks int) (*Store, error) {
	s := &Store{Region: region, DiskWait: 2 * time.Millisecond, generation: time.Now().UnixNano()}
	disk, err := lru.New[string, *block](diskBlocks)
	if err != nil {
		return nil, err
	}
	s.disk = disk
	// What memory drops goes to disk.
	s.memory, err = lru.NewWithEvict(memoryBlocks, func(name string, b *block) { s.disk.Add(name, b) })
	return s, err
}

// Handler returns the HTTP protocol of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{name}", s.put)
	mux.HandleFunc("GET /v1/blocks/{name}", s.get)
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /control/stats", s.statsPage)
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

// SetMode changes how the store fails.
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

// Stats returns what the store has counted.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) statsPage(w http.ResponseWriter, _ *http.Request) {
	text, err := json.Marshal(s.Stats())
	writeBytes(w, text, err)
}
