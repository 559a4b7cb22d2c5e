package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/settings"
)

// scopeName is the OpenTelemetry instrumentation scope of all instruments and
// spans of the daemon.
const scopeName = "github.com/burdockfold/burdockfold"

// Config configures the providers of one daemon.
type Config struct {
	Settings settings.Telemetry
	Member   ident.Member
	Location ident.Location
	Stdout   io.Writer              // output of the stdout exporter
	Logger   *zap.Logger            // logs the errors of exporters
	Spans    sdktrace.SpanProcessor // receives every sampled span in addition to the exporter; may be nil
}

// Providers holds the OpenTelemetry providers of one daemon.
type Providers struct {
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	traces   *sdktrace.TracerProvider // nil if nothing receives spans
}

// New starts the providers. If nothing receives spans, creating one costs nothing
// and the trace context of callers is forwarded unchanged. New also replaces the
// global OpenTelemetry error handler with one that logs to c.Logger.
func New(ctx context.Context, c Config) (*Providers, error) {
	res := resource.NewSchemaless(
		attribute.String("service.name", "burdockd"),
		attribute.String("service.instance.id", c.Member.String()),
		attribute.String(RegionKey, string(c.Location.Region)),
		attribute.String(FailureDomainKey, string(c.Location.FailureDomain)),
	)
	p := &Providers{registry: prometheus.NewRegistry()}
	if err := p.startMeters(res); err != nil {
		return nil, err
	}
	exporter, err := newSpanExporter(ctx, c)
	if err != nil {
		return nil, err
	}
	p.startTraces(res, exporter, c)
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		c.Logger.Warn("telemetry_export_failed", zap.Error(err))
	}))
	return p, nil
}

// startTraces creates the tracer provider, unless there is neither an exporter
// nor a span processor to receive spans.
func (p *Providers) startTraces(res *resource.Resource, exporter sdktrace.SpanExporter, c Config) {
	if exporter == nil && c.Spans == nil {
		return
	}
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.Settings.TraceRatio))),
	}
	if exporter != nil {
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	if c.Spans != nil {
		opts = append(opts, sdktrace.WithSpanProcessor(c.Spans))
	}
	p.traces = sdktrace.NewTracerProvider(opts...)
}

// startMeters creates the meter provider and registers the collectors of the Go
// runtime and of the process.
func (p *Providers) startMeters(res *resource.Resource) error {
	err := errors.Join(
		p.registry.Register(collectors.NewGoCollector()),
		p.registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})),
	)
	if err != nil {
		return fmt.Errorf("telemetry: register collectors: %w", err)
	}
	reader, err := otelprom.New(otelprom.WithRegisterer(p.registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return fmt.Errorf("telemetry: create prometheus exporter: %w", err)
	}
	p.meters = sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader), sdkmetric.WithResource(res))
	return nil
}

// newSpanExporter returns the exporter that the settings name, or nil if they name
// none.
func newSpanExporter(ctx context.Context, c Config) (sdktrace.SpanExporter, error) {
	switch c.Settings.TraceExporter {
	case settings.TraceNone, "":
		return nil, nil
	case settings.TraceStdout:
		return wrapExporter(stdouttrace.New(stdouttrace.WithWriter(c.Stdout)))
	case settings.TraceOTLP:
		return wrapExporter(otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Settings.OTLPEndpoint)))
	default:
		return nil, fmt.Errorf("telemetry: unknown trace exporter %q", c.Settings.TraceExporter)
	}
}

// wrapExporter returns e as a SpanExporter, or the error of its constructor with
// context.
func wrapExporter[E sdktrace.SpanExporter](e E, err error) (sdktrace.SpanExporter, error) {
	if err != nil {
		return nil, fmt.Errorf("telemetry: create trace exporter: %w", err)
	}
	return e, nil
}

// Meter returns the meter that creates the instruments of the daemon.
func (p *Providers) Meter() metric.Meter { return p.meters.Meter(scopeName) }

// Tracing reports whether an exporter or a processor receives spans.
func (p *Providers) Tracing() bool { return p.traces != nil }

// Tracer returns the tracer that creates the spans of the daemon. If nothing
// receives spans, it returns a tracer that does nothing.
func (p *Providers) Tracer() trace.Tracer {
	if p.traces == nil {
		return noop.NewTracerProvider().Tracer(scopeName)
	}
	return p.traces.Tracer(scopeName)
}

// Propagator returns the propagator that reads and writes the W3C trace context.
func (p *Providers) Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// MetricsHandler returns a handler that serves the metrics in the Prometheus text
// format.
func (p *Providers) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}

// Shutdown exports pending metrics and spans and stops the providers.
func (p *Providers) Shutdown(ctx context.Context) error {
	err := p.meters.Shutdown(ctx)
	if p.traces != nil {
		err = errors.Join(err, p.traces.Shutdown(ctx))
	}
	if err != nil {
		return fmt.Errorf("telemetry: shutdown: %w", err)
	}
	return nil
}
