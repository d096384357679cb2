// Package zptrace sets up OpenTelemetry tracing: a span for each hop of a
// request, sent to an OTLP receiver or appended to a file.
package zptrace

import (
	"context"
	"errors"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/zinniapaddle/zinniapaddle/internal/zpsettings"
)

// Tracing holds the tracer of one daemon.
type Tracing struct {
	Tracer api.Tracer

	provider *trace.TracerProvider
	file     *os.File
}

const tracerName = "zinniapaddle"

// Open sets up the exporters. Without one in the settings, the tracer is a no-op.
func Open(ctx context.Context, s zpsettings.Trace, instance string) (*Tracing, error) {
	if s.OTLPEndpoint == "" && s.File == "" {
		return &Tracing{Tracer: noop.NewTracerProvider().Tracer(tracerName)}, nil
	}
	t := &Tracing{}
	options := []trace.TracerProviderOption{trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", tracerName),
		attribute.String("service.instance.id", instance),
	))}
	if s.OTLPEndpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OTLPEndpoint))
		if err != nil {
			return nil, fmt.Errorf("open OTLP exporter: %w", err)
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if s.File != "" {
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Join(fmt.Errorf("open file exporter: %w", err), file.Close())
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	t.provider = trace.NewTracerProvider(options...)
	t.Tracer = t.provider.Tracer(tracerName)
	return t, nil
}

// Close flushes pending spans and closes the exporters.
func (t *Tracing) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	return err
}
