package zpwhere

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpcatalog"
	"github.com/zinniapaddle/zinniapaddle/internal/zpgateway"
	"github.com/zinniapaddle/zinniapaddle/pkg/zperror"
)

// Handler answers queries on a daemon's admin address. It sends nothing to endpoints.
type Handler struct {
	Where   func(ctx context.Context, q *zpgateway.Request) zpgateway.Explanation
	Catalog func() *zpcatalog.Catalog
	Clock   func() time.Time
}

const (
	// Path is where the handler is served.
	Path = "/where"

	maxQueryBytes = 64 << 10
	queryTimeout  = 5 * time.Second
	// queryID stands for the id of the request, which is never sent.
	queryID = "where"
)

var (
	errUnknownRoute = zperror.New(zperror.KindNotFound, "unknown_route",
		"the configuration has no such route", "check the route, or host and path, against the configuration")
	errUnknownWorkspace = zperror.New(zperror.KindNotFound, "unknown_workspace",
		"the configuration has no workspace of this name with a key", "check the name against the configuration")
	errMethod = zperror.New(zperror.KindInvalid, "bad_method",
		"only POST is served here", "send the query with POST")
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, err := h.answer(r)
	status := http.StatusOK
	if err != nil {
		e := zperror.Of(err)
		answer, status = wireAnswer{Fate: string(zpgateway.FateRefused), Error: encodeError(e), Candidates: []wireCandidate{}}, e.Kind.HTTPStatus()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

func (h *Handler) answer(r *http.Request) (wireAnswer, error) {
	if r.Method != http.MethodPost {
		return wireAnswer{}, errMethod
	}
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxQueryBytes))
	if err != nil {
		return wireAnswer{}, errBadQuery.WithCause(err)
	}
	q, err := decodeQuery(text)
	if err != nil {
		return wireAnswer{}, err
	}
	request, err := h.requestOf(q)
	if err != nil {
		return wireAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	return encodeAnswer(h.Where(ctx, request)), nil
}

// requestOf returns the request that a query describes.
func (h *Handler) requestOf(q Query) (*zpgateway.Request, error) {
	out := &zpgateway.Request{
		ID: queryID, Method: http.MethodPost, Host: q.Host, Path: q.Path, URL: q.Path, APIKey: q.Key, Timeout: q.Timeout, ReceivedAt: h.Clock(),
	}
	if q.Model != "" {
		out.Prompt = &zpgateway.Prompt{Model: q.Model, Tokens: q.Tokens, OutputTokens: q.OutputTokens, Parts: q.Parts}
	}
	catalog := h.Catalog()
	if catalog == nil {
		return out, nil // the gateway says that it has no configuration
	}
	if q.Route != "" {
		route, ok := routeNamed(catalog, q.Route)
		if !ok {
			return nil, errUnknownRoute
		}
		out.Host, out.Path, out.URL = route.Host, route.PathPrefix, route.PathPrefix
	}
	if q.Workspace != "" {
		w, ok := catalog.WorkspaceNamed(q.Workspace)
		if !ok || len(w.Keys) == 0 {
			return nil, errUnknownWorkspace
		}
		out.APIKey = w.Keys[0]
	}
	return out, nil
}

func routeNamed(c *zpcatalog.Catalog, name string) (zpcatalog.Route, bool) {
	for _, r := range c.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return zpcatalog.Route{}, false
}
