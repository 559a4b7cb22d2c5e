package hop

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Tracer records a span for each step of a request. A nil *Tracer records none and
// leaves the caller's trace context unchanged.
type Tracer struct {
	tracer trace.Tracer
}

// NewTracer returns a Tracer that creates its spans with t.
func NewTracer(t trace.Tracer) *Tracer { return &Tracer{tracer: t} }

// traceParent is the carrier key of the W3C trace context.
const traceParent = "traceparent"

// Start starts a child span of the request's trace context and sets r.Trace to the
// context of the new span, so that messages sent during the span carry it. The returned
// function records the answer, ends the span and restores r.Trace.
func (t *Tracer) Start(r *Request, name string, kind trace.SpanKind) (end func(*Answer)) {
	if t == nil {
		return func(*Answer) {}
	}
	parent := r.Trace
	carrier := propagation.MapCarrier{traceParent: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(
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
