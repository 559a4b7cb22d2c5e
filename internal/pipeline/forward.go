package pipeline

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

var forwardSpan = trace.WithSpanKind(trace.SpanKindClient)

// tracedPeers creates a span for each hop and passes the span to the peer in the
// request's trace context.
type tracedPeers struct {
	Peers
	tracer trace.Tracer
}

// Forward forwards the request within a client span, which ends when the answer's
// body is closed.
func (p *tracedPeers) Forward(ctx context.Context, to Target, r *Request) (*Response, error) {
	ctx, span := p.tracer.Start(ctx, "burdock.forward", forwardSpan)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("burdock.peer", to.Member.String()))
	}
	InjectTrace(ctx, r)
	resp, err := p.Peers.Forward(ctx, to, r)
	if err != nil {
		span.SetStatus(codes.Error, errkind.Of(err).String())
		span.End()
		return nil, err
	}
	if !span.IsRecording() {
		span.End()
		return resp, nil
	}
	resp.Body = onClose(resp.Body, func() { span.End() })
	return resp, nil
}
