package zppipeline

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// injectTrace writes the present span's identity into headers, in the W3C form.
func injectTrace(ctx context.Context, headers map[string]string) {
	propagation.TraceContext{}.Inject(ctx, propagation.MapCarrier(headers))
}
