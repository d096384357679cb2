package main

import (
	"context"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/platform/zpoutside"
)

const (
	plainRunners  = 3
	plainSlots    = 6
	plainDeadline = time.Second
)

// startPlainRunner starts a runner of the plain service and writes its entry.
func (s *site) startPlainRunner(i int, work time.Duration, log *zpoutside.Log) error {
	address := fmt.Sprintf("%s:%d", s.ip(3, i), runnerPort)
	e := &zpoutside.Endpoint{Pool: plainService, Domain: zones[i%len(zones)].Name, Address: address, Slots: plainSlots, Work: work, Log: log}
	e.Start(fmt.Sprintf("i-plain%d", i), 0)
	if _, err := s.serve(address, e); err != nil {
		return err
	}
	name, spec := e.Entry()
	s.store.Put("servers", name, spec)
	s.Record.note("runner %s registers", name)
	return nil
}

// sendOrders saves orders one after another over one connection until ctx ends.
func (s *site) sendOrders(ctx context.Context, daemon, number int, pause time.Duration, requests *requestLog) {
	client := newClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		q := &request{ID: fmt.Sprintf("q%d-%d-%d", daemon, number, n), Daemon: daemon, Path: savePath + "2f", Key: tenantKey, Deadline: plainDeadline}
		s.send(client, q)
		requests.add(q)
		time.Sleep(pause)
	}
}
