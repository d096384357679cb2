package main

import (
	"context"
	"fmt"
	"time"
)

const (
	engines        = 2
	streamPause    = 80 * time.Millisecond
	streamEvents   = 48
	promptTokens   = "11992,48" // mean prompt and answer of layout-suggest
	streamDeadline = 12 * time.Second

	warmUp = 5 * time.Second
)

// sendStreams sends prompts one after another over one connection. A client whose
// connection fails goes to the next daemon.
func (s *site) sendStreams(ctx context.Context, number int, pause time.Duration, requests *requestLog) {
	client := newClient()
	defer client.CloseIdleConnections()
	daemon := number % len(s.daemons)
	for n := 0; ctx.Err() == nil; n++ {
		q := &request{
			ID: fmt.Sprintf("s%d-%d", number, n), Daemon: daemon, Path: suggestPath + "2f", Key: tenantKey, Deadline: streamDeadline,
			Tokens: promptTokens, Prompt: fmt.Sprintf("5c1e07a2:512,%08x:8610,%08x:2870", number, number*1000+n),
		}
		s.send(client, q)
		requests.add(q)
		if q.Status == 0 {
			daemon = (daemon + 1) % len(s.daemons)
		}
		time.Sleep(pause)
	}
}
