package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// request is one attempt of a client and its result.
	request struct {
		ID       string
		Daemon   int
		Path     string
		Prompt   string // prompt parts as ID:TOKENS; empty for requests without a prompt
		Tokens   string // PROMPT,OUTPUT; with Prompt
		Key      string
		Deadline time.Duration

		SentAt   time.Time
		DoneAt   time.Time
		Status   int  // zero if there was no response
		Complete bool // the response ended as HTTP requires
		Events   int  // of a stream
	}

	// requestLog records the requests of all clients. It is safe for concurrent use.
	requestLog struct {
		mu       sync.Mutex
		requests []*request
	}
)

const (
	host  = "pule25.example"
	model = "daka510000"
)

func (l *requestLog) add(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}

// all returns the recorded requests.
func (l *requestLog) all() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*request(nil), l.requests...)
}

// newClient returns a client that keeps one connection to each daemon.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
}

// send sends a request and reads its response.
func (s *site) send(client *http.Client, q *request) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	method := http.MethodPost
	if strings.HasPrefix(q.Path, fetchPath) {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", s.ip(1, q.Daemon), callersPort, q.Path), nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", q.ID)
	req.Header.Set("Authorization", "Bearer "+q.Key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Prompt != "" {
		req.Header.Set("Model", model)
		req.Header.Set("Token-Count", q.Tokens)
		req.Header.Set("Prompt-Prefix", q.Prompt)
	}
	q.SentAt = time.Now()
	defer func() { q.DoneAt = time.Now() }()
	res, err := client.Do(req)
	if err != nil {
		return
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	q.Status, q.Complete, q.Events = res.StatusCode, err == nil, strings.Count(string(body), "data: ")
}

// text returns the result of a request for the record.
func (q *request) text() string {
	result := fmt.Sprintf("%d, complete %t", q.Status, q.Complete)
	if q.Status == 0 {
		result = "no answer"
	}
	return fmt.Sprintf("request %s %s through daemon %d: %s after %d ms", q.ID, q.Path, q.Daemon, result, q.DoneAt.Sub(q.SentAt).Milliseconds())
}
