package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	streamClients = 72
	longPause     = 160 * time.Millisecond // the sheet allows pauses of 800 ms

	loadTime      = 14 * time.Second
	stoppedDaemon = 0
)

// playQueuedStop stops one daemon while more requests come than the engines can take.
func playQueuedStop(ctx context.Context, s *site, trouble bool) (outcome, error) {
	if err := s.open(len(zones), newConfig(7, oneTenant(false))); err != nil {
		return notRun, err
	}
	var list []*engine
	for i := range engines {
		e, err := s.startEngine(i, longPause, streamEvents)
		if err != nil {
			return notRun, err
		}
		list = append(list, e)
	}
	if err := s.startDaemons(ctx); err != nil {
		return notRun, err
	}
	requests := &requestLog{}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var sending sync.WaitGroup
	for n := range streamClients {
		sending.Go(func() { s.sendStreams(clients, n, 0, requests) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(loadTime)
	stoppedAt := time.Now()
	if trouble {
		s.Record.note("daemon %d gets SIGTERM", stoppedDaemon)
		if err := s.daemons[stoppedDaemon].Signal(syscall.SIGTERM); err != nil {
			return notRun, err
		}
	}
	time.Sleep(grace)
	if trouble {
		s.daemons[stoppedDaemon].Kill()
		s.Record.note("daemon %d has ended, or is killed %s after SIGTERM", stoppedDaemon, grace)
	}
	stopClients()
	sending.Wait()
	return s.judgeStop(stoppedAt, list, requests), nil
}

// judgeStop counts the requests that the stopped daemon had read and that ended without a
// complete answer, although no runner worked on them.
func (s *site) judgeStop(stoppedAt time.Time, list []*engine, requests *requestLog) outcome {
	began := map[string]bool{}
	for _, e := range list {
		for _, r := range e.allRuns() {
			began[r.Request] = true
		}
	}
	s.recordRuns(list)
	lost, cut := 0, 0
	for _, q := range requests.all() {
		s.Record.noteAt(q.SentAt, "%s", q.text())
		isPlanned := q.Daemon == stoppedDaemon && q.DoneAt.After(stoppedAt) && q.SentAt.Before(stoppedAt.Add(grace))
		reachedDeadline := q.DoneAt.Sub(q.SentAt) >= q.Deadline
		if !isPlanned || q.Status != 0 && q.Complete || reachedDeadline || q.DoneAt.Sub(q.SentAt) <= lossSlack {
			continue
		}
		if began[q.ID] {
			cut++ // its runner was at work
			continue
		}
		lost++
		s.Record.noteAt(q.DoneAt, "LOST: %s; no runner had begun it", q.text())
	}
	s.Record.note("daemon %d, around SIGTERM: %d requests ended without an answer that no runner had begun; %d were cut in the answer", stoppedDaemon, lost, cut)
	answered := 0
	for _, q := range requests.all() {
		if q.Status == http.StatusOK && q.Complete {
			answered++
		}
	}
	s.Record.note("%d requests, %d with a complete 200", len(requests.all()), answered)
	if answered == 0 {
		return notRun
	}
	if lost > 0 {
		return ruleBroken
	}
	return ruleHeld
}
