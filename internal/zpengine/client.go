package zpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
	"github.com/zinniapaddle/zinniapaddle/pkg/zpmanifest"
)

type (
	// Client calls endpoints. Set the fields, then call Open.
	Client struct {
		ConnectTimeout time.Duration
		Clock          func() time.Time

		sender  Sender
		buffers *Memory
	}

	wireReport struct {
		Boot    string `json:"boot"`
		Warm    bool   `json:"warm"`
		Running int    `json:"running"`
		Version string `json:"version"`
		AgeMS   int64  `json:"age_ms"`
	}
)

// Headers of the protocol between daemons and endpoints.
const (
	HeaderBoot          = "X-Boot-Id"
	HeaderWeightVersion = "X-Weight-Version"
	HeaderSalt          = "X-Cache-Salt"
	HeaderPriority      = "X-Priority"
	HeaderRequestID     = "X-Request-Id"
	HeaderResumeFrom    = "X-Resume-From" // tokens that the caller already has; the engine repeats it in its response
	HeaderImportFrom    = "X-Import-From"
	HeaderImportBlocks  = "X-Import-Blocks"
	HeaderWorkspace     = "X-Workspace"
	HeaderNotStarted    = "X-Not-Started" // "true" if the request was rejected before any work
)

const (
	maxIdleConnsPerHost = 64
	idleTimeout         = 30 * time.Second
	silenceTimeout      = 15 * time.Second
	reportTimeout       = 2 * time.Second
	maxReportBytes      = 64 << 10 // bytes
	maxErrorTextBytes   = 4 << 10
	priorityUrgent      = "urgent"
	priorityOther       = "other"
	contentTypeJSON     = "application/json"
)

var errOtherRequest = errors.New("the response belongs to another request")

// Open creates the HTTP clients and the response buffers.
func (c *Client) Open() {
	c.sender = Sender{ConnectTimeout: c.ConnectTimeout, SilenceTimeout: silenceTimeout, IdleTimeout: idleTimeout}
	c.sender.Open()
	c.buffers = NewMemory(DefaultMemoryBytes)
}

// Close closes all idle connections.
func (c *Client) Close() { c.sender.Close() }

// Report reads an endpoint's load report.
func (c *Client) Report(ctx context.Context, e zpmanifest.Endpoint) (zpadmission.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Address+"/v1/report", nil)
	if err != nil {
		return zpadmission.Report{}, fmt.Errorf("report request: %w", err)
	}
	requestedAt := c.Clock()
	res, err := c.sender.Do(req)
	if err != nil {
		return zpadmission.Report{}, fmt.Errorf("read report: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return zpadmission.Report{}, fmt.Errorf("read report: status %d", res.StatusCode)
	}
	var w wireReport
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&w); err != nil {
		return zpadmission.Report{}, fmt.Errorf("decode report: %w", err)
	}
	asOf := requestedAt.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	return zpadmission.Report{Boot: w.Boot, Warm: w.Warm, Running: w.Running, Version: w.Version, AsOf: asOf}, nil
}

// sendOnce sends a body guarded by a gate. A response that names another request is an
// error.
func (c *Client) sendOnce(ctx context.Context, pooled bool, method, url string, body []byte, header http.Header, g *Gate) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.ContentLength = -1
	}
	for name, values := range header {
		req.Header[name] = values
	}
	return c.sender.Send(ctx, req, pooled, g, func(res *http.Response) error {
		if id := res.Header.Get(HeaderRequestID); id != "" && id != header.Get(HeaderRequestID) {
			return fmt.Errorf("%w: id %q", errOtherRequest, id)
		}
		return nil
	})
}

// classifyFailure maps the error of a failed request to an outcome.
func classifyFailure(g *Gate, err error) Outcome {
	if refusal := g.Err(); refusal != nil {
		err = fmt.Errorf("%w: %w", refusal, err)
	}
	o := Outcome{Sent: g.Sent(), Err: err}
	switch {
	case errors.Is(err, ErrDeadline), errors.Is(err, ErrCallerDisconnected):
		o.Kind = zpadmission.OutcomeNotStarted
	case errors.Is(err, context.Canceled) && !o.Sent:
		o.Kind = zpadmission.OutcomeNotStarted
	case errors.Is(err, context.Canceled):
		o.Kind = zpadmission.OutcomeCancelled
	case errors.Is(err, context.DeadlineExceeded):
		o.Kind = zpadmission.OutcomeOverdue
	case !o.Sent:
		o.Kind = zpadmission.OutcomeRefused
	default:
		o.Kind = zpadmission.OutcomeBroken
	}
	return o
}

func setTraceHeaders(h http.Header, trace map[string]string) {
	for name, value := range trace {
		h.Set(name, value)
	}
}
