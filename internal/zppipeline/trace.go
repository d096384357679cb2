package zppipeline

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceHeaders returns headers that carry the present span's identity in the
// W3C form.
func traceHeaders(ctx context.Context) map[string]string {
	headers := map[string]string{}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(headers))
	return headers
}
