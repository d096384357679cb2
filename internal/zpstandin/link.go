package zpstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// Link stands in for the inter-region link: it carries bytes one after the
	// other at its rate, and counts them.
	Link struct {
		BytesPerSecond int64
		Latency        time.Duration

		mu    sync.Mutex
		busy  time.Time // end of the transfers under way
		bytes int64
		cut   bool
	}
)

// Handler returns the HTTP interface of the link.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /transfer", l.transfer)
	mux.HandleFunc("POST /control", l.control)
	mux.HandleFunc("GET /control/stats", l.stats)
	return mux
}

// Bytes returns how many bytes the link has carried.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *Link) transfer(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	now := time.Now()
	if l.busy.Before(now) {
		l.busy = now
	}
	l.busy = l.busy.Add(time.Duration(n) * time.Second / time.Duration(l.BytesPerSecond))
	l.bytes += n
	end := l.busy.Add(l.Latency)
	l.mu.Unlock()
	sleep(r.Context(), time.Until(end))
}

func (l *Link) control(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Cut bool `json:"cut"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c.Cut
}

func (l *Link) stats(w http.ResponseWriter, _ *http.Request) {
	text, err := json.Marshal(map[string]int64{"bytes": l.Bytes()})
	writeBytes(w, text, err)
}
