// Package zpwhere serves and asks the question where a request would go now: the handler
// for a daemon's admin address and the client of the command line.
package zpwhere

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

type (
	// Query describes a request. Its route is given by name, or by host and path; its
	// workspace by name, or by key.
	Query struct {
		Route, Host, Path string
		Workspace, Key    string
		Timeout           time.Duration // how long the caller waits; zero: as the route allows
		Model             string        // empty: no prompt
		Tokens            int
		OutputTokens      int
		Parts             []zpgateway.Part
	}

	wireQuery struct {
		Route        string     `json:"route,omitempty"`
		Host         string     `json:"host,omitempty"`
		Path         string     `json:"path,omitempty"`
		Workspace    string     `json:"workspace,omitempty"`
		Key          string     `json:"key,omitempty"`
		TimeoutMS    int64      `json:"timeout_ms,omitempty"`
		Model        string     `json:"model,omitempty"`
		Tokens       int        `json:"tokens,omitempty"`
		OutputTokens int        `json:"output_tokens,omitempty"`
		Parts        []wirePart `json:"parts,omitempty"`
	}
	wirePart struct {
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
	}

	// wireAnswer is the explanation as a daemon sends it and as the command prints it.
	wireAnswer struct {
		Fate           string          `json:"fate"`
		Endpoint       string          `json:"endpoint,omitempty"`
		Route          string          `json:"route,omitempty"`
		Workspace      string          `json:"workspace,omitempty"`
		Pool           string          `json:"pool,omitempty"`
		CatalogVersion int64           `json:"catalog_version"`
		CatalogAgeMS   int64           `json:"catalog_age_ms"`
		Waiting        int             `json:"waiting_requests"`
		IsCutOff       bool            `json:"cut_off_from_endpoints,omitempty"`
		Error          *wireError      `json:"error,omitempty"`
		Wait           *wireWait       `json:"wait,omitempty"`
		Candidates     []wireCandidate `json:"candidates"`
	}
	wireError struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Remedy       string `json:"remedy"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	}
	wireWait struct {
		Reason     string  `json:"reason"`
		Ahead      float64 `json:"ahead"`
		FleetAhead float64 `json:"fleet_ahead"`
		CapacityS  float64 `json:"capacity_per_second"`
		PaceS      float64 `json:"pace_per_second"`
		StartMS    int64   `json:"start_ms"`
		ServiceMS  int64   `json:"service_ms"`
		LeftMS     int64   `json:"left_ms"`
	}
	wireCandidate struct {
		Endpoint      string     `json:"endpoint"`
		FailureDomain string     `json:"failure_domain"`
		Region        string     `json:"region"`
		Excluded      string     `json:"excluded,omitempty"`
		CostMS        float64    `json:"cost_ms"`
		Terms         []wireTerm `json:"terms,omitempty"`
		Running       int        `json:"running"`
		CachedTokens  int        `json:"cached_tokens"`
		FetchTokens   int        `json:"fetch_tokens"`
		Source        string     `json:"source,omitempty"`
		IsBlocked     bool       `json:"through_others,omitempty"`
	}
	wireTerm struct {
		Name   string  `json:"name"`
		CostMS float64 `json:"cost_ms"`
	}
)

var errBadQuery = zperror.New(zperror.KindInvalid, "bad_query",
	"the query is not valid", "name a route, or host and path; see `zinniapaddle where --help`")

func (q Query) encode() ([]byte, error) {
	w := wireQuery{
		Route: q.Route, Host: q.Host, Path: q.Path, Workspace: q.Workspace, Key: q.Key, TimeoutMS: q.Timeout.Milliseconds(),
		Model: q.Model, Tokens: q.Tokens, OutputTokens: q.OutputTokens,
	}
	for _, p := range q.Parts {
		w.Parts = append(w.Parts, wirePart{ID: p.ID, Tokens: p.Tokens})
	}
	return json.Marshal(w)
}

func decodeQuery(text []byte) (Query, error) {
	var w wireQuery
	if err := json.Unmarshal(text, &w); err != nil {
		return Query{}, errBadQuery.WithCause(err)
	}
	if w.TimeoutMS < 0 || w.Tokens < 0 || w.OutputTokens < 0 {
		return Query{}, errBadQuery.WithCause(fmt.Errorf("a figure is negative"))
	}
	q := Query{
		Route: w.Route, Host: w.Host, Path: w.Path, Workspace: w.Workspace, Key: w.Key, Timeout: time.Duration(w.TimeoutMS) * time.Millisecond,
		Model: w.Model, Tokens: w.Tokens, OutputTokens: w.OutputTokens,
	}
	for _, p := range w.Parts {
		if p.Tokens < 0 {
			return Query{}, errBadQuery.WithCause(fmt.Errorf("part %q has a negative size", p.ID))
		}
		q.Parts = append(q.Parts, zpgateway.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return q, nil
}

func encodeAnswer(x zpgateway.Explanation) wireAnswer {
	a := wireAnswer{
		Fate: string(x.Fate), Endpoint: x.Endpoint, Route: x.Route, Workspace: x.Workspace, Pool: x.Pool,
		CatalogVersion: x.CatalogVersion, CatalogAgeMS: x.CatalogAge.Milliseconds(), Waiting: x.Waiting, IsCutOff: x.IsCutOff, Candidates: []wireCandidate{},
	}
	if x.Error != nil {
		a.Error = encodeError(x.Error)
	}
	if w := x.Wait; w != nil {
		a.Wait = &wireWait{
			Reason: w.Reason.String(), Ahead: w.Ahead, FleetAhead: w.FleetAhead, CapacityS: w.Capacity, PaceS: w.PerSecond,
			StartMS: w.Start.Milliseconds(), ServiceMS: w.Service.Milliseconds(), LeftMS: w.Left.Milliseconds(),
		}
	}
	for _, c := range x.Candidates {
		k := wireCandidate{
			Endpoint: c.Endpoint, FailureDomain: c.FailureDomain, Region: c.Region, Excluded: c.Excluded, CostMS: milliseconds(c.Cost),
			Running: c.Running, CachedTokens: c.CachedTokens, FetchTokens: c.FetchTokens, Source: c.Source, IsBlocked: c.IsBlocked,
		}
		for _, t := range c.Terms {
			k.Terms = append(k.Terms, wireTerm{Name: t.Name, CostMS: milliseconds(t.Cost)})
		}
		a.Candidates = append(a.Candidates, k)
	}
	return a
}

func encodeError(e *zperror.Error) *wireError {
	return &wireError{Code: e.Code, Message: e.Message, Remedy: e.Remedy, RetryAfterMS: e.RetryAfter.Milliseconds()}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
