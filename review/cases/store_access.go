package main

import (
	"bytes"
	"net/http"
	"sync"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

// storeAccess is the store as one machine reaches it. While it is silent, the store
// answers neither calls that arrive nor those whose answer falls due, and executes none of
// the former. A connection whose answer is lost returns nothing further.
type storeAccess struct {
	Store *zpoutside.Store

	mu     sync.Mutex
	silent bool
	lost   int // calls that were not answered
}

// bufferedReply holds an answer until it is known whether it is sent.
type bufferedReply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedReply) Header() http.Header { return b.header }

func (b *bufferedReply) WriteHeader(status int) { b.status = status }

func (b *bufferedReply) Write(p []byte) (int, error) { return b.body.Write(p) }

// setSilent starts or ends the silence.
func (a *storeAccess) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

// lostCalls returns the number of calls that were not answered.
func (a *storeAccess) lostCalls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lost
}

func (a *storeAccess) isSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}

// ServeHTTP implements http.Handler.
func (a *storeAccess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.isSilent() {
		a.lose(r)
		return
	}
	reply := &bufferedReply{header: http.Header{}, status: http.StatusOK}
	a.Store.ServeHTTP(reply, r)
	if a.isSilent() {
		a.lose(r)
		return
	}
	for name, values := range reply.header {
		w.Header()[name] = values
	}
	w.WriteHeader(reply.status)
	// Fails only if the client has disconnected.
	_, _ = w.Write(reply.body.Bytes())
}

// lose keeps the connection open without an answer until the client closes it.
func (a *storeAccess) lose(r *http.Request) {
	a.mu.Lock()
	a.lost++
	a.mu.Unlock()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
