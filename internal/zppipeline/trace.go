package zppipeline

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceHeaders returns the W3C Trace Context headers of the current span.
func traceHeaders(ctx context.Context) map[string]string {
	headers := map[string]string{}
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(headers))
	return headers
}
