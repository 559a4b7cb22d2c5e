package hop

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Tracer makes a span for each part of a request's way. A nil *Tracer makes none, and
// the caller's trace context travels on unchanged.
type Tracer struct {
	tracer trace.Tracer
}

// NewTracer returns spans of a tracer.
func NewTracer(t trace.Tracer) *Tracer { return &Tracer{tracer: t} }

const traceParent = "traceparent"

// Start starts a span below the request's trace context. Until the function that is
// returned ends it with the answer, the request carries the span's own context, for
// what is sent on.
func (s *Tracer) Start(r *Request, name string, kind trace.SpanKind) (end func(*Answer)) {
	if s == nil {
		return func(*Answer) {}
	}
	parent := r.Trace
	carrier := propagation.MapCarrier{traceParent: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := s.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(
		attribute.String("burdock.request_id", r.ID),
		attribute.String("burdock.service", string(r.Service)),
		attribute.String("burdock.route", r.Route),
	))
	propagation.TraceContext{}.Inject(ctx, carrier)
	r.Trace = carrier[traceParent]
	return func(a *Answer) {
		r.Trace = parent
		if a.Failure != nil {
			span.SetStatus(codes.Error, a.Failure.Kind.String())
		}
		span.SetAttributes(attribute.Int("http.response.status_code", a.Status), attribute.Bool("burdock.reached", a.ReachedBackend))
		span.End()
	}
}
