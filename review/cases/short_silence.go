package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	fewEngines      = 4
	fewClients      = 6 // for each daemon
	shortPause      = 40 * time.Millisecond
	requestInterval = 100 * time.Millisecond

	silenceLength  = 1200 * time.Millisecond
	newEngineDelay = 300 * time.Millisecond // from the start of the silence
	settleTime     = stableWindow + time.Second
	// drainToExit is the time for which the leaving engine goes on serving: drain-ms and a
	// little longer.
	drainToExit = drainLimit + 4*time.Second
	afterExit   = 3 * time.Second

	silentDaemon  = 0
	leavingEngine = 0
)

// playShortSilence lets the store be silent towards one machine for a moment, while an
// engine of a release registers, and later lets the engine that it replaces leave.
func playShortSilence(ctx context.Context, s *site, trouble bool) (outcome, error) {
	if err := s.open(len(zones), newConfig(7, oneTenant(false))); err != nil {
		return notRun, err
	}
	var list []*engine
	for i := range fewEngines {
		e, err := s.startEngine(i, shortPause, streamEvents)
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
	for n := range fewClients * len(s.daemons) {
		sending.Go(func() { s.sendStreams(clients, n, requestInterval, requests) })
	}
	time.Sleep(warmUp)
	if err := s.silence(trouble); err != nil {
		return notRun, err
	}
	time.Sleep(settleTime)
	leaving := list[leavingEngine]
	leaving.setDraining()
	s.store.Put("servers", leaving.Name, leaving.entry())
	acknowledgedAt := time.Now()
	s.Record.note("the store acknowledges that engine %s is draining", leaving.Name)
	time.Sleep(drainToExit)
	s.store.Remove("servers", leaving.Name)
	exitedAt := time.Now()
	leaving.exit()
	s.Record.note("engine %s exits", leaving.Name)
	time.Sleep(afterExit)
	stopClients()
	sending.Wait()
	s.recordRuns(list)
	return s.judgeDrain(leaving, acknowledgedAt, exitedAt, requests), nil
}

// silence makes the store silent towards one machine while a new engine registers.
// Without trouble, only the engine registers.
func (s *site) silence(trouble bool) error {
	access := s.access[silentDaemon]
	if trouble {
		access.setSilent(true)
		s.Record.note("the store falls silent towards daemon %d", silentDaemon)
	}
	time.Sleep(newEngineDelay)
	if _, err := s.startEngine(fewEngines, shortPause, streamEvents); err != nil {
		return err
	}
	time.Sleep(silenceLength - newEngineDelay)
	access.setSilent(false)
	s.Record.note("the store answers all daemons; calls of daemon %d without an answer: %d", silentDaemon, access.lostCalls())
	return nil
}

// judgeDrain checks that no request reached the engine later than drainLimit after the
// acknowledgement that it is draining. All machines are in touch by then.
func (s *site) judgeDrain(leaving *engine, acknowledgedAt, exitedAt time.Time, requests *requestLog) outcome {
	byID := map[string]*request{}
	answered := 0
	for _, q := range requests.all() {
		byID[q.ID] = q
		s.Record.noteAt(q.SentAt, "%s", q.text())
		if q.Status == http.StatusOK && q.Complete {
			answered++
		}
	}
	late, cut := map[int]int{}, map[int]int{}
	for _, r := range leaving.allRuns() {
		age, q := r.ArrivedAt.Sub(acknowledgedAt), byID[r.Request]
		if q == nil || age <= drainLimit {
			continue
		}
		late[q.Daemon]++
		s.Record.noteAt(r.ArrivedAt, "LATE: request %s reaches %s %d ms after the acknowledgement", r.Request, leaving.Name, age.Milliseconds())
		if !q.Complete && q.DoneAt.After(exitedAt) {
			cut[q.Daemon]++
		}
	}
	s.Record.note("requests that reached %s later than %s after the acknowledgement, by daemon: %v", leaving.Name, drainLimit, late)
	s.Record.note("of these, cut off by the exit of the engine and never answered, by daemon: %v", cut)
	s.Record.note("%d requests, %d with a complete 200", len(byID), answered)
	if answered == 0 || len(leaving.allRuns()) == 0 {
		return notRun
	}
	if len(late) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
