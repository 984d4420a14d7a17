package telemetry

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "masticbay"

// StartTraces starts to export the spans of this process to a file, or to the
// OTLP collector at an http:// or https:// URL; an empty destination disables
// the export. The returned function flushes the spans and ends the export.
func StartTraces(role, destination string, ratio float64) (stop func(context.Context) error, err error) {
	defer func() { err = errors.Annotatef(err, "starting to export traces to %q", destination) }()
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if destination == "" {
		return func(context.Context) error { return nil }, nil
	}
	exp, file, err := newExporter(destination)
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "masticbay-"+role))),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			_ = file.Close()
		}
		return err
	}, nil
}

func newExporter(destination string) (sdktrace.SpanExporter, io.Closer, error) {
	if strings.HasPrefix(destination, "http://") || strings.HasPrefix(destination, "https://") {
		exp, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(destination))
		return exp, nil, err
	}
	f, err := os.OpenFile(destination, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, err
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	return exp, f, err
}

// StartSpan starts a span that is named after a hop, and returns it with a context
// that holds it.
func StartSpan(ctx context.Context, hop string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, hop)
}

// Inject returns the W3C traceparent of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// Extract returns ctx with the remote span that a W3C traceparent names.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}
