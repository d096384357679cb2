package zpstandin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// Link is a stand-in for the link between regions. It handles transfers one
	// after the other at a fixed rate, and counts their bytes.
	Link struct {
		BytesPerSecond int64
		Latency        time.Duration

		mu        sync.Mutex
		busyUntil time.Time // end of the last accepted transfer, without latency
		bytes     int64
		down      bool
	}
)

// Handler returns the HTTP handler of the link.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /transfer", l.transfer)
	mux.HandleFunc("POST /control", l.control)
	mux.HandleFunc("GET /control/stats", l.stats)
	return mux
}

// Bytes returns the number of bytes in all accepted transfers.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *Link) transfer(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.BytesPerSecond))
	l.bytes += n
	end := l.busyUntil.Add(l.Latency)
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
	l.down = c.Cut
}

func (l *Link) stats(w http.ResponseWriter, _ *http.Request) {
	text, err := json.Marshal(map[string]int64{"bytes": l.Bytes()})
	writeBytes(w, text, err)
}
