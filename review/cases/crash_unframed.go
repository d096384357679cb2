package main

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// crashDelay is the time from the start of an unframed answer to the crash: about a
	// quarter of the stream.
	crashDelay      = time.Second
	unframedTimeout = 50 * time.Second
	entryLapse      = 3600 * time.Millisecond // three times heartbeat-ms
	afterCrash      = 6 * time.Second
	crashClients    = 6 // for each daemon
)

var errNoUnframed = errors.New("no answer without a length came")

// playCrashUnframed kills an engine while it sends an answer that has no length.
func playCrashUnframed(ctx context.Context, s *site, trouble bool) (outcome, error) {
	if err := s.open(len(zones), newConfig(7, oneTenant(false))); err != nil {
		return notRun, err
	}
	for i := range fewEngines - 1 {
		if _, err := s.startEngine(i, streamPause, streamEvents); err != nil {
			return notRun, err
		}
	}
	crashing, err := s.startEngineProcess(fewEngines - 1)
	if err != nil {
		return notRun, err
	}
	if err := s.startDaemons(ctx); err != nil {
		return notRun, err
	}
	requests := &requestLog{}
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var sending sync.WaitGroup
	for n := range crashClients * len(s.daemons) {
		sending.Go(func() { s.sendStreams(clients, n, requestInterval, requests) })
	}
	var unframed string
	select {
	case unframed = <-crashing.unframed:
	case <-time.After(unframedTimeout):
		return notRun, errNoUnframed
	}
	time.Sleep(crashDelay)
	if trouble {
		if err := crashing.kill(); err != nil {
			return notRun, err
		}
		s.Record.note("engine %s crashes (SIGKILL) while it answers request %s", crashing.Name, unframed)
		time.Sleep(entryLapse)
		s.store.Remove("servers", crashing.Name)
	}
	time.Sleep(afterCrash)
	stopClients()
	sending.Wait()
	return s.judgeEnds(requests), nil
}

// judgeEnds checks that no stream ended as complete before its last event.
func (s *site) judgeEnds(requests *requestLog) outcome {
	complete, incomplete, short := 0, 0, 0
	for _, q := range requests.all() {
		s.Record.noteAt(q.SentAt, "%s, %d events", q.text(), q.Events)
		switch {
		case q.Status != http.StatusOK:
		case !q.Complete:
			incomplete++
		case q.Events < streamEvents:
			short++
			s.Record.noteAt(q.DoneAt, "ORDER: the answer to request %s ends as complete after %d of %d events", q.ID, q.Events, streamEvents)
		default:
			complete++
		}
	}
	s.Record.note("streams: %d complete, %d broken off so that the client sees it, %d short ones that look complete", complete, incomplete, short)
	if complete == 0 {
		return notRun
	}
	if short > 0 {
		return ruleBroken
	}
	return ruleHeld
}
