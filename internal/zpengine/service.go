package zpengine

import (
	"context"
	"net/http"

	"github.com/zinniapaddle/zinniapaddle/internal/zpadmission"
)

const headerIdempotencyKey = "Idempotency-Key"

// Call sends a request to a plain service once.
func (c *Client) Call(ctx context.Context, call ServiceCall, g *Gate) (ServiceResponse, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	start := c.Clock()
	res, err := c.sendOnce(ctx, call.Idempotent, call.Method, call.Address+call.Path, call.Body, serviceHeader(call), g)
	if err != nil {
		return ServiceResponse{}, c.finishOutcome(ctx, classifyFailure(g, err), start)
	}
	defer func() { _ = res.Body.Close() }()
	o := Outcome{Sent: true, BootID: res.Header.Get(HeaderBoot)}
	if res.Header.Get(HeaderNotStarted) == "true" {
		return ServiceResponse{}, c.finishOutcome(ctx, errorStatusOutcome(o, res), start)
	}
	body, reserved, err := c.buffers.ReadAll(res.Body)
	// The response is passed on at once, so the reservation ends here.
	defer c.buffers.Release(reserved)
	if err != nil {
		return ServiceResponse{}, c.finishOutcome(ctx, brokenOutcome(o, err), start)
	}
	o.Done, o.Kind = true, zpadmission.OutcomeOK
	response := ServiceResponse{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	o = c.finishOutcome(ctx, o, start)
	o.FirstToken = o.Total
	return response, o
}

func serviceHeader(call ServiceCall) http.Header {
	h := http.Header{}
	if call.ContentType != "" {
		h.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		h.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	h.Set(HeaderRequestID, call.RequestID)
	h.Set(HeaderWorkspace, call.Workspace)
	setTraceHeaders(h, call.Trace)
	return h
}
