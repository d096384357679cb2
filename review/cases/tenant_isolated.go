package main

import (
	"context"
	"fmt"
	"time"
)

const (
	otherTenant = "puxo417"
	otherKey    = "yj8pjbvk9m68k7b2ex5w"
	// The parts that the prompts of both tenants share.
	sharedParts = "5c1e07a2:512,91bd3f06:8610"

	requestsPerPhase = 9
	changeLimit      = 2500 * time.Millisecond // config-apply-ms
	afterChange      = time.Second
)

// playTenantIsolated lets the operator isolate a tenant that was not isolated before, and
// then sends prompts of another tenant. Without trouble, the tenant is isolated from the
// start, and the new configuration changes a time-out.
func playTenantIsolated(ctx context.Context, s *site, trouble bool) (outcome, error) {
	if err := s.open(len(zones), newConfig(7, twoTenants(!trouble))); err != nil {
		return notRun, err
	}
	e, err := s.startEngine(0, shortPause, streamEvents)
	if err != nil {
		return notRun, err
	}
	if err := s.startDaemons(ctx); err != nil {
		return notRun, err
	}
	requests := &requestLog{}
	s.sendPhase(ctx, tenantKey, "before", requests)
	s.store.Put("config", "main", newConfig(8, twoTenants(true)))
	changedAt := time.Now()
	s.Record.note("the store acknowledges configuration 8, in which tenant %s is isolated", tenantName)
	time.Sleep(changeLimit + afterChange)
	s.sendPhase(ctx, otherKey, "other", requests)
	s.sendPhase(ctx, tenantKey, "after", requests)
	s.recordRuns([]*engine{e})
	return s.judgeWall(e, changedAt, requests), nil
}

// sendPhase sends prompts of one tenant through all daemons in turn.
func (s *site) sendPhase(ctx context.Context, key, name string, requests *requestLog) {
	client := newClient()
	defer client.CloseIdleConnections()
	for n := 0; n < requestsPerPhase && ctx.Err() == nil; n++ {
		q := &request{
			ID: fmt.Sprintf("%s-%d", name, n), Daemon: n % len(s.daemons), Path: suggestPath + "2f", Key: key, Deadline: streamDeadline,
			Tokens: promptTokens, Prompt: fmt.Sprintf("%s,%s%d:2870", sharedParts, name, n),
		}
		s.send(client, q)
		requests.add(q)
		s.Record.noteAt(q.SentAt, "%s", q.text())
	}
}

// judgeWall checks that no request sent after the change had taken effect went on the cache
// of another tenant.
func (s *site) judgeWall(e *engine, changedAt time.Time, requests *requestLog) outcome {
	sentAt, answered := map[string]time.Time{}, 0
	for _, q := range requests.all() {
		sentAt[q.ID] = q.SentAt
		if q.Complete {
			answered++
		}
	}
	broken := 0
	for _, r := range e.allRuns() {
		if sentAt[r.Request].Before(changedAt.Add(changeLimit)) {
			continue
		}
		for part, maker := range r.Reused {
			if maker != r.Tenant {
				broken++
				s.Record.noteAt(r.BeganAt, "WALL: request %s of tenant %s goes on part %s that a request of tenant %s made", r.Request, r.Tenant, part, maker)
			}
		}
	}
	s.Record.note("%d requests, %d answered; parts of another tenant in use: %d", len(sentAt), answered, broken)
	if answered < len(sentAt) || len(e.allRuns()) == 0 {
		return notRun
	}
	if broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}

func twoTenants(isolated bool) []map[string]any {
	other := map[string]any{"name": otherTenant, "api-keys": []string{otherKey}, "priority": 1, "allowed-regions": []string{}, "isolated": false}
	return append(oneTenant(isolated), other)
}
