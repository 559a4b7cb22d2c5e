package pipeline

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

var propagator propagation.TraceContext

// Trace creates a span around the later filters. The span ends when the answer's
// body is closed. A client span becomes the request's trace context, so that the
// next server uses it as the parent of its own span. If tracer is nil, the filter
// does nothing.
func Trace(tracer trace.Tracer, name string, kind trace.SpanKind) Filter {
	if tracer == nil {
		return func(next Handler) Handler { return next }
	}
	opts := []trace.SpanStartOption{trace.WithSpanKind(kind)}
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, r *Request) (*Response, error) {
			ctx, span := tracer.Start(ctx, name, opts...)
			if kind == trace.SpanKindClient {
				InjectTrace(ctx, r)
			}
			if !span.IsRecording() {
				span.End()
				return next.Handle(ctx, r)
			}
			span.SetAttributes(
				attribute.String("burdock.request_id", r.ID),
				attribute.String("burdock.service", string(r.Service.Name)),
				attribute.String("http.request.method", r.Method))
			resp, err := next.Handle(ctx, r)
			if err != nil {
				e := errkind.As(err)
				span.SetStatus(codes.Error, e.Kind.String())
				span.End()
				return nil, err
			}
			span.SetAttributes(attribute.Int("http.response.status_code", resp.Status))
			resp.Body = onClose(resp.Body, func() { span.End() })
			return resp, nil
		})
	}
}

// traceCarrier implements propagation.TextMapCarrier on the trace context of a
// request.
type traceCarrier struct{ r *Request }

// Get returns the W3C field with the given key, or "" for another key.
func (c traceCarrier) Get(key string) string {
	switch key {
	case "traceparent":
		return c.r.Traceparent
	case "tracestate":
		return c.r.Tracestate
	}
	return ""
}

// Set sets the W3C field with the given key and ignores other keys.
func (c traceCarrier) Set(key, value string) {
	switch key {
	case "traceparent":
		c.r.Traceparent = value
	case "tracestate":
		c.r.Tracestate = value
	}
}

// Keys lists the W3C fields.
func (traceCarrier) Keys() []string { return []string{"traceparent", "tracestate"} }

// ExtractTrace returns ctx with the remote span of the request's trace context. It
// returns ctx unchanged if the request has no trace context.
func ExtractTrace(ctx context.Context, r *Request) context.Context {
	if r.Traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, traceCarrier{r})
}

// InjectTrace sets the request's trace context to the span of ctx. If ctx has no
// valid span, the request keeps the trace context with which it arrived.
func InjectTrace(ctx context.Context, r *Request) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, traceCarrier{r})
	}
}
