package hop

import (
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"github.com/burdockfold/burdockfold/internal/errkind"
)

// TestSpansOfARequest checks that a request has a span for the caller's request, one
// for each attempt and one for each execution. Each is the parent of the next, also
// across the wire, and the caller's own span is the root.
func TestSpansOfARequest(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := NewTracer(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test"))
	const caller = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	r := &Request{ID: "i", Service: "s", Trace: caller, Key: NoKey}

	endRequest := tracer.Start(r, "request", trace.SpanKindServer)
	var attempts []string
	for _, a := range []*Answer{FailedAnswer(errkind.New(errkind.NotOwner, "moving")), {Status: 200}} {
		endAttempt := tracer.Start(r, "attempt", trace.SpanKindClient)
		attempts = append(attempts, r.Trace)
		head, _, err := encodeRequest(r, 1, inlineBytes)
		assert.NilError(t, err)
		received, _, err := decodeRequest(head, 1)
		assert.NilError(t, err)
		tracer.Start(received, "run", trace.SpanKindClient)(a)
		endAttempt(a)
	}
	endRequest(&Answer{Status: 200})
	assert.Equal(t, r.Trace, caller)
	assert.Assert(t, attempts[0] != attempts[1])

	nameByID := map[string]string{}
	ended := recorder.Ended()
	for _, s := range ended {
		nameByID[s.SpanContext().SpanID().String()] = s.Name()
		assert.Equal(t, s.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	}
	want := map[string]string{"request": "", "attempt": "request", "run": "attempt"}
	for _, s := range ended {
		assert.Equal(t, nameByID[s.Parent().SpanID().String()], want[s.Name()], s.Name())
	}
	assert.Equal(t, len(ended), 5)
}

func TestWithoutSpansTheTraceContextTravelsOn(t *testing.T) {
	r := &Request{Trace: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
	before := r.Trace
	end := (*Tracer)(nil).Start(r, "request", trace.SpanKindServer)
	assert.Equal(t, r.Trace, before)
	end(&Answer{})
}
