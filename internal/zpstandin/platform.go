// Package zpstandin provides small stand-ins for the systems that zinniapaddle
// works with: the platform, model engines, plain services, cache stores and the
// link. They implement the published protocols; POST /control injects faults.
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
	// Platform is a stand-in for the object API of the platform.
	Platform struct {
		Store *zpobject.Memory

		mu     sync.Mutex
		mode   PlatformMode
		calls  map[string]int64
		writes int64
		limit  *rate.Limiter // nil: no limit
	}

	// PlatformMode selects the faults that the platform injects.
	PlatformMode struct {
		Down      bool  `json:"down"`       // reject every call with status 503
		DownPuts  bool  `json:"down_puts"`  // reject writes with status 503
		DelayMS   int64 `json:"delay_ms"`   // delay before each call is handled
		CallRate  int64 `json:"call_rate"`  // reject calls above this rate per second with status 429; 0: no limit
		LoseEvery int64 `json:"lose_every"` // drop the response of each n-th write after applying it
		LoseNext  int64 `json:"lose_next"`  // drop the responses of the next n writes after applying them
	}
)

const maxWatchWait = 30 * time.Second

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{Store: zpobject.NewMemory(), calls: map[string]int64{}}
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name}", p.withFaults("get", p.get))
	mux.HandleFunc("GET /v1/objects", p.withFaults("list", p.list))
	mux.HandleFunc("PUT /v1/objects/{name}", p.withFaults("put", p.put))
	mux.HandleFunc("DELETE /v1/objects/{name}", p.withFaults("delete", p.remove))
	mux.HandleFunc("GET /v1/watch", p.withFaults("watch", p.watch))
	mux.HandleFunc("GET /v1/vms", p.withFaults("vms", p.vms))
	mux.HandleFunc("POST /control", p.control)
	mux.HandleFunc("POST /control/vms", p.controlVMs)
	mux.HandleFunc("GET /control/calls", p.counts)
	return mux
}

// SetMode replaces the fault mode.
func (p *Platform) SetMode(m PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.limit = nil
	if m.CallRate > 0 {
		p.limit = rate.NewLimiter(rate.Limit(m.CallRate), int(m.CallRate))
	}
}

// withFaults counts a call and injects the faults of the mode.
func (p *Platform) withFaults(call string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[call]++
		mode := p.mode
		limited := p.limit != nil && !p.limit.Allow()
		write := call == "put" || call == "delete"
		lose := write && p.losesResponse()
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
			next(discardResponse{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// losesResponse reports whether the response of this write is dropped. It counts the
// write, so call it once for each.
func (p *Platform) losesResponse() bool {
	if p.mode.LoseNext > 0 {
		p.mode.LoseNext--
		return true
	}
	p.writes++
	return p.mode.LoseEvery > 0 && p.writes%p.mode.LoseEvery == 0
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
	wait := min(time.Duration(ms)*time.Millisecond, maxWatchWait)
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

// discardResponse is a response writer that drops the response.
type discardResponse struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardResponse) WriteHeader(int) {}
