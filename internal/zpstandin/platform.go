// Package zpstandin holds small stand-ins for the systems round zinniapaddle:
// the platform, model engines, plain services, cache stores and the link. They
// speak the published protocols and can be made to fail through /control.
package zpstandin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/zinniapaddle/zinniapaddle/pkg/zpobject"
)

type (
	// Platform stands in for the object API.
	Platform struct {
		Store *zpobject.Memory

		mu     sync.Mutex
		mode   PlatformMode
		calls  map[string]int64
		losses int64
		limit  *rate.Limiter // nil: no limit
	}

	// PlatformMode is how the platform fails now.
	PlatformMode struct {
		Down      bool  `json:"down"`       // refuse every call
		DownPuts  bool  `json:"down_puts"`  // refuse writes only
		DelayMS   int64 `json:"delay_ms"`   // before each answer
		CallRate  int64 `json:"call_rate"`  // refuse calls beyond so many a second; 0: no limit
		LoseEvery int64 `json:"lose_every"` // lose the answer of each n-th write, after its effect
		LoseNext  int64 `json:"lose_next"`  // lose the answers of the next n writes
	}
)

const maxWait = 30 * time.Second

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{Store: zpobject.NewMemory(), calls: map[string]int64{}}
}

// Handler returns the HTTP protocol of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name}", p.guard("get", p.get))
	mux.HandleFunc("GET /v1/objects", p.guard("list", p.list))
	mux.HandleFunc("PUT /v1/objects/{name}", p.guard("put", p.put))
	mux.HandleFunc("DELETE /v1/objects/{name}", p.guard("delete", p.remove))
	mux.HandleFunc("GET /v1/watch", p.guard("watch", p.watch))
	mux.HandleFunc("GET /v1/vms", p.guard("vms", p.vms))
	mux.HandleFunc("POST /control", p.control)
	mux.HandleFunc("POST /control/vms", p.controlVMs)
	mux.HandleFunc("GET /control/calls", p.counts)
	return mux
}

// SetMode changes how the platform fails.
func (p *Platform) SetMode(m PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.limit = nil
	if m.CallRate > 0 {
		p.limit = rate.NewLimiter(rate.Limit(m.CallRate), int(m.CallRate))
	}
}

// guard counts a call and makes it fail as the mode says.
func (p *Platform) guard(call string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[call]++
		mode := p.mode
		limited := p.limit != nil && !p.limit.Allow()
		write := call == "put" || call == "delete"
		lose := write && p.loses()
		p.mu.Unlock()
		time.Sleep(time.Duration(mode.DelayMS) * time.Millisecond)
		if limited {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if mode.Down || (write && mode.DownPuts) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if lose {
			next(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// loses reports whether the answer of this write is lost.
func (p *Platform) loses() bool {
	if p.mode.LoseNext > 0 {
		p.mode.LoseNext--
		return true
	}
	p.losses++
	return p.mode.LoseEvery > 0 && p.losses%p.mode.LoseEvery == 0
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, err := p.Store.Get(r.Context(), r.PathValue("name"))
	writeObject(w, o, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	l, err := p.Store.List(r.Context(), r.URL.Query().Get("prefix"))
	writeListing(w, l, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, zpobject.MaxBodyBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, err := p.Store.Put(r.Context(), r.PathValue("name"), body, revision(r))
	writeObject(w, o, err)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if err := p.Store.Delete(r.Context(), r.PathValue("name"), revision(r)); err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	wait := min(time.Duration(ms)*time.Millisecond, maxWait)
	l, err := p.Store.Watch(r.Context(), q.Get("prefix"), from, wait)
	writeListing(w, l, err)
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := p.Store.VMs(r.Context())
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	text, err := zpobject.EncodeVMs(vms)
	writeBytes(w, text, err)
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var m PlatformMode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetMode(m)
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	vms, err := zpobject.DecodeVMs(text)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.Store.SetVMs(vms)
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := json.Marshal(p.calls)
	writeBytes(w, text, err)
}

func revision(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get("if_revision"), 10, 64)
	return n
}

func writeObject(w http.ResponseWriter, o zpobject.Object, err error) {
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	text, err := zpobject.EncodeObject(o)
	writeBytes(w, text, err)
}

func writeListing(w http.ResponseWriter, l zpobject.Listing, err error) {
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	text, err := zpobject.EncodeListing(l)
	writeBytes(w, text, err)
}

func writeBytes(w http.ResponseWriter, text []byte, err error) {
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, zpobject.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, zpobject.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, zpobject.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// discard is a response that nobody gets.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}
