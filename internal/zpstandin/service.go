package zpstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpengine"
)

type (
	// Service is a stand-in for an application endpoint. It counts runs by
	// Idempotency-Key to reveal duplicates, but does not reject duplicates.
	Service struct {
		Name string
		Work time.Duration

		mu      sync.Mutex
		mode    ServiceMode
		boot    string
		runs    map[string]int // by workspace, key and path
		ids     []string       // request ids in the order of their runs
		running int
	}

	// ServiceMode selects the faults that the service injects.
	ServiceMode struct {
		LoseNext int64 `json:"lose_next"` // drop the connections of the next n requests after running them
		LateMS   int64 `json:"late_ms"`   // additional delay of each response
		Down     bool  `json:"down"`      // drop connections without running requests
	}

	// ServiceStats holds the counters of the service.
	ServiceStats struct {
		Runs       map[string]int `json:"runs"`
		RequestIDs []string       `json:"request_ids"`
		Doubles    int            `json:"doubles"` // keys that ran more than once
	}
)

// NewService returns a service that takes the given time for each request.
func NewService(name string, work time.Duration) *Service {
	return &Service{Name: name, Work: work, boot: newBootID(name), runs: map[string]int{}}
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.report)
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /control/stats", s.stats)
	mux.HandleFunc("/", s.run)
	return mux
}

// Stats returns a copy of the counters.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ServiceStats{Runs: map[string]int{}, RequestIDs: append([]string(nil), s.ids...)}
	for key, n := range s.runs {
		out.Runs[key] = n
		if n > 1 {
			out.Doubles++
		}
	}
	return out
}

// SetMode replaces the fault mode.
func (s *Service) SetMode(m ServiceMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	mode, lose := s.begin(r)
	if mode.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.Work + time.Duration(mode.LateMS)*time.Millisecond)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(zpengine.HeaderBoot, s.boot)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"service":%q,"path":%q,"bytes":%d,"request":%q}`,
		s.Name, r.URL.Path, len(body), r.Header.Get(zpengine.HeaderRequestID))
}

// begin counts a run, unless the service is down. It returns the mode, and whether
// to drop the response.
func (s *Service) begin(r *http.Request) (ServiceMode, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Down {
		return s.mode, false
	}
	s.running++
	id := r.Header.Get(zpengine.HeaderRequestID)
	s.ids = append(s.ids, id)
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = "request/" + id
	}
	s.runs[r.Header.Get(zpengine.HeaderWorkspace)+"|"+key+"|"+r.URL.Path]++
	lose := s.mode.LoseNext > 0
	if lose {
		s.mode.LoseNext--
	}
	return s.mode, lose
}

func (s *Service) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.Down {
		panic(http.ErrAbortHandler)
	}
	text, err := json.Marshal(engineReport{Boot: s.boot, Warm: true, Running: s.running})
	writeBytes(w, text, err)
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	var m ServiceMode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetMode(m)
}

func (s *Service) stats(w http.ResponseWriter, _ *http.Request) {
	text, err := json.Marshal(s.Stats())
	writeBytes(w, text, err)
}
